#include "LibRelay/RolePlan.h"

#include <algorithm>
#include <cmath>

namespace dotterel::relay {

namespace {

/// Prompt engines are planned to be busy for this part of the time, so that
/// bursts find room.
constexpr auto PrefillUse = 0.55;
/// Shared beginnings that are read again, as a factor on the own tokens.
constexpr auto RereadFactor = 1.25;
/// Part of the batch that is planned to be taken.
constexpr auto SlotUse = 0.5;
/// Part of an engine's link that is planned for moved prompts. Moves from
/// another failure domain take twice as long.
constexpr auto LinkUse = 0.25;
/// Fewest engines of each stage, as a part of all and as a number: the loss of
/// some must not end the service.
constexpr auto SmallestShare = 0.15;
constexpr auto SmallestCount = 2.0;
/// Change of the number of engines that is worth an order, as a part of all
/// and as a number.
constexpr auto WorthShare = 0.2;
constexpr auto WorthCount = 3.0;
constexpr auto BitsPerByte = 8.0;
constexpr auto MegabitBits = 1e6;

auto total(EngineFleet const &Fleet) -> double {
  return static_cast<double>(Fleet.Prefill + Fleet.Decode);
}

/// Keeps enough engines of both stages; the present number if there are too
/// few engines to choose.
auto bounded(EngineFleet const &Fleet, double Wanted) -> std::uint32_t {
  auto floor = std::max(SmallestCount, std::ceil(SmallestShare * total(Fleet)));
  if (total(Fleet) < 2 * floor)
    return Fleet.Prefill;
  return static_cast<std::uint32_t>(
      std::clamp(std::round(Wanted), floor, total(Fleet) - floor));
}

} // namespace

auto initialPrefillEngines(EngineFleet const &Fleet, double Share)
    -> std::uint32_t {
  return bounded(Fleet, Share * total(Fleet));
}

auto planPrefillEngines(EngineFleet const &Fleet, EngineDemand const &Demand,
                        EngineTraits const &Traits) -> std::uint32_t {
  if (Demand.PromptTokens <= 0)
    return Fleet.Prefill;
  auto prefill =
      Demand.UnsharedTokens * RereadFactor / (Fleet.PrefillRate * PrefillUse);
  auto decode = Fleet.DecodeRequests / (Traits.Slots * SlotUse);
  if (Traits.LinkMegabitsPerSecond > 0) {
    auto bits = Demand.PromptTokens * Traits.KvCacheBytesPerToken * BitsPerByte;
    decode = std::max(
        decode, bits / (Traits.LinkMegabitsPerSecond * MegabitBits * LinkUse));
  }
  if (prefill + decode <= 0)
    return Fleet.Prefill;
  auto wanted = bounded(Fleet, total(Fleet) * prefill / (prefill + decode));
  auto change = std::abs(static_cast<double>(wanted) - Fleet.Prefill);
  if (change < std::max(WorthCount, WorthShare * total(Fleet)))
    return Fleet.Prefill;
  return wanted;
}

} // namespace dotterel::relay
