/// \file
/// What the cases with engines have in common.
#pragma once

#include "Relay.h"
#include "Servers.h"

namespace review {

/// The site's memory of a machine.
inline constexpr auto MemoryMb = 182;

/// A store with a manifest, engines that decode, and plain servers. They run
/// until the process ends.
struct Site {
  /// Uses addresses that begin with \p Network, such as "127.62".
  Site(std::string const &Network, std::int64_t EngineWorkMs);

  /// Returns the number of requests that the engines received.
  [[nodiscard]] auto engineArrivals() const -> std::size_t;

  Store &Registry;
  std::vector<Server *> Engines;
};

/// Counts of calls by outcome.
struct Counts {
  std::atomic<int> Sent = 0;
  std::atomic<int> Answered = 0;
  std::atomic<int> Refused = 0;
  std::atomic<int> Lost = 0;

  auto count(int Status) -> void;
  [[nodiscard]] auto text() const -> std::string;
};

/// Sends requests that may not be repeated, one after the other.
auto callOrdinarily(Relay const &Target, std::atomic<bool> const &HasEnded,
                    Counts &Result) -> void;

/// Acts as the platform for \p DurationMs: kills a process that exceeds its
/// memory, and starts it again. Returns how often.
[[nodiscard]] auto guardMemory(Relay &Target, Record &Output,
                               std::int64_t DurationMs) -> int;

} // namespace review
