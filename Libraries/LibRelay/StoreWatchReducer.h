/// \file
/// Which instances watch the store, and what the others learn from the
/// watchers' reports.
#pragma once

#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Decides whether this instance watches the store. A watcher that stops
/// reporting, or whose store does not respond, is replaced within a second, so
/// that all instances learn in time that a server is leaving.
class StoreWatchReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ConfigurationReceived const &Event) -> void;
  auto on(ConfigurationConfirmed const &Event) -> void;
  auto on(ServersListed const &Event) -> void;
  auto on(ServersUpdated const &Event) -> void;
  auto on(StoreEraObserved const &Event) -> void;
  auto on(PeerReported const &Event) -> void;
  auto on(Tick const &Event) -> void;

private:
  /// Records that \p Source has seen the store in an era, which starts when the
  /// store is restored from a copy.
  auto observeEra(std::uint64_t Era, std::string_view Source) -> void;
  /// Counts the peers that come before this instance, and returns whether it
  /// should watch the store for all.
  [[nodiscard]] auto shouldWatch() -> bool;
  [[nodiscard]] auto hasFreshWatcher() const -> bool;
};

} // namespace dotterel::relay
