/// \file
/// One relaying instance that is driven by events alone.
#pragma once

#include "LibRelay/Reducer.h"

#include <optional>
#include <string>
#include <vector>

namespace dotterel::relay::test {

/// Routes of the configuration that every test node has.
enum class RouteKind { Booking, Lookup, Stream, PlainStream };

/// An instance with a configuration of one plain service ("plain", servers p0
/// to p2) and one of engines ("model": f0, f1 read prompts, d0 to d2 make
/// tokens). Time stands still unless a test moves it.
class RelayNode {
public:
  explicit RelayNode(std::string const &Instance = "i0");

  auto feed(EventBody Happened) -> Effects;
  /// Moves time and ticks on the way.
  auto advance(Duration Span) -> Effects;

  /// A request arrives; returns its number.
  auto request(RouteKind Route, std::vector<PromptSegment> Parts = {},
               std::optional<Duration> TimeLimit = std::nullopt,
               std::uint64_t LastEvent = 0) -> RequestNumber;

  /// Connects the current attempt of a request and returns what is sent.
  auto connect(RequestNumber Number) -> std::optional<SendAttempt>;
  auto currentAttempt(RequestNumber Number) const -> Attempt const *;
  auto attemptId(RequestNumber Number) const -> AttemptId;

  /// The store answers at each tick.
  bool HasStore = true;
  /// The effects of the last call.
  Effects LastEffects;
  State CurrentState;
  Instant Now;

private:
  RequestNumber LastNumber = 0;
};

/// Returns the first effect of a type, or null.
template <typename T> auto effect(Effects const &From) -> T const * {
  for (auto const &it : From) {
    if (auto const *found = std::get_if<T>(&it))
      return found;
  }
  return nullptr;
}

template <typename T> auto countEffects(Effects const &From) -> std::size_t {
  auto n = std::size_t{0};
  for (auto const &it : From)
    n += std::holds_alternative<T>(it) ? 1 : 0;
  return n;
}

[[nodiscard]] auto describeServer(std::string Id, std::string Service,
                                  EngineStage Stage = EngineStage::Any)
    -> ServerDescription;

/// A report of a live peer.
[[nodiscard]] auto report(std::string const &Name, std::uint64_t Number)
    -> PeerReport;

[[nodiscard]] auto makeConfiguration(std::uint64_t Version)
    -> std::shared_ptr<Configuration const>;

/// A prompt with a shared beginning and an own part.
[[nodiscard]] auto prompt(std::uint64_t Shared, std::uint32_t SharedTokens,
                          std::uint32_t OwnTokens)
    -> std::vector<PromptSegment>;

} // namespace dotterel::relay::test
