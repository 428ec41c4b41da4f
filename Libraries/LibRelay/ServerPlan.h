/// \file
/// Plans how many servers of each kind a service has in each failure domain.
///
/// Answers servers that are paid for by the second: reclaimable servers cost a
/// fraction of on-demand ones, but the platform takes back those of a failure
/// domain together, or has none.
#pragma once

#include "LibRelay/Configuration.h"
#include "LibRelay/LeaderLease.h"

#include <map>
#include <set>
#include <string>

namespace dotterel::relay {

/// Servers of one failure domain, or the number of them that is wanted.
struct DomainServers {
  std::uint32_t OnDemand = 0;
  std::uint32_t Reclaimable = 0;

  auto operator==(DomainServers const &) const -> bool = default;
};

using ServersByDomain = std::map<std::string, DomainServers, std::less<>>;

/// What a plan is made from.
struct ServerFleet {
  /// Servers when the number was first planned; their sum is kept.
  ServerCounts Baseline;
  /// Servers that have served for long enough to be relied on.
  ServersByDomain Usable;
  /// Failure domains that have no reclaimable servers to give now.
  std::set<std::string, std::less<>> Unavailable;
  /// On-demand servers that are always kept, as a share of the baseline.
  double OnDemandShare = 0.2;
};

/// Returns the wanted servers by failure domain. On-demand servers are replaced
/// by reclaimable ones only as these become usable, and a part of them is kept,
/// so that the loss of all reclaimable ones does not end the service. There are
/// enough reclaimable ones for the loss of those of one failure domain.
/// Precondition: the traits name a price of reclaimable servers.
/// Thread safety: any thread.
[[nodiscard]] auto planServers(ScaleTraits const &Traits,
                               ServerFleet const &Fleet) -> ServersByDomain;

} // namespace dotterel::relay
