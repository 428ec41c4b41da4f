#include "LibCore/Hash.h"
#include "LibRelay/RelayNode.h"

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

/// Names of two peers that come before "i0" in the order of watchers, so that
/// it relies on them.
auto earlierNames() -> std::vector<std::string> {
  auto names = std::vector<std::string>{};
  for (auto n = 1; names.size() < 2; ++n) {
    auto name = "x" + std::to_string(n);
    if (hashText(name) < hashText("i0"))
      names.push_back(name);
  }
  return names;
}

auto watcher(std::string const &Name, std::uint64_t Number, Duration Age)
    -> PeerReport {
  auto message = report(Name, Number);
  auto &watch = message.Watch.emplace();
  watch.Age = Age;
  watch.BaseRevision = 2;
  watch.AsOf = 2;
  return message;
}

/// A node that relies on two fresh watchers.
class Relying {
public:
  Relying() {
    Node.feed(PeersListed{});
    hear(0ms);
    Node.advance(50ms);
  }

  auto hear(Duration Age) -> void {
    ++Number;
    for (auto const &it : Names)
      Node.feed(PeerReported{watcher(it, Number, Age)});
  }

  RelayNode Node;
  std::vector<std::string> Names = earlierNames();
  std::uint64_t Number = 0;
};

} // namespace

Test(RelayFollowing, InstanceAloneWatchesItself) {
  auto node = RelayNode();
  cr_assert(node.CurrentState.StoreWatch.needsServers());
  cr_assert_not(node.CurrentState.StoreWatch.IsWatcher);
  node.feed(PeersListed{});
  node.advance(50ms);
  cr_assert(node.CurrentState.StoreWatch.IsWatcher);
  cr_assert(node.CurrentState.StoreWatch.needsServers());
}

Test(RelayFollowing, OthersRelyOnFreshWatchers) {
  auto it = Relying();
  cr_assert_not(it.Node.CurrentState.StoreWatch.IsWatcher);
  cr_assert_not(it.Node.CurrentState.StoreWatch.needsServers());
  cr_assert_not(it.Node.CurrentState.StoreWatch.needsConfiguration());
}

Test(RelayFollowing, WatchersAreReliedOnForAsLongAsTheBoundAllows) {
  for (auto bound : {1s, 2s}) {
    auto it = Relying();
    it.Node.CurrentState.Options.MaximumWatcherAge = bound;
    it.hear(1500ms);
    it.Node.advance(50ms);
    cr_assert_eq(it.Node.CurrentState.StoreWatch.needsServers(), bound == 1s);
  }
}

// Load: a fleet of unequal instances, in which the weakest cannot keep up with
// telling all others of each change.
Test(RelayFollowing, StrongInstancesWatch) {
  for (auto weight : {0.5, 2.0}) {
    auto node = RelayNode();
    node.feed(PeersListed{});
    for (auto const &it : earlierNames()) {
      auto message = watcher(it, 1, 0ms);
      message.Weight = weight;
      node.feed(PeerReported{message});
    }
    node.advance(50ms);
    cr_assert_eq(node.CurrentState.StoreWatch.IsWatcher, weight < 1);
  }
}

Test(RelayFollowing, SilentWatchersAreReplacedWithinASecond) {
  auto it = Relying();
  it.Node.advance(1050ms);
  cr_assert(it.Node.CurrentState.StoreWatch.needsServers());
}

Test(RelayFollowing, WatchersWhoseStoreIsSilentAreReplaced) {
  auto it = Relying();
  it.hear(2s);
  it.Node.advance(50ms);
  cr_assert(it.Node.CurrentState.StoreWatch.IsWatcher);
}

Test(RelayFollowing, ChangesArriveByReport) {
  auto it = Relying();
  auto message = watcher(it.Names[0], 50, 0ms);
  message.Watch->AsOf = 4;
  auto leaving = describeServer("p0", "plain");
  leaving.IsDraining = true;
  leaving.Revision = 3;
  message.Watch->Updates = {{"p0", 3, leaving}, {"p1", 4, std::nullopt}};
  it.Node.feed(PeerReported{message});
  cr_assert(it.Node.CurrentState.Servers.find("p0")->Description.IsDraining);
  cr_assert_null(it.Node.CurrentState.Servers.find("p1"));
  cr_assert_eq(it.Node.CurrentState.StoreWatch.ServersAsOf, 4);
  cr_assert_not(it.Node.CurrentState.StoreWatch.needsServers());
}

// Found by a hunt (Putzwerk, deploy/days/servers.toml, seed 540129512398): the
// last call of an instance had failed before it relied on watchers, and it
// took each removal for the effect of an outage.
Test(RelayFollowing, RemovalByReportHoldsAfterAFailedCallOfOnesOwn) {
  auto it = Relying();
  it.Node.HasStore = false;
  it.Node.feed(StoreReachabilityObserved{false, "status 429"});
  for (auto n = 0; n < 20; ++n) {
    it.hear(0ms);
    it.Node.advance(150ms);
  }
  auto message = watcher(it.Names[0], 5000, 0ms);
  message.Watch->AsOf = 4;
  message.Watch->Updates = {{"p1", 4, std::nullopt}};
  it.Node.feed(PeerReported{message});
  cr_assert_null(it.Node.CurrentState.Servers.find("p1"));
}

Test(RelayFollowing, MissedChangesAreReadFromTheStore) {
  auto it = Relying();
  auto message = watcher(it.Names[0], 50, 0ms);
  message.Watch->BaseRevision = 6;
  message.Watch->AsOf = 9;
  it.Node.feed(PeerReported{message});
  cr_assert(it.Node.CurrentState.StoreWatch.needsServers());
  it.Node.feed(ServersUpdated{{}, 9});
  cr_assert_not(it.Node.CurrentState.StoreWatch.needsServers());
}

Test(RelayFollowing, LostReportsWithoutChangesCostNoCall) {
  auto it = Relying();
  auto log = ServerChangeLog{};
  log.reset(2);
  for (auto asOf = 3U; asOf < 300; ++asOf)
    log.add({}, asOf, it.Node.Now);
  auto message = watcher(it.Names[0], 50, 0ms);
  log.describe(*message.Watch);
  it.Node.feed(PeerReported{message});
  cr_assert_eq(it.Node.CurrentState.StoreWatch.ServersAsOf, 299);
  cr_assert_not(it.Node.CurrentState.StoreWatch.needsServers());
}

Test(RelayFollowing, NewerConfigurationIsReadFromTheStore) {
  auto it = Relying();
  auto message = watcher(it.Names[0], 50, 0ms);
  message.Watch->Configuration = 12;
  it.Node.feed(PeerReported{message});
  cr_assert(it.Node.CurrentState.StoreWatch.needsConfiguration());
  it.Node.feed(ConfigurationReceived{makeConfiguration(2), 12});
  it.Node.feed(ConfigurationConfirmed{12});
  cr_assert_not(it.Node.CurrentState.StoreWatch.needsConfiguration());
}

Test(RelayFollowing, LogNamesTheRevisionsItIsCompleteBetween) {
  auto log = ServerChangeLog{};
  auto now = Instant{} + 1h;
  log.reset(10);
  log.add({{"a", 11, std::nullopt}}, 12, now);
  log.add({}, 15, now + 1s);
  auto watch = WatchReport{};
  log.describe(watch);
  cr_assert_eq(watch.BaseRevision, 10);
  cr_assert_eq(watch.AsOf, 15);
  cr_assert_eq(watch.Updates.size(), 1);
  log.add({}, 16, now + 10s);
  auto later = WatchReport{};
  log.describe(later);
  // Nothing changed since, so that whoever knows revision 12 knows all.
  cr_assert_eq(later.BaseRevision, 12);
  cr_assert_eq(later.AsOf, 16);
  cr_assert(later.Updates.empty());
}

} // namespace dotterel::relay::test
