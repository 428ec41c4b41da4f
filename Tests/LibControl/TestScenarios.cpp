/// \file
/// Scenario tests: one guarantee under one fault each.
#include "FakeFleet.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

/// Returns a fleet whose leases are held and whose engines have reported.
auto settledFleet(FleetShape Shape = {}) -> FakeFleet {
  auto fleet = FakeFleet(Shape);
  fleet.advance(10s);
  return fleet;
}

auto outcomeOf(FakeFleet const &Fleet, std::size_t Call) -> Outcome {
  return Fleet.call(Call).Responses.at(0).Response.Result;
}

auto codeOf(FakeFleet const &Fleet, std::size_t Call) -> ResultCode {
  return Fleet.call(Call).Responses.at(0).Response.Code;
}

auto holderOf(FakeFleet const &Fleet, int Instances, ShardName const &Shard)
    -> int {
  for (auto n = 0; n < Instances; ++n)
    if (Fleet.isRunning(n) && Fleet.state(n).Leases.Shards.contains(Shard) &&
        isHolder(Fleet.state(n).Leases.Shards.at(Shard)))
      return n;
  return -1;
}

auto shardOfEngine(int Number) -> ShardName {
  return shardOf(EngineId(fmt::format("e{}", Number)));
}

} // namespace

Test(Scenarios, CompletionDeliversAllTokens) {
  auto fleet = settledFleet();
  auto call = fleet.submitCompletion(0, "a roster", 30);
  fleet.advance(5s);
  cr_assert(outcomeOf(fleet, call) == Outcome::Completed);
  cr_assert(fleet.call(call).Tokens.size() == 30);
  cr_assert(fleet.violations().empty());
}

Test(Scenarios, StreamResumesWithoutGapAfterEngineCrash) {
  auto fleet = settledFleet();
  auto call = fleet.submitCompletion(0, "a long roster", 100);
  fleet.advance(1s);
  auto received = fleet.call(call).Tokens.size();
  cr_assert(received > 0 && received < 100);
  for (auto n = 0; n < 4; ++n) {
    if (!fleet.engine(n).Streams.empty())
      fleet.crashEngine(n);
  }
  fleet.advance(10s);
  cr_assert(outcomeOf(fleet, call) == Outcome::Completed);
  cr_assert(fleet.call(call).Tokens.size() == 100);
  cr_assert(fleet.violations().empty());
}

Test(Scenarios, RoleChangeInterruptsNoStream) {
  auto fleet = settledFleet();
  auto calls = std::vector<std::size_t>{};
  for (auto n = 0; n < 12; ++n)
    calls.push_back(
        fleet.submitCompletion(n % 3, fmt::format("roster {}", n), 300));
  fleet.advance(500ms);
  fleet.setRole(0, EngineRole::Prefill);
  fleet.setRole(1, EngineRole::Prefill);
  fleet.advance(60s);
  for (auto call : calls) {
    cr_assert(outcomeOf(fleet, call) == Outcome::Completed);
    cr_assert(fleet.call(call).Tokens.size() == 300);
  }
  cr_assert(fleet.isConverged());
  cr_assert(fleet.ordersExecuted() == 2);
  cr_assert(fleet.violations().empty());
}

Test(Scenarios, LastEngineOfModelIsNotDrained) {
  auto fleet = settledFleet();
  for (auto n = 1; n < 4; ++n)
    fleet.crashEngine(n);
  fleet.advance(15s);
  fleet.setRole(0, EngineRole::Prefill);
  fleet.advance(30s);
  cr_assert(fleet.engine(0).Report.Role == EngineRole::Mixed);
  for (auto n = 1; n < 4; ++n)
    fleet.engine(n).IsDown = false;
  fleet.advance(30s);
  cr_assert(fleet.engine(0).Report.Role == EngineRole::Prefill);
}

Test(Scenarios, ResumedFormerHolderChangesNothing) {
  for (auto checksFencing : {true, false}) {
    auto fleet = settledFleet({3, 4, 2, checksFencing, 7});
    auto holder = holderOf(fleet, 3, shardOfEngine(0));
    cr_assert(holder >= 0);
    fleet.pauseBeforeSending(holder);
    fleet.setRole(0, EngineRole::Prefill);
    fleet.advance(30s);
    auto next = -1;
    for (auto n = 0; n < 3; ++n)
      if (n != holder &&
          isHolder(fleet.state(n).Leases.Shards.at(shardOfEngine(0))))
        next = n;
    cr_assert(next >= 0, "no instance acquired the lease of the paused holder");
    fleet.setRole(0, EngineRole::Mixed);
    fleet.advance(5s);
    fleet.resume(holder);
    fleet.advance(60s);
    cr_assert(fleet.violations().empty());
    cr_assert(fleet.isConverged());
  }
}

Test(Scenarios, LeaseSurvivesLostWriteResponse) {
  auto fleet = settledFleet();
  auto shard = shardOfEngine(0);
  auto holder = holderOf(fleet, 3, shard);
  auto fencing = fleet.state(holder).Leases.Shards.at(shard).Record.Fencing;
  for (auto n = 0; n < 5; ++n) {
    fleet.loseNextWrites(1);
    fleet.advance(3s);
  }
  cr_assert(holderOf(fleet, 3, shard) == holder);
  cr_assert(fleet.state(holder).Leases.Shards.at(shard).Record.Fencing ==
            fencing);
}

Test(Scenarios, EngineThatCrashesDuringOrderReachesDeclaredState) {
  auto fleet = settledFleet();
  fleet.engine(2).CrashesOnNextOrder = true;
  fleet.setRole(2, EngineRole::Prefill);
  fleet.advance(60s);
  cr_assert(fleet.isConverged());
  cr_assert(fleet.violations().empty());
}

Test(Scenarios, BookingSentToTwoInstancesRunsOnce) {
  auto fleet = settledFleet();
  auto key = fleet.keyPrefix(2) + "monday";
  auto first = fleet.submitBooking(0, key);
  auto second = fleet.submitBooking(1, key);
  fleet.advance(2s);
  cr_assert(outcomeOf(fleet, first) == Outcome::Completed);
  cr_assert(outcomeOf(fleet, second) == Outcome::Completed);
  cr_assert(fleet.executions(key) == 1);
}

Test(Scenarios, BookingWithPrefixCompletesDuringApiOutage) {
  auto fleet = settledFleet();
  fleet.setOutage(true);
  fleet.advance(60s);
  auto key = fleet.keyPrefix(1) + "tuesday";
  auto call = fleet.submitBooking(0, key);
  fleet.advance(2s);
  cr_assert(outcomeOf(fleet, call) == Outcome::Completed);
}

Test(Scenarios, BookingWithoutPrefixIsUnknownDuringApiOutage) {
  auto fleet = settledFleet();
  fleet.setOutage(true);
  auto call = fleet.submitBooking(0, "plain");
  fleet.advance(10s);
  cr_assert(outcomeOf(fleet, call) == Outcome::Unknown);
  cr_assert(codeOf(fleet, call) == ResultCode::ClaimStoreUnavailable);
  cr_assert(fleet.executions("plain") == 0);
}

Test(Scenarios, KeyOfEndedRunIsNeverRun) {
  auto fleet = settledFleet();
  auto key = fleet.keyPrefix(2) + "wednesday";
  auto first = fleet.submitBooking(2, key);
  fleet.kill(2);
  fleet.advance(20s);
  fleet.start(2);
  fleet.advance(10s);
  auto retry = fleet.submitBooking(0, key);
  fleet.advance(5s);
  cr_assert(fleet.call(first).Responses.empty());
  cr_assert(outcomeOf(fleet, retry) == Outcome::Unknown);
  cr_assert(codeOf(fleet, retry) == ResultCode::HomeUnreachable);
}

Test(Scenarios, LostResponseIsUnknownAndNeverRetried) {
  auto fleet = settledFleet();
  fleet.loseNextResponses(1);
  auto key = fleet.keyPrefix(0) + "thursday";
  auto first = fleet.submitBooking(0, key);
  fleet.advance(1s);
  auto retry = fleet.submitBooking(1, key);
  fleet.advance(1s);
  cr_assert(outcomeOf(fleet, first) == Outcome::Unknown);
  cr_assert(outcomeOf(fleet, retry) == Outcome::Unknown);
  cr_assert(fleet.executions(key) == 1);
}

Test(Scenarios, LeavingInstanceIsKnownBeforeListUpdate) {
  auto fleet = settledFleet();
  fleet.leave(0);
  fleet.advance(100ms);
  cr_assert(isLeaving(fleet.state(1).Members.Peers.at(InstanceId("i0"))));
  auto early = fleet.submitCompletion(0, "still accepted", 5);
  fleet.advance(2500ms);
  cr_assert(outcomeOf(fleet, early) == Outcome::Completed);
  if (fleet.isRunning(0)) {
    auto late = fleet.submitCompletion(0, "too late", 5);
    cr_assert(codeOf(fleet, late) == ResultCode::InstanceLeaving);
    cr_assert(!fleet.call(late).Responses.at(0).RedirectAddress.empty());
  }
  fleet.advance(20s);
  cr_assert(!fleet.isRunning(0));
}

Test(Scenarios, RollingRestartInterruptsNoCall) {
  auto fleet = settledFleet();
  auto calls = std::vector<std::size_t>{};
  for (auto instance = 0; instance < 3; ++instance) {
    for (auto n = 0; n < 8; ++n)
      calls.push_back(fleet.submitCompletion(
          instance, fmt::format("{} {}", instance, n), 150));
    fleet.leave(instance);
    fleet.advance(20s);
    cr_assert(!fleet.isRunning(instance));
    fleet.start(instance);
    fleet.advance(10s);
  }
  for (auto call : calls)
    cr_assert(outcomeOf(fleet, call) == Outcome::Completed);
  cr_assert(fleet.violations().empty());
}

Test(Scenarios, ConfigurationReachesInstanceCutOffFromApi) {
  auto fleet = settledFleet();
  fleet.setApiCut(2, true);
  fleet.setRole(3, EngineRole::Prefill);
  fleet.advance(2s);
  for (auto n = 0; n < 3; ++n)
    cr_assert(fleet.state(n).Configuration.Current->revision() == 2);
}

Test(Scenarios, StartingInstanceGetsConfigurationFromPeers) {
  auto fleet = settledFleet();
  fleet.kill(2);
  fleet.start(2);
  fleet.setApiCut(2, true);
  fleet.advance(10s);
  // Peers with a lower name connect to this instance, so it needs no instance
  // list to get the configuration.
  cr_assert(fleet.state(2).Configuration.Current != nullptr);
}

Test(Scenarios, PartitionedInstanceBlocksRoleChangeButNoCall) {
  auto fleet = settledFleet();
  auto holder = holderOf(fleet, 3, shardOfEngine(0));
  auto cut = (holder + 1) % 3;
  for (auto n = 0; n < 3; ++n)
    fleet.setPartitioned(cut, n, true);
  fleet.setApiCut(cut, true);
  fleet.advance(5s);
  fleet.setRole(0, EngineRole::Prefill);
  auto calls = std::vector<std::size_t>{};
  for (auto n = 0; n < 3; ++n)
    calls.push_back(fleet.submitCompletion(n, fmt::format("cut {}", n), 50));
  fleet.advance(20s);
  for (auto call : calls)
    cr_assert(outcomeOf(fleet, call) == Outcome::Completed);
  cr_assert(fleet.engine(0).Report.Role == EngineRole::Mixed);
  fleet.healAll();
  fleet.advance(30s);
  cr_assert(fleet.isConverged());
  cr_assert(fleet.violations().empty());
}

Test(Scenarios, SurvivesLossOfHalfTheInstances) {
  auto fleet = settledFleet({6, 4, 2, true, 3});
  for (auto n = 0; n < 3; ++n)
    fleet.kill(n);
  fleet.setRole(1, EngineRole::Prefill);
  auto call = fleet.submitCompletion(4, "after the loss", 40);
  fleet.advance(60s);
  cr_assert(outcomeOf(fleet, call) == Outcome::Completed);
  cr_assert(fleet.isConverged());
  cr_assert(fleet.violations().empty());
}

Test(Scenarios, RejectedCallGetsImmediateResponseWithRetryAfter) {
  auto fleet = settledFleet({3, 1, 2, true, 1});
  fleet.crashEngine(0);
  fleet.advance(15s);
  auto call = fleet.submitCompletion(0, "nobody can", 10);
  cr_assert(outcomeOf(fleet, call) == Outcome::NotRun);
  cr_assert(fleet.call(call).Responses.at(0).RetryAfter.has_value());
  cr_assert(fleet.call(call).FinishedAt == fleet.call(call).SubmittedAt);
}

} // namespace dotterel::test
