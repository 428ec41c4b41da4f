// One segment of some prompts crashes each engine that decodes it. Requests
// with it come to any instance; sound ones share their other segments.
#include "LibRelay/EngineFleet.h"
#include "LibRelay/RelayNode.h"

#include <cstdlib>
#include <random>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

constexpr auto RequestInterval = Duration{9ms};
/// Shortest time of all deployments within which instances must act on what one
/// of them knows.
constexpr auto ContactTime = Duration{3s};
constexpr auto CrashingSegment = std::uint64_t{0xbad};
/// Number of seeds that each test runs, from the first one on.
constexpr auto Seeds = std::uint64_t{4};
constexpr auto DefaultLimits = RetryLimits{0.2, 126, 10s};

/// Sends sound prompts throughout and, from a given time on, prompts with the
/// crashing segment.
class PromptTraffic {
public:
  PromptTraffic(EngineFleet &Fleet, std::uint64_t Seed)
      : Fleet(Fleet), Random(Seed) {
    sendSound();
  }

  /// Sends a crashing prompt every \p Interval on average.
  auto startCrashing(Duration Interval) -> void {
    Fleet.send(makePrompt(true));
    Fleet.schedule(
        scaled(Interval, static_cast<double>(draw(500, 1500)) / 1000),
        [=, this] { startCrashing(Interval); });
  }

private:
  auto draw(std::uint64_t From, std::uint64_t To) -> std::uint64_t {
    return std::uniform_int_distribution<std::uint64_t>(From, To)(Random);
  }

  auto makePrompt(bool IsCrashing) -> std::vector<PromptSegment> {
    constexpr auto Applications = 3;
    constexpr auto Subjects = 60;
    auto application = draw(1, Applications);
    auto segments = std::vector<PromptSegment>{
        {application, 2000},
        {Subjects * application + draw(0, Subjects - 1), 800}};
    if (IsCrashing) {
      auto position = static_cast<std::ptrdiff_t>(draw(1, 2));
      segments.insert(segments.begin() + position, {CrashingSegment, 400});
    }
    constexpr auto FirstUnique = std::uint64_t{1} << 32U;
    segments.push_back({FirstUnique + ++UniqueSegments, 300});
    return segments;
  }

  auto sendSound() -> void {
    Fleet.send(makePrompt(false));
    Fleet.schedule(RequestInterval, [this] { sendSound(); });
  }

  EngineFleet &Fleet; // NOLINT: outlives the traffic
  std::mt19937_64 Random;
  std::uint64_t UniqueSegments = 0;
};

/// Returns the key of the segment \p Hash, as a list.
auto keysOf(std::uint64_t Hash) -> std::vector<SegmentKey> {
  auto request = Request{};
  request.Model = "m";
  request.PromptSegments = {{Hash, 1}, {0, 1}};
  return sharedSegments(request);
}

auto firstSeed() -> std::uint64_t {
  auto const *text = std::getenv("DOTTEREL_SEED"); // NOLINT: one thread
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
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
    auto traffic = PromptTraffic(fleet, options.Seed);
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
  forEachSeed(limits, [](EngineFleet &Fleet, std::uint64_t Seed) {
    auto excess = Fleet.arrivalsAboveBudget();
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
    cr_expect(Fleet.crashes().size() > 1, "seed %lu: the load causes no crash",
              Seed);
    auto later = Fleet.crashingArrivalsAfterFifthCrash(ContactTime);
    cr_expect(later <= MaximumLaterArrivals,
              "seed %lu: %u arrivals after the fifth of %zu crashes", Seed,
              later, Fleet.crashes().size());
  });
}

Test(RelayCrashingPrompt, SoundPromptsAreServedWhileTheSegmentIsQuarantined) {
  forEachSeed(DefaultLimits, [](EngineFleet &Fleet, std::uint64_t Seed) {
    auto from = Fleet.now();
    Fleet.run(10s);
    auto share = Fleet.soundShareBegun(from, Fleet.now() - 1s);
    cr_expect(share > 0.5, "seed %lu: %.2f of the sound prompts begun", Seed,
              share);
  });
}

Test(RelayCrashingPrompt, SegmentsOfOtherPromptsAreNotQuarantined) {
  forEachSeed(DefaultLimits, [](EngineFleet &Fleet, std::uint64_t Seed) {
    for (auto n = 0U; n < Fleet.size(); ++n) {
      auto const &quarantine = Fleet.state(n).Quarantine;
      cr_expect(quarantine.size() == 1 &&
                    quarantine.findQuarantined(keysOf(CrashingSegment)),
                "seed %lu: instance %u has %zu segments in quarantine", Seed, n,
                quarantine.size());
    }
  });
}

// Load: all instances are killed at once while the prompts still come.
Test(RelayCrashingPrompt, QuarantineOutlivesAllInstances) {
  constexpr auto MaximumLaterArrivals = 3U;
  forEachSeed(DefaultLimits, [](EngineFleet &Fleet, std::uint64_t Seed) {
    Fleet.restartInstances(1s);
    Fleet.run(10s);
    auto later = Fleet.crashingArrivalsAfterFifthCrash(ContactTime);
    cr_expect(later <= MaximumLaterArrivals,
              "seed %lu: %u arrivals after the fifth of %zu crashes", Seed,
              later, Fleet.crashes().size());
  });
}

} // namespace dotterel::relay::test
