// One segment of some prompts crashes each engine that decodes it. Requests
// with it come to any instance; sound ones share their other segments.
#include "LibRelay/FleetTraffic.h"
#include "LibRelay/RelayNode.h"

#include <random>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

/// Time between two sound prompts.
constexpr auto PromptInterval = Duration{9ms};
constexpr auto DefaultLimits = RetryLimits{0.2, 126, 10s};

/// Returns the key of the segment \p Hash, as a list.
auto keysOf(std::uint64_t Hash) -> std::vector<SuspectKey> {
  auto request = Request{};
  request.Model = "m";
  request.PromptSegments = {{Hash, 1}, {0, 1}};
  return sharedSegments(request);
}

/// Returns a fleet whose size, losses and restarts depend on the seed.
auto drawOptions(std::uint64_t Seed, RetryLimits const &Limits)
    -> EngineFleetOptions {
  auto random = std::mt19937_64(Seed);
  auto draw = [&](unsigned From, unsigned To) {
    return std::uniform_int_distribution<unsigned>(From, To)(random);
  };
  auto options = EngineFleetOptions{};
  options.Seed = Seed;
  options.Retries = Limits;
  options.Instances = draw(8, 24);
  options.PrefillEngines = draw(8, 14);
  options.DecodeEngines = draw(5, 10);
  options.ReportLoss = draw(0, 20) / 100.0;
  options.RestartTime = std::chrono::milliseconds(draw(1500, 4500));
  return options;
}

/// Runs \p Check on fleets with different seeds, ten seconds after crashing
/// prompts have begun to arrive at 2 to 8 a second.
template <typename Function>
auto forEachSeed(RetryLimits const &Limits, Function Check) -> void {
  for (auto n = std::uint64_t{0}; n < Seeds; ++n) {
    auto const options = drawOptions(firstSeed() + n, Limits);
    auto fleet = EngineFleet(options);
    fleet.setCrashingSegment(CrashingSegment);
    fleet.run(2s);
    auto traffic = PromptTraffic(fleet, options.Seed, PromptInterval);
    fleet.run(5s);
    traffic.startCrashing(std::chrono::milliseconds(125 << (options.Seed % 3)));
    fleet.run(10s);
    Check(fleet, options.Seed);
  }
}

} // namespace

// Regression test: after a failed connection to an engine that decodes, prompts
// were prefilled again without charging the retry budget.
Test(RelayCrashingPrompt, RepeatedPrefillIsChargedToTheRetryBudget) {
  auto node = RelayNode();
  node.CurrentState.Options.Retries = {0, 0, 10s};
  auto number = node.request(RouteKind::Stream, prompt(1, 1000, 500));
  auto &budget = node.CurrentState.RetryBudgets["model"];
  while (budget.withdraw(node.CurrentState.Options.Retries, 1, node.Now)) {
  }
  cr_assert(node.connect(number)->Parameters.IsPrefill);
  node.feed(AttemptPrefilled{node.attemptId(number), "handle"});
  auto prefills = 0;
  while (node.currentAttempt(number) != nullptr) {
    if (node.currentAttempt(number)->IsPrefill) {
      auto send = node.connect(number);
      prefills += send && send->Parameters.IsPrefill ? 1 : 0;
      node.feed(AttemptPrefilled{node.attemptId(number), "handle"});
    } else {
      node.feed(
          AttemptUnreachable{node.attemptId(number), "connection failed"});
    }
  }
  cr_assert_eq(prefills, 0);
}

// Load: engines that decode crash and restart all the time, in a deployment
// that permits few retries.
Test(RelayCrashingPrompt, RepeatsStayWithinTheRetryBudget) {
  auto const limits = RetryLimits{0.05, 50, 10s};
  forEachSeed(limits, [&limits](EngineFleet &Fleet, std::uint64_t Seed) {
    auto excess = Fleet.record().arrivalsAboveBudget(limits);
    cr_expect(excess <= 0, "seed %lu: %.0f arrivals above the budget", Seed,
              excess);
  });
}

// Regression test: instances sent prompts with a segment on that had crashed
// every engine before.
Test(RelayCrashingPrompt, SegmentThatCrashesEnginesIsQuarantined) {
  constexpr auto MaximumLaterArrivals = 3U;
  forEachSeed(DefaultLimits, [](EngineFleet &Fleet, std::uint64_t Seed) {
    Fleet.run(10s);
    cr_expect(Fleet.record().Crashes.size() > 1,
              "seed %lu: the load causes no crash", Seed);
    auto later = Fleet.record().crashingArrivalsAfterCrash(5, ContactTime);
    cr_expect(later <= MaximumLaterArrivals,
              "seed %lu: %u arrivals after the fifth of %zu crashes", Seed,
              later, Fleet.record().Crashes.size());
  });
}

Test(RelayCrashingPrompt, SoundPromptsAreServedWhileTheSegmentIsQuarantined) {
  forEachSeed(DefaultLimits, [](EngineFleet &Fleet, std::uint64_t Seed) {
    auto from = Fleet.now();
    Fleet.run(10s);
    auto share = Fleet.record().soundShareBegun(from, Fleet.now() - 1s);
    cr_expect(share > 0.5, "seed %lu: %.2f of the sound prompts begun", Seed,
              share);
  });
}

Test(RelayCrashingPrompt, SegmentsOfOtherPromptsAreNotQuarantined) {
  forEachSeed(DefaultLimits, [](EngineFleet &Fleet, std::uint64_t Seed) {
    for (auto n = 0U; n < Fleet.size(); ++n) {
      auto const &quarantine = Fleet.state(n).Quarantine;
      cr_expect(quarantine.segmentCount() == 1 &&
                    quarantine.find(keysOf(CrashingSegment)),
                "seed %lu: instance %u has %zu segments in quarantine", Seed, n,
                quarantine.segmentCount());
    }
  });
}

// Load: all instances are killed at once while the prompts still come.
Test(RelayCrashingPrompt, QuarantineOutlivesAllInstances) {
  constexpr auto MaximumLaterArrivals = 3U;
  forEachSeed(DefaultLimits, [](EngineFleet &Fleet, std::uint64_t Seed) {
    Fleet.restartInstances(1s);
    Fleet.run(10s);
    auto later = Fleet.record().crashingArrivalsAfterCrash(5, ContactTime);
    cr_expect(later <= MaximumLaterArrivals,
              "seed %lu: %u arrivals after the fifth of %zu crashes", Seed,
              later, Fleet.record().Crashes.size());
  });
}

} // namespace dotterel::relay::test
