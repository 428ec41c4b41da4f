/// \file
/// Who watches the store, and what the others take from the watchers.
#pragma once

#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Decides whether this instance watches the store. A watcher whose reports
/// stop, or whose store does not answer, is replaced within a second, so that
/// a leaving server is known everywhere in time.
class FollowReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ConfigurationReceived const &Happened) -> void;
  auto on(ConfigurationConfirmed const &Happened) -> void;
  auto on(ServersListed const &Happened) -> void;
  auto on(ServersUpdated const &Happened) -> void;
  auto on(PeerReported const &Happened) -> void;
  auto on(Tick const &Happened) -> void;

private:
  /// Returns whether another instance is to watch rather than this one.
  [[nodiscard]] auto comesBefore(PeerReport const &Other) const -> bool;
  [[nodiscard]] auto isWatcher() const -> bool;
  [[nodiscard]] auto hasFreshWatcher() const -> bool;
};

} // namespace dotterel::relay
