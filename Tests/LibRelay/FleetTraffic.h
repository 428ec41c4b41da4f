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

/// Sends requests of all routes; many of the lookups are identical. From a
/// given time on, one request comes again and again that crashes the servers
/// that run it.
class MixedTraffic {
public:
  MixedTraffic(EngineFleet &Fleet, std::uint64_t Seed);

  /// Returns the request that \ref startCrashing sends. It shares all parts of
  /// its prompt but the last one with sound prompts.
  /// Calls with another \p Number differ in all that identifies them.
  [[nodiscard]] static auto crashingCall(RouteKind Route, unsigned Number = 0)
      -> FleetCall;

  /// Sends the crashing request of \p Route every \p Interval on average.
  auto startCrashing(RouteKind Route, Duration Interval) -> void;

  /// Sends \p Call every \p Interval on average.
  auto startSending(FleetCall const &Call, Duration Interval) -> void;

  /// Lets a server of each service crash by itself every \p Interval on
  /// average.
  auto startServerCrashes(Duration Interval) -> void;

private:
  auto draw(std::uint64_t From, std::uint64_t To) -> std::uint64_t;
  auto varied(Duration Interval) -> Duration;
  auto drawCaller() -> std::string;
  auto sendPlain() -> void;

  EngineFleet &Fleet; // NOLINT: outlives the traffic
  std::mt19937_64 Random;
  PromptTraffic Prompts;
  std::uint64_t UniqueItems = 0;
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
