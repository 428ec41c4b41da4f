/// \file
/// How many engines should read prompts and how many make tokens. Answers a
/// mix of prompt and output that does not fit the engines' stages: engines
/// that make tokens read at half the speed and make their streams pause.
#pragma once

#include "LibRelay/Configuration.h"
#include "LibRelay/DemandMeter.h"

#include <cstdint>

namespace dotterel::relay {

/// The engines of one service as they are.
struct EngineFleet {
  std::uint32_t Prefill = 0;
  std::uint32_t Decode = 0;
  /// Requests at engines that make tokens.
  std::uint32_t DecodeRequests = 0;
  /// Tokens per second that one prefill engine reads.
  double PrefillRate = 1;
};

/// Returns how many engines should read prompts if nothing is known of the
/// demand and \p Share of them should.
[[nodiscard]] auto initialPrefillEngines(EngineFleet const &Fleet, double Share)
    -> std::uint32_t;

/// Returns how many engines should read prompts; the present number if a
/// change would gain too little.
[[nodiscard]] auto planPrefillEngines(EngineFleet const &Fleet,
                                      EngineDemand const &Demand,
                                      EngineTraits const &Traits)
    -> std::uint32_t;

} // namespace dotterel::relay
