/// \file
/// Who watches the store, and what the others take from the watchers.
#pragma once

#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Decides whether this instance watches the store. A watcher whose reports
/// stop, or whose store does not answer, is replaced within a second, so that
/// a leaving server is known everywhere in time.
class StoreWatchReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ConfigurationReceived const &Event) -> void;
  auto on(ConfigurationConfirmed const &Event) -> void;
  auto on(ServersListed const &Event) -> void;
  auto on(ServersUpdated const &Event) -> void;
  auto on(PeerReported const &Event) -> void;
  auto on(Tick const &Event) -> void;

private:
  /// Returns whether another instance is to watch rather than this one.
  [[nodiscard]] auto hasPrecedence(PeerReport const &Other) const -> bool;
  [[nodiscard]] auto shouldWatch() const -> bool;
  [[nodiscard]] auto hasFreshWatcher() const -> bool;
};

} // namespace dotterel::relay
