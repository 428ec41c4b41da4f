/// \file
/// Requests of callers for simulated fleets.
#pragma once

#include "LibRelay/EngineFleet.h"

#include <random>

namespace dotterel::relay::test {

constexpr auto CrashingSegment = std::uint64_t{0xbad};
/// Number of seeds that each test runs, from the first one on.
constexpr auto Seeds = std::uint64_t{4};

/// Returns the first seed of a test, which DOTTEREL_SEED sets.
[[nodiscard]] auto firstSeed() -> std::uint64_t;

/// Sends sound prompts throughout and, from a given time on, prompts with the
/// crashing segment.
class PromptTraffic {
public:
  PromptTraffic(EngineFleet &Fleet, std::uint64_t Seed, Duration Interval);

  /// Sends a crashing prompt every \p Interval on average.
  auto startCrashing(Duration Interval) -> void;

private:
  auto draw(std::uint64_t From, std::uint64_t To) -> std::uint64_t;
  auto makePrompt(bool IsCrashing) -> std::vector<PromptSegment>;
  auto sendSound() -> void;

  EngineFleet &Fleet; // NOLINT: outlives the traffic
  std::mt19937_64 Random;
  Duration SoundInterval;
  std::uint64_t UniqueSegments = 0;
};

/// Sends lookups to the plain service at an interval that can be changed.
class LookupTraffic {
public:
  LookupTraffic(EngineFleet &Fleet, Duration Interval);

  auto setInterval(Duration NewInterval) -> void { Interval = NewInterval; }

private:
  auto send() -> void;

  EngineFleet &Fleet; // NOLINT: outlives the traffic
  Duration Interval;
};

} // namespace dotterel::relay::test
