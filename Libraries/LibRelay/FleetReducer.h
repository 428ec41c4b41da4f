/// \file
/// What the instance knows of the fleet: configuration, servers, the store,
/// the other instances; and where callers should connect.
#pragma once

#include "LibRelay/SubReducer.h"

#include <span>

namespace dotterel::relay {

/// Takes in what is known of the fleet and tells the other instances.
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

  /// Applies changes of servers in the order in which they were made.
  auto apply(std::span<ServerUpdate const> Updates) -> void;

  /// Notes that the instance with \p PeerAddress and \p Incarnation, this one
  /// or another, found no connection to \p Target.
  auto suspect(Server &Target, std::string_view PeerAddress,
               std::uint64_t Incarnation) -> void;

private:
  /// The store has answered this instance or a fresh watcher.
  auto recordStoreResponse() -> void;
  auto handleRemoval(ServerUpdate const &Update) -> void;
  auto put(ServerDescription const &Described) -> void;
  auto remove(std::string const &Id, std::string_view Reason) -> void;
  /// The store fails calls, and has not answered for so long that entries of
  /// live servers may lapse.
  [[nodiscard]] auto isOutage() const -> bool;
  [[nodiscard]] auto isDuringOrAfterOutage() const -> bool;
  auto sendReport() -> void;
  auto stopWhenDrained() -> void;
};

} // namespace dotterel::relay
