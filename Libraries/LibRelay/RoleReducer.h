/// \file
/// Plans the stages of the engines and sends the orders to change them.
///
/// Each batch of orders requires a conditional write of the lease object in the
/// store right before it; the revision of this write is the fencing number.
/// Another instance may write only after the object has been unchanged for
/// longer than an order can be in flight, so that the orders of two instances
/// never alternate within a short time.
#pragma once

#include "LibRelay/RolePlan.h"
#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Plans stages and sends orders. Only the ready instance with the lowest peer
/// address does so; if two instances consider themselves to be that one, the
/// conditional write decides.
class RoleReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(LeaseRead const &Event) -> void;
  auto on(LeaseWritten const &Event) -> void;
  auto on(OrderResultReceived const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Discards the lease and all orders that have not been sent, and writes no
  /// lease until the orders of every earlier holder have expired. Called when
  /// the store has been restored and may have lost the lease.
  auto suspendOrders() -> void;

private:
  [[nodiscard]] auto isPlanner() const -> bool;
  [[nodiscard]] auto mayWriteLease() const -> bool;
  auto expireOrders() -> void;
  auto plan() -> void;
  auto planService(Service const &Target) -> void;
  [[nodiscard]] auto wantedPrefill(Service const &Target,
                                   EngineFleet const &Fleet) -> std::uint32_t;
  auto announceOrders(std::vector<Server *> const &Chosen, EngineStage Stage)
      -> void;
  auto writeLeaseIfDue() -> void;
};

} // namespace dotterel::relay
