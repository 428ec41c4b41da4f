// Servers name a limit on the requests per second that they take from all
// instances together.
#include "LibRelay/FleetTraffic.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

constexpr auto LimitWindow = Duration{4s};

/// A server and the limit that it names.
struct NamedLimit {
  std::string Server;
  double PerSecond = 0;
};

/// Returns the number of requests that the users' rule allows in four seconds.
auto allowedInWindow(double PerSecond) -> double {
  constexpr auto Factor = 1.5;
  constexpr auto Slack = 5;
  return Factor * PerSecond * toSeconds(LimitWindow) + Slack;
}

auto setLimits(EngineFleet &Fleet, std::vector<NamedLimit> const &Limits)
    -> void {
  for (auto const &it : Limits)
    Fleet.setLimit(it.Server, it.PerSecond);
}

/// Checks that no server got more than the rule allows in any window since
/// \p From.
auto expectLimitsKept(EngineFleet const &Fleet, Instant From,
                      std::uint64_t Seed, std::vector<NamedLimit> const &Limits)
    -> void {
  for (auto const &it : Limits) {
    auto most = Fleet.record().mostArrivalsAt(it.Server, From, LimitWindow);
    auto allowed = allowedInWindow(it.PerSecond);
    cr_expect(most <= allowed,
              "seed %lu: %s names %.1f a second, got %u in 4 s, allowed %.0f",
              Seed, it.Server.c_str(), it.PerSecond, most, allowed);
  }
}

/// Checks that the servers together got at least half of what they take.
auto expectLimitsUsed(EngineFleet const &Fleet, Instant From,
                      std::uint64_t Seed, std::vector<NamedLimit> const &Limits)
    -> void {
  auto taken = 0.0;
  auto arrived = 0U;
  for (auto const &it : Limits) {
    taken += it.PerSecond * toSeconds(Fleet.now() - From);
    arrived += Fleet.record().arrivalsAt(it.Server, From, Fleet.now());
  }
  cr_expect(arrived >= taken / 2, "seed %lu: %u of %.0f requests", Seed,
            arrived, taken);
}

/// Returns a fleet whose size and losses depend on the seed.
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
  options.PlainServers = draw(2, 4);
  options.ReportLoss = draw(0, 20) / 100.0;
  return options;
}

/// Returns limits for all servers of the plain service, from 1 to 8 a second.
auto plainLimits(EngineFleetOptions const &Options) -> std::vector<NamedLimit> {
  auto limits = std::vector<NamedLimit>{};
  for (auto n = 0U; n < Options.PlainServers; ++n)
    limits.push_back(
        {fmt::format("p{}", n),
         1 + static_cast<double>((Options.Seed + std::uint64_t{5} * n) % 8)});
  return limits;
}

/// Runs lookups, then names \p Limits, and checks them from \p Contact later
/// on.
auto checkPlainService(EngineFleetOptions const &Options,
                       std::vector<NamedLimit> const &Limits,
                       Duration RequestInterval, Duration Contact) -> void {
  auto fleet = EngineFleet(Options);
  fleet.run(2s);
  auto lookups = LookupTraffic(fleet, RequestInterval);
  fleet.run(4s);
  setLimits(fleet, Limits);
  fleet.run(Contact);
  auto const from = fleet.now();
  fleet.run(12s);
  expectLimitsKept(fleet, from, Options.Seed, Limits);
  expectLimitsUsed(fleet, from, Options.Seed, Limits);
}

} // namespace

// Regression test: instances did not read the limits that engines named.
Test(RelayServerLimit, EnginesGetNoMoreThanTheyName) {
  for (auto seed = firstSeed(); seed < firstSeed() + Seeds; ++seed) {
    auto const options = drawOptions(seed);
    auto const limits = std::vector<NamedLimit>{
        {fmt::format("e{}", options.PrefillEngines), 3.5},
        {fmt::format("e{}", options.PrefillEngines + 1), 7.3},
        {"e0", 2}};
    auto fleet = EngineFleet(options);
    fleet.run(2s);
    auto prompts = PromptTraffic(fleet, seed, 9ms);
    fleet.run(4s);
    setLimits(fleet, limits);
    fleet.run(ContactTime);
    auto const from = fleet.now();
    fleet.run(12s);
    expectLimitsKept(fleet, from, seed, limits);
    auto share = fleet.record().soundShareBegun(from, fleet.now() - 1s);
    cr_expect(share > 0.9, "seed %lu: %.2f of the prompts begun", seed, share);
  }
}

// Load: all servers of a plain service are in need, under three times as many
// requests as they take.
Test(RelayServerLimit, PlainServersGetNoMoreThanTheyName) {
  for (auto seed = firstSeed(); seed < firstSeed() + Seeds; ++seed) {
    auto const options = drawOptions(seed);
    checkPlainService(options, plainLimits(options), 20ms, ContactTime);
  }
}

// Load: most callers use two of the instances.
Test(RelayServerLimit, UnevenCallersGetWhatTheServersTake) {
  for (auto seed = firstSeed(); seed < firstSeed() + Seeds; ++seed) {
    auto options = drawOptions(seed);
    options.UnevenShare = 0.9;
    checkPlainService(options, plainLimits(options), 20ms, ContactTime);
  }
}

// Load: each of many instances receives fewer requests than one a second.
Test(RelayServerLimit, HundredsOfInstancesShareOneLimit) {
  auto options = EngineFleetOptions{};
  options.Seed = firstSeed();
  options.Instances = 195;
  options.PrefillEngines = 2;
  options.DecodeEngines = 2;
  options.PlainServers = 3;
  constexpr auto LargeContactTime = Duration{5s};
  checkPlainService(options, {{"p0", 5}, {"p1", 2}, {"p2", 12.5}}, 8ms,
                    LargeContactTime);
}

// Load: a limited service is idle, then hundreds of requests come at once.
Test(RelayServerLimit, BurstAfterIdleTimeStaysWithinTheLimit) {
  for (auto seed = firstSeed(); seed < firstSeed() + Seeds; ++seed) {
    auto const options = drawOptions(seed);
    auto const limits = plainLimits(options);
    auto fleet = EngineFleet(options);
    fleet.run(2s);
    auto lookups = LookupTraffic(fleet, 100ms);
    setLimits(fleet, limits);
    fleet.run(ContactTime);
    auto const from = fleet.now();
    lookups.setInterval(10s);
    fleet.run(8s);
    for (auto n = 0; n < 300; ++n)
      fleet.send({.Route = RouteKind::Lookup});
    fleet.run(4s);
    expectLimitsKept(fleet, from, seed, limits);
  }
}

// Load: all instances are killed at once while servers are in need.
Test(RelayServerLimit, LimitsHoldAfterAllInstancesRestart) {
  for (auto seed = firstSeed(); seed < firstSeed() + Seeds; ++seed) {
    auto const options = drawOptions(seed);
    auto const limits = plainLimits(options);
    auto fleet = EngineFleet(options);
    fleet.run(2s);
    auto lookups = LookupTraffic(fleet, 20ms);
    setLimits(fleet, limits);
    fleet.run(ContactTime);
    fleet.restartInstances(1s);
    fleet.run(1s + ContactTime);
    auto const from = fleet.now();
    fleet.run(8s);
    expectLimitsKept(fleet, from, seed, limits);
    expectLimitsUsed(fleet, from, seed, limits);
  }
}

// Load: instances restart, freeze and lose contact with the others, one after
// the other and at the same time, while all servers are in need.
Test(RelayServerLimit, LimitsHoldWhileInstancesFail) {
  for (auto seed = firstSeed(); seed < firstSeed() + Seeds; ++seed) {
    auto const options = drawOptions(seed);
    auto const limits = plainLimits(options);
    auto fleet = EngineFleet(options);
    auto random = std::mt19937_64(seed);
    fleet.run(2s);
    auto lookups = LookupTraffic(fleet, 20ms);
    setLimits(fleet, limits);
    fleet.run(ContactTime);
    auto const from = fleet.now();
    constexpr auto Failures = 20U;
    for (auto n = 0U; n < Failures; ++n) {
      auto instance = static_cast<unsigned>(random() % options.Instances);
      auto span = std::chrono::milliseconds(200 + random() % 4000);
      if (n % 3 == 0)
        fleet.restartInstance(instance, span);
      else if (n % 3 == 1)
        fleet.freezeInstance(instance, span);
      else
        fleet.cutInstance(instance, span);
      fleet.run(std::chrono::milliseconds(random() % 2000));
    }
    expectLimitsKept(fleet, from, seed, limits);
    expectLimitsUsed(fleet, from, seed, limits);
  }
}

// Regression test: two instances without contact issued permits for the whole
// limit each.
Test(RelayServerLimit, PartsOfAPartitionedFleetShareTheLimit) {
  for (auto seed = firstSeed(); seed < firstSeed() + Seeds; ++seed) {
    auto const options = drawOptions(seed);
    auto const limits = plainLimits(options);
    auto fleet = EngineFleet(options);
    fleet.run(2s);
    auto lookups = LookupTraffic(fleet, 10ms);
    setLimits(fleet, limits);
    fleet.run(ContactTime);
    auto const from = fleet.now();
    fleet.partition(options.Instances / 2, 10s);
    fleet.run(16s);
    expectLimitsKept(fleet, from, seed, limits);
    expectLimitsUsed(fleet, from, seed, limits);
  }
}

Test(RelayServerLimit, EndsWhenServersNameItNoMore) {
  for (auto seed = firstSeed(); seed < firstSeed() + Seeds; ++seed) {
    auto const options = drawOptions(seed);
    auto limits = plainLimits(options);
    // A server that takes nothing must be found to take requests again.
    limits.front().PerSecond = 0;
    auto fleet = EngineFleet(options);
    fleet.run(2s);
    auto lookups = LookupTraffic(fleet, 20ms);
    setLimits(fleet, limits);
    fleet.run(ContactTime);
    auto const from = fleet.now();
    fleet.run(6s);
    expectLimitsKept(fleet, from, seed, limits);
    for (auto const &it : limits)
      fleet.setLimit(it.Server, std::nullopt);
    fleet.run(ContactTime);
    auto const end = fleet.now();
    fleet.run(4s);
    auto share = fleet.record().soundShareBegun(end, fleet.now() - 1s);
    cr_expect(share > 0.99, "seed %lu: %.2f of the lookups begun", seed, share);
  }
}

} // namespace dotterel::relay::test
