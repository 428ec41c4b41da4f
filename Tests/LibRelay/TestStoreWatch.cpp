#include "LibCore/Hash.h"
#include "LibRelay/RelayNode.h"

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

/// Returns the names of two peers that take precedence over "i0" as watchers,
/// so that "i0" relies on them.
auto precedingNames() -> std::vector<std::string> {
  auto names = std::vector<std::string>{};
  for (auto n = 1; names.size() < 2; ++n) {
    auto name = "x" + std::to_string(n);
    if (hashText(name) < hashText("i0"))
      names.push_back(name);
  }
  return names;
}

/// Size of a datagram that PeerSocket receives.
constexpr auto MaximumDatagramBytes = std::size_t{16384};

auto watcher(std::string const &Name, std::uint64_t Number, Duration Age)
    -> PeerReport {
  auto message = report(Name, Number);
  auto &watch = message.Watch.emplace();
  watch.Age = Age;
  watch.Base = atRevision(2);
  watch.AsOf = atRevision(2);
  return message;
}

/// A node that relies on two fresh watchers.
class NodeWithWatchers {
public:
  NodeWithWatchers() {
    Node.feed(PeersListed{});
    receiveReports(0ms);
    Node.advance(50ms);
  }

  auto receiveReports(Duration Age) -> void {
    ++Number;
    for (auto const &it : Names)
      Node.feed(PeerReported{watcher(it, Number, Age)});
  }

  RelayNode Node;
  std::vector<std::string> Names = precedingNames();
  std::uint64_t Number = 0;
};

} // namespace

Test(RelayFollowing, SingleInstanceWatchesTheStore) {
  auto node = RelayNode();
  cr_assert(node.CurrentState.StoreWatch.needsServers());
  cr_assert_not(node.CurrentState.StoreWatch.IsWatcher);
  node.feed(PeersListed{});
  node.advance(50ms);
  cr_assert(node.CurrentState.StoreWatch.IsWatcher);
  cr_assert(node.CurrentState.StoreWatch.needsServers());
}

Test(RelayFollowing, InstanceReliesOnFreshWatchers) {
  auto it = NodeWithWatchers();
  cr_assert_not(it.Node.CurrentState.StoreWatch.IsWatcher);
  cr_assert_not(it.Node.CurrentState.StoreWatch.needsServers());
  cr_assert_not(it.Node.CurrentState.StoreWatch.needsConfiguration());
}

Test(RelayFollowing, WatchersAreReliedOnUpToTheMaximumAge) {
  for (auto bound : {1s, 2s}) {
    auto it = NodeWithWatchers();
    it.Node.CurrentState.Options.MaximumWatcherAge = bound;
    it.receiveReports(1500ms);
    it.Node.advance(50ms);
    cr_assert_eq(it.Node.CurrentState.StoreWatch.needsServers(), bound == 1s);
  }
}

// Load: a fleet of unequal instances, of which the weakest cannot report each
// change to all peers in time.
Test(RelayFollowing, InstancesWithHighestWeightWatch) {
  for (auto weight : {0.5, 2.0}) {
    auto node = RelayNode();
    node.feed(PeersListed{});
    for (auto const &it : precedingNames()) {
      auto message = watcher(it, 1, 0ms);
      message.Weight = weight;
      node.feed(PeerReported{message});
    }
    node.advance(50ms);
    cr_assert_eq(node.CurrentState.StoreWatch.IsWatcher, weight < 1);
  }
}

Test(RelayFollowing, SilentWatchersAreReplacedWithinASecond) {
  auto it = NodeWithWatchers();
  it.Node.advance(1050ms);
  cr_assert(it.Node.CurrentState.StoreWatch.needsServers());
}

Test(RelayFollowing, WatchersWithoutStoreResponsesAreReplaced) {
  auto it = NodeWithWatchers();
  it.receiveReports(2s);
  it.Node.advance(50ms);
  cr_assert(it.Node.CurrentState.StoreWatch.IsWatcher);
}

Test(RelayFollowing, ChangesAreAppliedFromReports) {
  auto it = NodeWithWatchers();
  auto message = watcher(it.Names[0], 50, 0ms);
  message.Watch->AsOf = atRevision(4);
  auto leaving = describeServer("p0", "plain");
  leaving.IsDraining = true;
  leaving.Version = atRevision(3);
  message.Watch->Updates = {{"p0", atRevision(3), leaving},
                            {"p1", atRevision(4), std::nullopt}};
  it.Node.feed(PeerReported{message});
  cr_assert(it.Node.CurrentState.Servers.find("p0")->Description.IsDraining);
  cr_assert_null(it.Node.CurrentState.Servers.find("p1"));
  cr_assert(it.Node.CurrentState.StoreWatch.ServersAsOf == atRevision(4));
  cr_assert_not(it.Node.CurrentState.StoreWatch.needsServers());
}

// Regression test: an instance whose last call to the store had failed before
// it relied on watchers attributed each removal to an outage and kept the
// server. Seen on the Putzwerk site, deploy/days/servers.toml, seed
// 540129512398.
Test(RelayFollowing, ReportedRemovalAppliesAfterAFailedStoreCall) {
  auto it = NodeWithWatchers();
  it.Node.HasStore = false;
  it.Node.feed(StoreReachabilityObserved{false, "status 429"});
  for (auto n = 0; n < 20; ++n) {
    it.receiveReports(0ms);
    it.Node.advance(150ms);
  }
  auto message = watcher(it.Names[0], 5000, 0ms);
  message.Watch->AsOf = atRevision(4);
  message.Watch->Updates = {{"p1", atRevision(4), std::nullopt}};
  it.Node.feed(PeerReported{message});
  cr_assert_null(it.Node.CurrentState.Servers.find("p1"));
}

Test(RelayFollowing, MissedChangesAreReadFromTheStore) {
  auto it = NodeWithWatchers();
  auto message = watcher(it.Names[0], 50, 0ms);
  message.Watch->Base = atRevision(6);
  message.Watch->AsOf = atRevision(9);
  it.Node.feed(PeerReported{message});
  cr_assert(it.Node.CurrentState.StoreWatch.needsServers());
  it.Node.feed(ServersUpdated{{}, atRevision(9)});
  cr_assert_not(it.Node.CurrentState.StoreWatch.needsServers());
}

Test(RelayFollowing, LostReportsWithoutChangesCostNoCall) {
  auto it = NodeWithWatchers();
  auto log = ServerChangeLog{};
  log.reset(atRevision(2));
  for (auto revision = 3U; revision < 300; ++revision)
    log.add({}, atRevision(revision), it.Node.Now);
  auto message = watcher(it.Names[0], 50, 0ms);
  log.describe(*message.Watch);
  it.Node.feed(PeerReported{message});
  cr_assert(it.Node.CurrentState.StoreWatch.ServersAsOf == atRevision(299));
  cr_assert_not(it.Node.CurrentState.StoreWatch.needsServers());
}

// Load: a large service is replaced, eighteen servers each second, with three
// changes each, while one report in five is lost. An instance that reads the
// changes from the store does so with the whole fleet, many times a second.
Test(RelayFollowing, RollingReplacementCostsNoCall) {
  constexpr auto ChangesPerSecond = 54;
  auto it = NodeWithWatchers();
  auto log = ServerChangeLog{};
  auto revision = std::uint64_t{2};
  log.reset(atRevision(revision));
  auto number = 100U;
  for (auto elapsed = Duration{}; elapsed < 5s; elapsed += 50ms) {
    auto due = 2 + ChangesPerSecond * toMilliseconds(elapsed) / 1000;
    for (; revision < static_cast<std::uint64_t>(due); ++revision) {
      auto entry = describeServer("n" + std::to_string(revision), "model");
      entry.Version = atRevision(revision + 1);
      log.add({{entry.Id, entry.Version, entry}}, entry.Version, it.Node.Now);
    }
    it.Node.advance(50ms);
    if (++number % 3 != 0)
      continue;
    if (number % 5 == 0)
      continue;
    for (auto const &name : it.Names) {
      auto message = watcher(name, number, 0ms);
      *message.Watch = {};
      log.describe(*message.Watch);
      cr_assert_lt(encodePeerReport(message).size(), MaximumDatagramBytes);
      it.Node.feed(PeerReported{message});
    }
    cr_assert_not(it.Node.CurrentState.StoreWatch.needsServers(),
                  "after %ld ms", toMilliseconds(elapsed));
    cr_assert(it.Node.CurrentState.StoreWatch.ServersAsOf ==
              atRevision(revision));
  }
}

Test(RelayFollowing, NewerConfigurationIsReadFromTheStore) {
  auto it = NodeWithWatchers();
  auto message = watcher(it.Names[0], 50, 0ms);
  message.Watch->Configuration = atRevision(12);
  it.Node.feed(PeerReported{message});
  cr_assert(it.Node.CurrentState.StoreWatch.needsConfiguration());
  it.Node.feed(ConfigurationReceived{makeConfiguration(2), atRevision(12)});
  it.Node.feed(ConfigurationConfirmed{atRevision(12)});
  cr_assert_not(it.Node.CurrentState.StoreWatch.needsConfiguration());
}

Test(RelayFollowing, ChangeLogCoversItsRevisionRange) {
  auto log = ServerChangeLog{};
  auto now = Instant{} + 1h;
  log.reset(atRevision(10));
  log.add({{"a", atRevision(11), std::nullopt}}, atRevision(12), now);
  log.add({}, atRevision(15), now + 1s);
  auto watch = WatchReport{};
  log.describe(watch);
  cr_assert(watch.Base == atRevision(10));
  cr_assert(watch.AsOf == atRevision(15));
  cr_assert_eq(watch.Updates.size(), 1);
  log.add({}, atRevision(16), now + 10s);
  auto later = WatchReport{};
  log.describe(later);
  // There are no later changes, so a peer that knows revision 12 is up to date.
  cr_assert(later.Base == atRevision(12));
  cr_assert(later.AsOf == atRevision(16));
  cr_assert(later.Updates.empty());
}

// In an outage each instance asks the store whether it is back. The calls of
// all together must grow by less than the fleet, and the first must ask often.
Test(RelayFollowing, CallsInAnOutageHardlyGrowWithTheFleet) {
  auto perSecond = [](std::uint32_t Instances) {
    auto sum = 0.0;
    for (auto n = 0U; n < Instances; ++n)
      sum += 1 / toSeconds(maximumStorePause(n));
    return sum;
  };
  cr_expect(maximumStorePause(0) == Duration{1s});
  cr_expect(maximumStorePause(1000) == Duration{4s});
  cr_expect_lt(perSecond(130), 0.35 * 130);
  cr_expect_lt(perSecond(300) - perSecond(130), 0.26 * 170);
}

} // namespace dotterel::relay::test
