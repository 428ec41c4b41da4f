/// \file
/// Events of the fleet: configuration, peers, steering of callers and shutdown.
#pragma once

#include "LibRelay/SubReducer.h"

#include <span>

namespace dotterel::relay {

/// Maintains the instance's view of the fleet and reports to its peers.
class FleetReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ConfigurationReceived const &Event) -> void;
  auto on(PeersListed const &Event) -> void;
  auto on(PeerReported const &Event) -> void;
  auto on(SteeringRequested const &Event) -> void;
  auto on(LeaveRequested const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Records that an instance, this one or a peer, could not connect to
  /// \p Target.
  auto suspect(Server &Target, std::string_view PeerAddress,
               std::uint64_t Incarnation) -> void;

private:
  /// Compares the configuration with those that the peers report. A peer may
  /// have a newer version from before the store was restored.
  auto updateBehindPeers() -> void;
  auto sendReport() -> void;
  auto stopWhenDrained() -> void;
};

} // namespace dotterel::relay
