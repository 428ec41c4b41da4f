#include "LibRelay/ServerPlan.h"

#include <algorithm>
#include <cmath>

namespace dotterel::relay {

namespace {

auto minimumOnDemand(ScaleTraits const &Traits, std::uint32_t Baseline,
                     double Share) -> std::uint32_t {
  auto const share = static_cast<std::uint32_t>(std::ceil(Share * Baseline));
  return std::min(Baseline, std::max({share, Traits.Minimum, 1U}));
}

/// Returns the reclaimable servers of a failure domain that replace
/// \p Replaced on-demand ones, with its share of the reserve: the others still
/// suffice if one of \p Domains loses all of its reclaimable servers.
auto withReserve(std::uint32_t Replaced, std::size_t Domains) -> std::uint32_t {
  if (Domains < 2)
    return Replaced;
  return static_cast<std::uint32_t>((Replaced * Domains + Domains - 2) /
                                    (Domains - 1));
}

auto usableIn(ServerFleet const &Fleet, std::string_view Domain)
    -> DomainServers {
  auto it = Fleet.Usable.find(Domain);
  return it == Fleet.Usable.end() ? DomainServers{} : it->second;
}

/// Adds up to \p Missing on-demand servers where they were at the start, evenly
/// over the failure domains.
auto coverWithOnDemand(ScaleTraits const &Traits, ServerFleet const &Fleet,
                       std::uint32_t Missing, ServersByDomain &Plan) -> void {
  for (auto hasRoom = true; hasRoom && Missing > 0;) {
    hasRoom = false;
    for (auto const &[domain, baseline] : Fleet.Baseline) {
      auto &wanted = Plan[domain];
      auto const held = wanted.OnDemand + usableIn(Fleet, domain).Reclaimable;
      if (Missing == 0 || wanted.OnDemand >= baseline || held >= Traits.Maximum)
        continue;
      ++wanted.OnDemand;
      --Missing;
      hasRoom = true;
    }
  }
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
    wanted.OnDemand = minimumOnDemand(Traits, baseline, Fleet.OnDemandShare);
    auto const reclaimable = std::min(
        withReserve(baseline - wanted.OnDemand, Fleet.Baseline.size()),
        Traits.Maximum > wanted.OnDemand ? Traits.Maximum - wanted.OnDemand
                                         : 0U);
    if (Fleet.Unavailable.contains(domain))
      missing += reclaimable;
    else
      wanted.Reclaimable = reclaimable;
    total += baseline;
    covered += wanted.OnDemand + usableIn(Fleet, domain).Reclaimable;
  }
  // Other failure domains stand in for those without reclaimable servers.
  for (auto &[domain, wanted] : plan) {
    if (Fleet.Unavailable.contains(domain))
      continue;
    auto const used = wanted.OnDemand + wanted.Reclaimable;
    auto const room = Traits.Maximum > used ? Traits.Maximum - used : 0U;
    auto const more = std::min(room, missing);
    wanted.Reclaimable += more;
    missing -= more;
  }
  coverWithOnDemand(Traits, Fleet, total > covered ? total - covered : 0U,
                    plan);
  for (auto &[domain, wanted] : plan) {
    // On-demand servers that are still there count towards the maximum.
    auto const used =
        std::max(usableIn(Fleet, domain).OnDemand, wanted.OnDemand);
    wanted.Reclaimable = std::min(
        wanted.Reclaimable, Traits.Maximum > used ? Traits.Maximum - used : 0U);
  }
  return plan;
}

} // namespace dotterel::relay
