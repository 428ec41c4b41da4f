/// \file
/// A relaying instance driven by events alone.
#pragma once

#include "LibRelay/Reducer.h"

#include <optional>
#include <string>
#include <vector>

namespace dotterel::relay::test {

/// Routes of the configuration that every test node has.
enum class RouteKind { Booking, Lookup, Stream, PlainStream };

/// Returns the path of a route without its last part.
[[nodiscard]] auto pathPrefix(RouteKind Route) -> std::string;

/// An instance with one plain service ("plain", servers p0 to p2) and one
/// service of engines ("model": f0 and f1 prefill, d0 to d2 decode). Time
/// advances only when a test advances it.
class RelayNode {
public:
  explicit RelayNode(std::string const &Instance = "i0");

  auto feed(EventBody Body) -> Effects;
  /// Advances time and feeds the ticks that fall due. Returns all effects.
  auto advance(Duration Span) -> Effects;

  /// Feeds the arrival of a request and returns its number.
  auto request(RouteKind Route, std::vector<PromptSegment> Segments = {},
               std::optional<Duration> TimeLimit = std::nullopt,
               std::uint64_t LastEvent = 0) -> RequestNumber;

  /// Connects the current attempt of a request and returns the effect that
  /// sends it, if any.
  auto connect(RequestNumber Number) -> std::optional<SendAttempt>;
  auto currentAttempt(RequestNumber Number) const -> Attempt const *;
  auto attemptId(RequestNumber Number) const -> AttemptId;

  /// The store responds at each tick.
  bool HasStore = true;
  /// Effects of the last call.
  Effects LastEffects;
  State CurrentState;
  Instant Now;

private:
  RequestNumber LastNumber = 0;
};

/// Adds nine engines that decode, so that a plan for \p Node calls for stage
/// changes.
auto addDecodeEngines(RelayNode &Node) -> void;

/// Returns the first effect of type T, or null.
template <typename T> auto effect(Effects const &Source) -> T const * {
  for (auto const &it : Source) {
    if (auto const *found = std::get_if<T>(&it))
      return found;
  }
  return nullptr;
}

template <typename T> auto countEffects(Effects const &Source) -> std::size_t {
  auto n = std::size_t{0};
  for (auto const &it : Source)
    n += std::holds_alternative<T>(it) ? 1 : 0;
  return n;
}

/// Returns a version in the first era of the store.
[[nodiscard]] constexpr auto atRevision(std::uint64_t Revision)
    -> StoreVersion {
  return {0, Revision};
}

[[nodiscard]] auto describeServer(std::string Id, std::string Service,
                                  EngineStage Stage = EngineStage::Any)
    -> ServerDescription;

/// Returns a report of a live peer.
[[nodiscard]] auto report(std::string const &Name, std::uint64_t Number)
    -> PeerReport;

[[nodiscard]] auto makeConfiguration(std::uint64_t Version)
    -> std::shared_ptr<Configuration const>;

/// Returns a prompt that consists of a shared prefix and an unshared segment.
[[nodiscard]] auto prompt(std::uint64_t Shared, std::uint32_t SharedTokens,
                          std::uint32_t UnsharedTokens)
    -> std::vector<PromptSegment>;

} // namespace dotterel::relay::test
