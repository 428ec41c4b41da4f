#include "LibRelay/RolePlan.h"

#include <algorithm>
#include <cmath>

namespace dotterel::relay {

namespace {

/// Planned utilization of prefill engines; the rest absorbs bursts.
constexpr auto PrefillUtilization = 0.55;
/// Factor by which the tokens to prefill exceed the unshared tokens, because
/// some shared prefixes are prefilled again.
constexpr auto RecomputeFactor = 1.25;
/// Planned utilization of the batch slots.
constexpr auto SlotUtilization = 0.5;
/// Planned utilization of an engine's link by KV cache transfers. Transfers
/// from another failure domain take twice as long.
constexpr auto LinkUtilization = 0.25;
/// Minimum of engines of each stage, as a share of all engines and as a number,
/// so that losing some does not end the service.
constexpr auto MinimumStageShare = 0.15;
constexpr auto MinimumStageEngines = 2.0;
/// Minimum change in the number of prefill engines that justifies orders, as a
/// share of all engines and as a number.
constexpr auto MinimumChangeShare = 0.2;
constexpr auto MinimumChangeEngines = 3.0;
constexpr auto BitsPerByte = 8.0;
constexpr auto BitsPerMegabit = 1e6;

auto totalEngines(EngineFleet const &Fleet) -> double {
  return static_cast<double>(Fleet.Prefill + Fleet.Decode);
}

/// Limits the number of prefill engines so that both stages keep their minimum.
/// Returns the current number if there are too few engines for that.
auto clampPrefillEngines(EngineFleet const &Fleet, double Wanted)
    -> std::uint32_t {
  auto minimum = std::max(MinimumStageEngines,
                          std::ceil(MinimumStageShare * totalEngines(Fleet)));
  if (totalEngines(Fleet) < 2 * minimum)
    return Fleet.Prefill;
  return static_cast<std::uint32_t>(
      std::clamp(std::round(Wanted), minimum, totalEngines(Fleet) - minimum));
}

} // namespace

auto initialPrefillEngines(EngineFleet const &Fleet, double Share)
    -> std::uint32_t {
  return clampPrefillEngines(Fleet, Share * totalEngines(Fleet));
}

auto planPrefillEngines(EngineFleet const &Fleet, EngineDemand const &Demand,
                        EngineTraits const &Traits) -> std::uint32_t {
  if (Demand.PromptTokens <= 0)
    return Fleet.Prefill;
  auto prefill = Demand.UnsharedTokens * RecomputeFactor /
                 (Fleet.PrefillRate * PrefillUtilization);
  auto decode = Fleet.DecodeRequests / (Traits.Slots * SlotUtilization);
  if (Traits.LinkMegabitsPerSecond > 0) {
    auto bits = Demand.PromptTokens * Traits.KvCacheBytesPerToken * BitsPerByte;
    decode = std::max(decode, bits / (Traits.LinkMegabitsPerSecond *
                                      BitsPerMegabit * LinkUtilization));
  }
  if (prefill + decode <= 0)
    return Fleet.Prefill;
  auto wanted = clampPrefillEngines(Fleet, totalEngines(Fleet) * prefill /
                                               (prefill + decode));
  auto change = std::abs(static_cast<double>(wanted) - Fleet.Prefill);
  if (change <
      std::max(MinimumChangeEngines, MinimumChangeShare * totalEngines(Fleet)))
    return Fleet.Prefill;
  return wanted;
}

} // namespace dotterel::relay
