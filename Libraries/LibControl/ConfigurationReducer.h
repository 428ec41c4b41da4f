/// \file
/// Watches for configurations and keeps the highest revision seen.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class ConfigurationReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ConfigurationReceived const &Event) -> void;
  auto on(ConfigurationWatchEnded const &Event) -> void;
  auto on(ConfigurationRequested const &Event) -> void;
  auto on(Tick const &Event) -> void;

private:
  [[nodiscard]] auto shouldWatch() const -> bool;
};

} // namespace dotterel
