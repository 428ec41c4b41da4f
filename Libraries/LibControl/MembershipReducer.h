/// \file
/// Handles the instance list, peer connections and heartbeats.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class MembershipReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(InstancesListed const &Event) -> void;
  auto on(InstanceListFailed const &Event) -> void;
  auto on(PeerConnected const &Event) -> void;
  auto on(PeerDisconnected const &Event) -> void;
  auto on(PeerHeartbeatReceived const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Sends this instance's state to every connected peer.
  auto broadcastHeartbeat() -> void;

private:
  auto mergeListed(ListedInstance const &Listed) -> void;
  auto markUnlisted(std::vector<ListedInstance> const &Listed) -> void;
  auto removeDepartedPeers() -> void;
  auto connectMissingPeers() -> void;
  auto disconnectUnresponsivePeers() -> void;
  [[nodiscard]] auto makeHeartbeat() const -> PeerHeartbeat;
};

/// Returns whether the process of \p Run of instance \p Holder has ended,
/// according to the platform's list or to a later run of the same instance.
/// \p KnownSince is when this instance learned of \p Run.
[[nodiscard]] auto hasRunEnded(State const &CurrentState,
                               InstanceId const &Holder, Incarnation Run,
                               Instant KnownSince) -> bool;

} // namespace dotterel
