/// \file
/// Handles the graceful shutdown of an instance.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class LifecycleReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(LeaveRequested const &Event) -> void;
  auto on(Tick const &Event) -> void;

private:
  [[nodiscard]] auto hasReleasedShards() const -> bool;
};

} // namespace dotterel
