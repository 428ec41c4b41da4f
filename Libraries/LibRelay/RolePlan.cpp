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
constexpr auto WorthShare = 0.1;
constexpr auto WorthCount = 2.0;
constexpr auto BitsPerByte = 8.0;
constexpr auto MegabitBits = 1e6;

} // namespace

auto planPrefillEngines(EngineFleet const &Fleet, EngineDemand const &Demand,
                        EngineTraits const &Traits) -> std::uint32_t {
  auto total = static_cast<double>(Fleet.Prefill + Fleet.Decode);
  auto floor = std::max(SmallestCount, std::ceil(SmallestShare * total));
  if (total < 2 * floor || Demand.PromptTokens <= 0)
    return Fleet.Prefill;
  auto prefill =
      Demand.OwnTokens * RereadFactor / (Fleet.PrefillRate * PrefillUse);
  auto decode = Fleet.DecodeRequests / (Traits.Slots * SlotUse);
  if (Traits.LinkMegabitsPerSecond > 0) {
    auto bits = Demand.PromptTokens * Traits.TokenBytes * BitsPerByte;
    decode = std::max(decode, bits / (Traits.LinkMegabitsPerSecond *
                                      MegabitBits * LinkUse));
  }
  auto wanted = std::round(total * prefill / std::max(prefill + decode, 1e-9));
  wanted = std::clamp(wanted, floor, total - floor);
  auto change = std::abs(wanted - Fleet.Prefill);
  if (change < std::max(WorthCount, WorthShare * total))
    return Fleet.Prefill;
  return static_cast<std::uint32_t>(wanted);
}

} // namespace dotterel::relay
