/// \file
/// Handles the instance list, connections between instances and heartbeats.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class MembershipReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(InstancesListed const &Happened) -> void;
  auto on(InstanceListFailed const &Happened) -> void;
  auto on(PeerConnected const &Happened) -> void;
  auto on(PeerDisconnected const &Happened) -> void;
  auto on(PeerHeartbeatReceived const &Happened) -> void;
  auto on(Tick const &Happened) -> void;

  /// Sends this instance's state to every connected peer.
  auto broadcastHeartbeat() -> void;

private:
  auto mergeListed(ListedInstance const &Listed) -> void;
  auto noteUnlisted(std::vector<ListedInstance> const &Listed) -> void;
  auto forgetGonePeers() -> void;
  auto connectMissingPeers() -> void;
  auto disconnectSilentPeers() -> void;
  [[nodiscard]] auto makeHeartbeat() const -> PeerHeartbeat;
};

/// Returns whether the process that ran as \p Run of \p Holder has ended, by
/// the platform's list or by a later run of the same instance. \p KnownSince
/// is when this instance learned of \p Run.
[[nodiscard]] auto hasEnded(State const &Subject, InstanceId const &Holder,
                            Incarnation Run, Instant KnownSince) -> bool;

} // namespace dotterel
