/// \file
/// Keeps the highest configuration revision that this instance has seen.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class ConfigurationReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ConfigurationReceived const &Happened) -> void;
  auto on(ConfigurationWatchEnded const &Happened) -> void;
  auto on(ConfigurationRequested const &Happened) -> void;
  auto on(Tick const &Happened) -> void;

private:
  [[nodiscard]] auto isRelay() const -> bool;
};

} // namespace dotterel
