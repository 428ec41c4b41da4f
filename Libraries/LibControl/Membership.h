/// \file
/// What this instance knows of the others.
#pragma once

#include "LibCore/Identifier.h"
#include "LibCore/Time.h"
#include "LibPeer/Message.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

/// One other instance, from the platform's list and from its own word.
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
  Instant LastHeard;
  /// Content of the last heartbeat of the current connection.
  PeerHeartbeat Heartbeat;
  /// When this instance saw the peer disappear from the list.
  Instant UnlistedSince;
};

/// All other instances.
struct Membership {
  std::map<InstanceId, Peer> Peers;
  bool HasList = false;
  Instant NextList;
  bool IsListing = false;
  Instant NextHeartbeat;
  /// Runs that ended: replaced by a later run of the same instance, or absent
  /// from the list.
  std::set<Incarnation> EndedRuns;
};

/// Returns whether \p Member was heard of recently enough to be used.
[[nodiscard]] auto isAlive(Peer const &Member, Instant Now) -> bool;

/// Returns whether \p Member is known to be leaving. Its own word counts
/// before the list's.
[[nodiscard]] auto isLeaving(Peer const &Member) -> bool;

} // namespace dotterel
