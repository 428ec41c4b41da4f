/// \file
/// Takes an instance through its graceful shutdown.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class LifecycleReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(LeaveRequested const &Happened) -> void;
  auto on(Tick const &Happened) -> void;

private:
  [[nodiscard]] auto hasReleasedShards() const -> bool;
};

} // namespace dotterel
