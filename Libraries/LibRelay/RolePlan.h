/// \file
/// Plans how many engines of a service serve the prefill stage and how many
/// decode. Engines in the decode stage run prefill at half the speed and pause
/// their streams meanwhile, so the split has to follow the mix of prompt and
/// output tokens.
#pragma once

#include "LibRelay/Configuration.h"
#include "LibRelay/DemandMeter.h"

#include <cstdint>

namespace dotterel::relay {

/// The current engines of one service.
struct EngineFleet {
  std::uint32_t Prefill = 0;
  std::uint32_t Decode = 0;
  /// Requests at engines that decode.
  std::uint32_t DecodeRequests = 0;
  /// Tokens per second that one prefill engine processes.
  double PrefillRate = 1;
};

/// Returns the number of prefill engines if they are to make up \p Share of all
/// engines. Used before demand is known.
[[nodiscard]] auto initialPrefillEngines(EngineFleet const &Fleet, double Share)
    -> std::uint32_t;

/// Returns the number of prefill engines that fits \p Demand, or the current
/// number if the gain would not justify a change.
[[nodiscard]] auto planPrefillEngines(EngineFleet const &Fleet,
                                      EngineDemand const &Demand,
                                      EngineTraits const &Traits)
    -> std::uint32_t;

} // namespace dotterel::relay
