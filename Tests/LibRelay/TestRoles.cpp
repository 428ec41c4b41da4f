#include "LibRelay/RelayNode.h"
#include "LibRelay/RolePlan.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

/// Returns a node at the first start of the system, whose plan calls for stage
/// changes.
auto makeFirstStartNode() -> RelayNode {
  auto node = RelayNode();
  addDecodeEngines(node);
  node.CurrentState.Options.IsFirstStart = true;
  return node;
}

auto advanceUntilLeaseRead(RelayNode &Node) -> void {
  for (auto n = 0; n < 40 && effect<ReadLease>(Node.LastEffects) == nullptr;
       ++n)
    Node.advance(50ms);
  cr_assert_not_null(effect<ReadLease>(Node.LastEffects));
}

} // namespace

Test(RelayRoles, OrdersFollowAConditionalWrite) {
  auto node = makeFirstStartNode();
  advanceUntilLeaseRead(node);
  node.feed(LeaseRead{true, atRevision(0), ""});
  auto effects = node.advance(1500ms);
  cr_assert_null(effect<SendOrder>(effects));
  cr_assert_not_null(effect<WriteLease>(effects));
  node.feed(LeaseWritten{true, atRevision(40), 5s});
  cr_assert_gt(countEffects<SendOrder>(node.LastEffects), 0);
  auto const *order = effect<SendOrder>(node.LastEffects);
  cr_assert_eq(order->FencingNumber, 40);
  cr_assert(order->Holder == "i0");
  cr_assert(order->ValidUntil == 5s);
}

Test(RelayRoles, LostLeaseWriteSendsNoOrders) {
  auto node = makeFirstStartNode();
  advanceUntilLeaseRead(node);
  node.feed(LeaseRead{true, atRevision(0), ""});
  node.advance(1500ms);
  node.feed(LeaseWritten{false, atRevision(0), 5s});
  cr_assert_eq(countEffects<SendOrder>(node.LastEffects), 0);
  cr_assert_eq(countEffects<SendOrder>(node.advance(3s)), 0);
}

Test(RelayRoles, LeaseIsTakenOverOnlyAfterOrdersExpired) {
  auto node = makeFirstStartNode();
  advanceUntilLeaseRead(node);
  node.feed(LeaseRead{true, atRevision(33), "i9"});
  auto written = Duration{};
  for (auto elapsed = Duration{}; elapsed < 12s; elapsed += 50ms) {
    auto effects = node.advance(50ms);
    if (effect<ReadLease>(effects) != nullptr)
      node.feed(LeaseRead{true, atRevision(33), "i9"});
    if (effect<WriteLease>(effects) != nullptr && written == Duration{})
      written = elapsed;
  }
  cr_assert(written >= 9s);
}

Test(RelayRoles, OnlyTheFirstInstanceSendsOrders) {
  auto node = makeFirstStartNode();
  auto message = PeerReport{};
  message.Instance = "a";
  message.Incarnation = 4;
  message.PeerAddress = "a";
  message.IsReady = true;
  for (auto n = 1U; n < 100; ++n) {
    message.SequenceNumber = n;
    node.feed(PeerReported{message});
    cr_assert_null(effect<ReadLease>(node.advance(50ms)));
  }
}

Test(RelayRoles, PromptHeavyLoadGetsMorePrefillEngines) {
  auto traits = EngineTraits{};
  traits.Slots = 64;
  auto fleet = EngineFleet{6, 12, 100, 45000};
  auto demand = EngineDemand{400000, 900000};
  cr_assert_gt(planPrefillEngines(fleet, demand, traits), 10);
  // Long outputs: all batch slots are taken and there is little prefill.
  fleet = EngineFleet{12, 6, 380, 45000};
  demand = EngineDemand{20000, 60000};
  cr_assert_lt(planPrefillEngines(fleet, demand, traits), 8);
}

Test(RelayRoles, SmallDifferencesCauseNoOrders) {
  auto traits = EngineTraits{};
  traits.Slots = 64;
  for (auto tokens = 180000; tokens < 260000; tokens += 10000) {
    auto fleet = EngineFleet{12, 6, 130, 45000};
    auto demand = EngineDemand{static_cast<double>(tokens), 600000};
    cr_assert_eq(planPrefillEngines(fleet, demand, traits), 12);
  }
}

Test(RelayRoles, BothStagesKeepTheirMinimum) {
  auto fleet = EngineFleet{6, 12, 0, 45000};
  cr_assert_eq(initialPrefillEngines(fleet, 1.0), 15);
  cr_assert_eq(initialPrefillEngines(fleet, 0.0), 3);
  cr_assert_eq(initialPrefillEngines({1, 2, 0, 1}, 1.0), 1);
}

} // namespace dotterel::relay::test
