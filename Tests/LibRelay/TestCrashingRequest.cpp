// One request crashes each server that runs it. It comes again, with the same
// content and caller, at any instance.
#include "LibRelay/FleetTraffic.h"

#include <array>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

constexpr auto MinimumCrashes = std::size_t{3};
/// Limit of the users' rule on what reaches servers once the instances have had
/// the time to act on the third crash.
constexpr auto MaximumLaterArrivals = 3U;

/// Returns a fleet whose size, losses and restarts depend on the seed.
auto drawOptions(std::uint64_t Seed) -> EngineFleetOptions {
  auto random = std::mt19937_64(Seed);
  auto draw = [&](unsigned From, unsigned To) {
    return std::uniform_int_distribution<unsigned>(From, To)(random);
  };
  auto options = EngineFleetOptions{};
  options.Seed = Seed;
  options.Instances = draw(8, 24);
  options.PrefillEngines = draw(8, 14);
  options.DecodeEngines = draw(5, 10);
  options.PlainServers = draw(3, 5);
  options.ReportLoss = draw(0, 20) / 100.0;
  options.RestartTime = std::chrono::milliseconds(draw(1500, 4500));
  return options;
}

struct SeededFleet {
  explicit SeededFleet(std::uint64_t Seed)
      : Seed(Seed), Fleet(drawOptions(Seed)), Traffic(start()) {}

  /// The crashing request begins to come, 1 to 8 times a second.
  auto startCrashing(RouteKind Route) -> void {
    Fleet.addCrashingCall(MixedTraffic::crashingCall(Route));
    Traffic.startCrashing(Route, std::chrono::milliseconds(125 << (Seed % 4)));
  }

  /// The crashing request begins to come, a third of the times with a query.
  auto startCrashingWithQueries(RouteKind Route) -> void {
    constexpr auto Repeats = 100;
    auto const call = MixedTraffic::crashingCall(Route);
    Fleet.addCrashingCall(call);
    auto random = std::mt19937_64(Seed);
    auto draw = [&random](unsigned To) {
      return std::uniform_int_distribution<unsigned>(1, To)(random);
    };
    for (auto n = 0; n < Repeats; ++n) {
      auto repeat = call;
      if (draw(3) == 1)
        repeat.Query = "?page=" + std::to_string(draw(20)) + "&sort=new";
      Fleet.schedule(n * Duration{200ms},
                     [this, repeat] { Fleet.send(repeat); });
    }
  }

  /// Three crashing requests begin to come at once, 1 to 8 times a second each.
  auto startThree(std::array<RouteKind, 3> const &Routes) -> void {
    auto number = 0U;
    for (auto it : Routes) {
      auto const call = MixedTraffic::crashingCall(it, number++);
      Fleet.addCrashingCall(call);
      Traffic.startSending(
          call, std::chrono::milliseconds(125 << ((Seed + number) % 4)));
    }
  }

  auto expectFewLaterArrivals() const -> void {
    auto const &record = Fleet.record();
    cr_expect(record.Crashes.size() >= MinimumCrashes,
              "seed %lu: the load causes %zu crashes", Seed,
              record.Crashes.size());
    auto later = record.crashingArrivalsAfterCrash(MinimumCrashes, ContactTime);
    cr_expect(later <= MaximumLaterArrivals,
              "seed %lu: %u arrivals after the third of %zu crashes", Seed,
              later, record.Crashes.size());
  }

  /// Expects that each instance refuses the crashing request, and no segment.
  auto expectCauseInQuarantine(RouteKind Route) const -> void {
    auto const keys =
        identify(makeRequest(MixedTraffic::crashingCall(Route))).keys();
    for (auto n = 0U; n < Fleet.size(); ++n) {
      auto const &quarantine = Fleet.state(n).Quarantine;
      cr_expect(quarantine.find(keys) && quarantine.segmentCount() == 0,
                "seed %lu: instance %u has %zu requests and %zu segments in "
                "quarantine",
                Seed, n, quarantine.requestCount(), quarantine.segmentCount());
    }
  }

  std::uint64_t Seed;
  EngineFleet Fleet;
  MixedTraffic Traffic;

private:
  auto start() -> MixedTraffic {
    Fleet.run(2s);
    return {Fleet, Seed};
  }
};

template <typename Function> auto forEachSeed(Function Check) -> void {
  for (auto n = std::uint64_t{0}; n < Seeds; ++n) {
    auto fleet = SeededFleet(firstSeed() + n);
    fleet.Fleet.run(5s);
    Check(fleet);
  }
}

auto expectItReachesNoFurtherServers(RouteKind Route) -> void {
  forEachSeed([Route](SeededFleet &Target) {
    Target.startCrashing(Route);
    Target.Fleet.run(20s);
    Target.expectFewLaterArrivals();
  });
}

auto expectSoundRequestsGoOn(RouteKind Route) -> void {
  forEachSeed([Route](SeededFleet &Target) {
    auto &fleet = Target.Fleet;
    Target.startCrashing(Route);
    fleet.run(12s);
    auto from = fleet.now();
    fleet.run(10s);
    auto const &record = fleet.record();
    auto quarantined = record.soundRequestsQuarantined(from);
    cr_expect_eq(quarantined, 0, "seed %lu: %u sound requests in quarantine",
                 Target.Seed, quarantined);
    auto share = record.soundShareBegun(from, fleet.now() - 1s);
    cr_expect(share > 0.9, "seed %lu: %.2f of the sound requests begun",
              Target.Seed, share);
    Target.expectCauseInQuarantine(Route);
  });
}

} // namespace

// Regression tests: each instance sent a request on that had crashed servers
// before, as often as it came.
Test(RelayCrashingRequest, LookupReachesNoFurtherServers) {
  expectItReachesNoFurtherServers(RouteKind::Lookup);
}

// Only its caller sends it again.
Test(RelayCrashingRequest, BookingReachesNoFurtherServers) {
  expectItReachesNoFurtherServers(RouteKind::Booking);
}

Test(RelayCrashingRequest, ResumableStreamReachesNoFurtherServers) {
  expectItReachesNoFurtherServers(RouteKind::Stream);
}

Test(RelayCrashingRequest, PlainStreamReachesNoFurtherServers) {
  expectItReachesNoFurtherServers(RouteKind::PlainStream);
}

Test(RelayCrashingRequest, SoundRequestsGoOnBesideALookup) {
  expectSoundRequestsGoOn(RouteKind::Lookup);
}

Test(RelayCrashingRequest, SoundRequestsGoOnBesideABooking) {
  expectSoundRequestsGoOn(RouteKind::Booking);
}

Test(RelayCrashingRequest, SoundRequestsGoOnBesideAResumableStream) {
  expectSoundRequestsGoOn(RouteKind::Stream);
}

Test(RelayCrashingRequest, SoundRequestsGoOnBesideAPlainStream) {
  expectSoundRequestsGoOn(RouteKind::PlainStream);
}

// Load: servers crash by themselves, with popular requests in progress at all
// of them.
Test(RelayCrashingRequest, PopularRequestsGoOnWhenServersCrashByThemselves) {
  forEachSeed([](SeededFleet &Target) {
    Target.Traffic.startServerCrashes(2s);
    auto from = Target.Fleet.now();
    Target.Fleet.run(20s);
    auto quarantined = Target.Fleet.record().soundRequestsQuarantined(from);
    cr_expect_eq(quarantined, 0, "seed %lu: %u sound requests in quarantine",
                 Target.Seed, quarantined);
  });
}

Test(RelayCrashingRequest, RestartedInstanceKnowsIt) {
  for (auto route : {RouteKind::Lookup, RouteKind::Stream}) {
    forEachSeed([route](SeededFleet &Target) {
      auto &fleet = Target.Fleet;
      Target.startCrashing(route);
      fleet.run(8s);
      for (auto n = 0U; n < fleet.size() / 2; ++n) {
        fleet.restartInstance(n, 500ms);
        fleet.run(1s);
      }
      Target.expectFewLaterArrivals();
    });
  }
}

// Load: all instances are killed at once while the request still comes.
Test(RelayCrashingRequest, QuarantineOutlivesAllInstances) {
  for (auto route : {RouteKind::Booking, RouteKind::PlainStream}) {
    forEachSeed([route](SeededFleet &Target) {
      auto &fleet = Target.Fleet;
      Target.startCrashing(route);
      fleet.run(10s);
      fleet.restartInstances(1s);
      fleet.run(10s);
      Target.expectFewLaterArrivals();
    });
  }
}

// The content is sound, only the caller's own fields crash the servers.
Test(RelayCrashingRequest, OtherCallersOfTheSameContentGoOn) {
  forEachSeed([](SeededFleet &Target) {
    auto &fleet = Target.Fleet;
    auto const sound = FleetCall{RouteKind::Lookup, "bad", "", {}, "10.0.0.5"};
    for (auto after = Duration{}; after < 20s; after += 300ms)
      fleet.schedule(after, [&fleet, sound] { fleet.send(sound); });
    Target.startCrashing(RouteKind::Lookup);
    fleet.run(12s);
    auto from = fleet.now();
    fleet.run(8s);
    Target.expectFewLaterArrivals();
    cr_expect_eq(fleet.record().soundRequestsQuarantined(from), 0,
                 "seed %lu: sound requests in quarantine", Target.Seed);
  });
}

// Regression test: the request came with the same path, caller and body, and
// another query each time.
Test(RelayCrashingRequest, RequestWithAnotherQueryReachesNoFurtherServers) {
  forEachSeed([](SeededFleet &Target) {
    auto &fleet = Target.Fleet;
    auto call = MixedTraffic::crashingCall(RouteKind::Lookup);
    fleet.addCrashingCall(call);
    for (auto n = 0; n < 100; ++n) {
      call.Query = "?page=" + std::to_string(n);
      fleet.schedule(n * Duration{200ms}, [&fleet, call] { fleet.send(call); });
    }
    fleet.run(20s);
    Target.expectFewLaterArrivals();
    auto const quarantined = fleet.record().soundRequestsQuarantined(Instant{});
    cr_expect_eq(quarantined, 0, "seed %lu: %u sound requests in quarantine",
                 Target.Seed, quarantined);
  });
}

// Regression test: the request was recognised by its query, which only a third
// of the repeats carry.
Test(RelayCrashingRequest, RequestWithAQueryAtTimesReachesNoFurtherServers) {
  for (auto route : {RouteKind::Lookup, RouteKind::Booking, RouteKind::Stream,
                     RouteKind::PlainStream}) {
    forEachSeed([route](SeededFleet &Target) {
      auto &fleet = Target.Fleet;
      Target.startCrashingWithQueries(route);
      fleet.run(20s);
      Target.expectFewLaterArrivals();
      auto const quarantined =
          fleet.record().soundRequestsQuarantined(Instant{});
      cr_expect_eq(quarantined, 0, "seed %lu: %u sound requests in quarantine",
                   Target.Seed, quarantined);
    });
  }
}

// Regression test: each crash of one of several crashing requests hid those of
// the others.
Test(RelayCrashingRequest, ThreeRequestsAtOnceReachNoFurtherServers) {
  using enum RouteKind;
  for (auto const &routes : {std::array{Lookup, Lookup, Lookup},
                             std::array{Booking, Booking, Booking},
                             std::array{Stream, Stream, Stream},
                             std::array{PlainStream, PlainStream, PlainStream},
                             std::array{Lookup, Booking, Lookup},
                             std::array{Stream, PlainStream, Stream},
                             std::array{Lookup, Booking, Stream}}) {
    forEachSeed([&](SeededFleet &Target) {
      Target.startThree(routes);
      Target.Fleet.run(30s);
      auto const later = Target.Fleet.record().mostArrivalsOfOneCall(
          MinimumCrashes, ContactTime);
      cr_expect(later <= MaximumLaterArrivals,
                "seed %lu, routes %d %d %d: %u arrivals of one request after "
                "its third crash",
                Target.Seed, static_cast<int>(routes[0]),
                static_cast<int>(routes[1]), static_cast<int>(routes[2]),
                later);
    });
  }
}

// Regression test: completions before the first crash hid the crashes of the
// next seconds.
Test(RelayCrashingRequest, RequestThatWasSoundBeforeReachesNoFurtherServers) {
  for (auto route : {RouteKind::Lookup, RouteKind::Stream}) {
    forEachSeed([route](SeededFleet &Target) {
      auto &fleet = Target.Fleet;
      Target.Traffic.startCrashing(route, 200ms);
      fleet.run(3s);
      fleet.addCrashingCall(MixedTraffic::crashingCall(route));
      fleet.run(15s);
      Target.expectFewLaterArrivals();
    });
  }
}

// Regression test: while engines that decode are gone, prompts were prefilled
// again without charging the retry budget.
Test(RelayCrashingRequest, RepeatsStayWithinTheRetryBudget) {
  auto const limits = RetryLimits{0.05, 50, 10s};
  for (auto n = std::uint64_t{0}; n < Seeds; ++n) {
    auto options = drawOptions(firstSeed() + n);
    options.Retries = limits;
    auto fleet = EngineFleet(options);
    auto const call = MixedTraffic::crashingCall(RouteKind::Stream);
    fleet.addCrashingCall(call);
    fleet.run(2s);
    auto prompts = PromptTraffic(fleet, options.Seed, 9ms);
    for (auto after = Duration{5s}; after < 20s; after += 200ms)
      fleet.schedule(after, [&fleet, call] { fleet.send(call); });
    fleet.run(20s);
    auto excess = fleet.record().arrivalsAboveBudget(limits);
    cr_expect(excess <= 0, "seed %lu: %.0f arrivals above the budget",
              options.Seed, excess);
  }
}

} // namespace dotterel::relay::test
