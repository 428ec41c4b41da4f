/// \file
/// Events of the fleet: configuration, servers, reachability of the store,
/// peers, steering of callers and shutdown.
#pragma once

#include "LibRelay/SubReducer.h"

#include <span>

namespace dotterel::relay {

/// Maintains the instance's view of the fleet and reports to its peers.
class FleetReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ConfigurationReceived const &Event) -> void;
  auto on(ServersListed const &Event) -> void;
  auto on(ServersUpdated const &Event) -> void;
  auto on(StoreReachabilityObserved const &Event) -> void;
  auto on(PeersListed const &Event) -> void;
  auto on(PeerReported const &Event) -> void;
  auto on(SteeringRequested const &Event) -> void;
  auto on(LeaveRequested const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Applies changes of servers. Precondition: \p Updates is in order of
  /// revision.
  auto apply(std::span<ServerUpdate const> Updates) -> void;

  /// Records that an instance, this one or a peer, could not connect to
  /// \p Target.
  auto suspect(Server &Target, std::string_view PeerAddress,
               std::uint64_t Incarnation) -> void;

private:
  /// Records a response of the store to this instance or to a fresh watcher.
  auto recordStoreResponse() -> void;
  auto handleRemoval(ServerUpdate const &Update) -> void;
  auto put(ServerDescription const &Description) -> void;
  auto remove(std::string const &Id, std::string_view Reason) -> void;
  /// Returns whether calls to the store fail and it has not responded for so
  /// long that entries of live servers may lapse.
  [[nodiscard]] auto isOutage() const -> bool;
  [[nodiscard]] auto isDuringOrAfterOutage() const -> bool;
  auto sendReport() -> void;
  auto stopWhenDrained() -> void;
};

} // namespace dotterel::relay
