#include "LibRelay/ServerPlan.h"

#include <algorithm>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

auto traits() -> ScaleTraits {
  auto traits = ScaleTraits{};
  traits.Minimum = 1;
  traits.Maximum = 40;
  traits.ReclaimablePrice = 0.22;
  return traits;
}

auto fleet() -> ServerFleet {
  return {{{"a", 20}, {"b", 20}, {"c", 20}},
          {{"a", {20, 0}}, {"b", {20, 0}}, {"c", {20, 0}}},
          {}};
}

auto sum(ServersByDomain const &Plan) -> DomainServers {
  auto total = DomainServers{};
  for (auto const &it : Plan) {
    total.OnDemand += it.second.OnDemand;
    total.Reclaimable += it.second.Reclaimable;
  }
  return total;
}

} // namespace

// On-demand servers must not leave before others can take their work.
Test(ServerPlan, KeepsOnDemandServersUntilOthersServe) {
  auto const plan = planServers(traits(), fleet());
  cr_expect_eq(sum(plan).OnDemand, 60U);
  // Both kinds together are limited.
  cr_expect_eq(sum(plan).Reclaimable, 60U);
}

Test(ServerPlan, ReplacesAsReclaimableServersBecomeUsable) {
  auto now = fleet();
  for (auto n = 0U; n <= 24; ++n) {
    auto const ordinary = std::max(12U, 60 - std::min(60U, 3 * n));
    for (auto &it : now.Usable)
      it.second = {ordinary / 3, n};
    auto const total = sum(planServers(traits(), now));
    cr_expect_eq(total.OnDemand, ordinary);
    cr_expect_eq(total.Reclaimable, std::min(72U, 120 - ordinary));
  }
}

// The platform takes back all reclaimable servers of a failure domain.
Test(ServerPlan, LossOfOneDomainNeedsNoOnDemandServers) {
  auto now = fleet();
  now.Usable = {{"a", {4, 0}}, {"b", {4, 24}}, {"c", {4, 24}}};
  cr_expect_eq(sum(planServers(traits(), now)).OnDemand, 12U);
  now.Unavailable.insert("a");
  auto const plan = planServers(traits(), now);
  cr_expect_eq(plan.at("a").Reclaimable, 0U);
  cr_expect_eq(sum(plan).Reclaimable, 72U);
}

Test(ServerPlan, OnDemandServersCoverTheLossOfTwoDomains) {
  auto now = fleet();
  now.Usable = {{"a", {4, 0}}, {"b", {4, 0}}, {"c", {4, 24}}};
  cr_expect_eq(sum(planServers(traits(), now)).OnDemand, 36U);
}

Test(ServerPlan, StaysWithinTheBounds) {
  auto narrow = traits();
  narrow.Maximum = 22;
  auto now = fleet();
  now.Unavailable = {"b"};
  for (auto const &it : planServers(narrow, now))
    cr_expect_leq(it.second.OnDemand + it.second.Reclaimable, 22U, "%s",
                  it.first.c_str());
  cr_expect(planServers(traits(), ServerFleet{}).empty());
}

// Without reclaimable servers anywhere, the fleet is as it was at the start.
Test(ServerPlan, NoneAvailableKeepsTheBaseline) {
  auto now = fleet();
  now.Unavailable = {"a", "b", "c"};
  auto const total = sum(planServers(traits(), now));
  cr_expect_eq(total.OnDemand, 60U);
  cr_expect_eq(total.Reclaimable, 0U);
}

} // namespace dotterel::relay::test
