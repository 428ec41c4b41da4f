/// \file
/// This instance's view of its peers.
#pragma once

#include "LibCore/Identifier.h"
#include "LibCore/Time.h"
#include "LibPeer/Message.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

/// One other instance, as known from the platform's instance list and from its
/// own heartbeats.
struct Peer {
  std::string CallerAddress;
  std::string PeerAddress;
  FailureDomain Domain;
  bool IsListed = false;
  bool IsListedLeaving = false;
  bool IsConnected = false;
  bool IsConnecting = false;
  Instant NextConnect;
  Incarnation Run = 0;
  Instant LastHeardAt;
  /// Content of the last heartbeat of the current connection.
  PeerHeartbeat Heartbeat;
  /// When the peer was found absent from the list, or disconnected after that.
  Instant UnlistedSince;
};

/// All peers of this instance.
struct Membership {
  std::map<InstanceId, Peer> Peers;
  bool HasList = false;
  Instant NextList;
  bool IsListing = false;
  Instant NextHeartbeat;
  /// Runs that ended: replaced by a later run of the same instance, or removed
  /// from the list.
  std::set<Incarnation> EndedRuns;
};

/// Returns whether \p Member is connected and sent a heartbeat recently.
[[nodiscard]] auto isAlive(Peer const &Member, Instant Now) -> bool;

/// Returns whether \p Member is leaving, by its heartbeat or by the list, which
/// may lag behind the heartbeat.
[[nodiscard]] auto isLeaving(Peer const &Member) -> bool;

} // namespace dotterel
