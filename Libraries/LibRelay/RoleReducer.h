/// \file
/// Which engines change their stage, and the one instance that may order it.
///
/// An order needs a conditional write of one object in the store right before
/// it, and its revision is the fencing number. Another instance may write only
/// after the object has not changed for longer than an order can be under way,
/// so that orders of two instances never take turns within a short time.
#pragma once

#include "LibRelay/RolePlan.h"
#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Plans stages and gives orders. Only the instance that comes first among
/// those that live acts; the store decides if two believe that they do.
class RoleReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(LeaseRead const &Event) -> void;
  auto on(LeaseWritten const &Event) -> void;
  auto on(OrderResultReceived const &Event) -> void;
  auto on(Tick const &Event) -> void;

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
