/// \file
/// Distributes callers over the instances.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class SteeringReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(SteeringRequested const &Event) -> void;

private:
  [[nodiscard]] auto candidates() const -> std::vector<SteeredInstance>;
};

} // namespace dotterel
