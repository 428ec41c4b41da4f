#include "LibRelay/ServerPlan.h"

#include <algorithm>
#include <cmath>

namespace dotterel::relay {

namespace {

/// Ordinary servers that are kept, as a share of the baseline: what serves the
/// urgent requests while lost servers are replaced.
constexpr auto MinimumOrdinaryShare = 0.2;

auto minimumOrdinary(ScaleTraits const &Traits, std::uint32_t Baseline)
    -> std::uint32_t {
  auto const share =
      static_cast<std::uint32_t>(std::ceil(MinimumOrdinaryShare * Baseline));
  return std::min(Baseline, std::max({share, Traits.Minimum, 1U}));
}

/// Returns the reclaimable servers of a failure domain that has to replace
/// \p Ordinary servers. The others still suffice if one of \p Domains loses
/// all of its reclaimable servers.
auto withReserve(std::uint32_t Ordinary, std::size_t Domains) -> std::uint32_t {
  if (Domains < 2)
    return Ordinary;
  return static_cast<std::uint32_t>((Ordinary * Domains + Domains - 2) /
                                    (Domains - 1));
}

} // namespace

auto planServers(ScaleTraits const &Traits, ServerFleet const &Fleet)
    -> ServersByDomain {
  auto plan = ServersByDomain{};
  auto total = std::uint32_t{0};
  auto covered = std::uint32_t{0};
  auto missing = std::uint32_t{0};
  for (auto const &[domain, baseline] : Fleet.Baseline) {
    auto &wanted = plan[domain];
    wanted.Ordinary = minimumOrdinary(Traits, baseline);
    auto const reclaimable = std::min(
        withReserve(baseline - wanted.Ordinary, Fleet.Baseline.size()),
        Traits.Maximum > wanted.Ordinary ? Traits.Maximum - wanted.Ordinary
                                         : 0U);
    if (Fleet.Unavailable.contains(domain))
      missing += reclaimable;
    else
      wanted.Reclaimable = reclaimable;
    total += baseline;
    auto const usable = Fleet.Usable.find(domain);
    covered += wanted.Ordinary;
    if (usable != Fleet.Usable.end())
      covered += usable->second.Reclaimable;
  }
  // Other failure domains stand in for those without reclaimable servers.
  for (auto &[domain, wanted] : plan) {
    if (Fleet.Unavailable.contains(domain))
      continue;
    auto const used = wanted.Ordinary + wanted.Reclaimable;
    auto const room = Traits.Maximum > used ? Traits.Maximum - used : 0U;
    auto const more = std::min(room, missing);
    wanted.Reclaimable += more;
    missing -= more;
  }
  // Ordinary servers cover what is not usable yet, where they were before.
  auto uncovered = total > covered ? total - covered : 0U;
  for (auto const &[domain, baseline] : Fleet.Baseline) {
    auto &wanted = plan[domain];
    auto const usable = Fleet.Usable.find(domain);
    auto const reclaimable =
        usable == Fleet.Usable.end() ? 0U : usable->second.Reclaimable;
    auto const held = std::max(reclaimable, wanted.Reclaimable);
    auto const room = Traits.Maximum > wanted.Ordinary + held
                          ? Traits.Maximum - wanted.Ordinary - held
                          : 0U;
    auto const more = std::min({uncovered, room, baseline - wanted.Ordinary});
    wanted.Ordinary += more;
    uncovered -= more;
  }
  return plan;
}

} // namespace dotterel::relay
