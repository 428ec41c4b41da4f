/// \file
/// Tells callers which instances to use.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class SteeringReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(SteeringRequested const &Happened) -> void;

private:
  [[nodiscard]] auto candidates() const -> std::vector<SteeredInstance>;
};

} // namespace dotterel
