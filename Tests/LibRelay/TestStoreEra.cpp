// The store is restored from a copy that is some seconds old: what the system
// and the servers wrote since is missing, and revisions are assigned again.
#include "LibRelay/RelayNode.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

/// Returns the entries of a node's first list.
auto originalServers(std::uint64_t Era, std::uint64_t Revision)
    -> std::vector<ServerDescription> {
  auto servers = std::vector<ServerDescription>{};
  for (auto n = 0; n < 3; ++n) {
    servers.push_back(describeServer(fmt::format("p{}", n), "plain"));
    servers.push_back(
        describeServer(fmt::format("d{}", n), "model", EngineStage::Decode));
  }
  for (auto n = 0; n < 2; ++n)
    servers.push_back(
        describeServer(fmt::format("f{}", n), "model", EngineStage::Prefill));
  for (auto &it : servers)
    it.Version = {Era, Revision};
  return servers;
}

/// The store is restored to revision 2, at which the node's first list was
/// made.
auto restore(RelayNode &Node) -> void {
  Node.feed(StoreEraObserved{1});
  Node.feed(ServersListed{originalServers(1, 2), {1, 2}});
}

auto isUsable(RelayNode &Node, std::string const &Server) -> bool {
  auto const *server = Node.CurrentState.Servers.find(Server);
  return server != nullptr && server->isUsable(Node.Now);
}

auto update(RelayNode &Node, StoreVersion Version,
            std::optional<ServerDescription> Entry, std::string const &Id)
    -> void {
  if (Entry)
    Entry->Version = Version;
  Node.feed(ServersUpdated{{{Id, Version, std::move(Entry)}}, Version});
}

/// A node whose plan calls for orders.
auto makePlanningNode(bool IsFirstStart) -> RelayNode {
  auto node = RelayNode();
  addDecodeEngines(node);
  node.CurrentState.Options.IsFirstStart = IsFirstStart;
  return node;
}

/// Responds to reads of the lease and returns the time until it is written, or
/// std::nullopt if it is not written within \p Limit.
auto timeUntilWritten(RelayNode &Node, LeaseRead const &Stored, Duration Limit)
    -> std::optional<Duration> {
  for (auto elapsed = Duration{}; elapsed < Limit; elapsed += 50ms) {
    auto effects = Node.advance(50ms);
    if (effect<WriteLease>(effects) != nullptr)
      return elapsed;
    if (effect<ReadLease>(effects) != nullptr)
      Node.feed(Stored);
  }
  return std::nullopt;
}

/// Lets a node that plans write the lease and send its orders.
auto sendFirstOrders(RelayNode &Node) -> void {
  cr_assert(timeUntilWritten(Node, {true, {0, 0}, ""}, 5s).has_value());
  Node.feed(LeaseWritten{true, {0, 40}, 5s});
  cr_assert_gt(countEffects<SendOrder>(Node.LastEffects), 0);
}

/// Feeds version 1 of the configuration, read in era 1, and the report of a
/// peer that has version 5 from \p PeerEra in force.
auto readOlderConfigurationThanPeer(RelayNode &Node, std::uint64_t PeerEra)
    -> void {
  Node.feed(StoreEraObserved{1});
  Node.feed(ConfigurationReceived{makeConfiguration(1), {1, 1}});
  auto message = report("i1", 1);
  message.ConfigurationVersion = 5;
  message.ConfigurationEra = PeerEra;
  Node.feed(PeerReported{message});
  Node.advance(50ms);
}

} // namespace

Test(RelayEra, DrainingServerIsNotRevivedByACopy) {
  auto node = RelayNode();
  auto leaving = describeServer("p0", "plain");
  leaving.IsDraining = true;
  update(node, {0, 7}, leaving, "p0");
  restore(node);
  cr_assert_not(isUsable(node, "p0"));
  // A second list of the same copy.
  node.feed(ServersListed{originalServers(1, 2), {1, 2}});
  cr_assert_not(isUsable(node, "p0"));
}

Test(RelayEra, RemovedServerIsHeldUntilItsEntryWouldLapse) {
  auto node = RelayNode();
  update(node, {0, 7}, std::nullopt, "p0");
  restore(node);
  cr_assert_not(isUsable(node, "p0"));
  node.advance(4500ms);
  cr_assert_not(isUsable(node, "p0"));
  // The store would have removed the entry of a silent server by now.
  node.advance(400ms);
  cr_assert(isUsable(node, "p0"));
}

Test(RelayEra, ServerThatWasDrainingWhenRemovedStaysOut) {
  auto node = RelayNode();
  auto leaving = describeServer("p0", "plain");
  leaving.IsDraining = true;
  update(node, {0, 7}, leaving, "p0");
  update(node, {0, 8}, std::nullopt, "p0");
  restore(node);
  node.advance(20s);
  cr_assert_not(isUsable(node, "p0"));
}

Test(RelayEra, EntryWrittenAfterTheRestoreIsTrusted) {
  auto node = RelayNode();
  update(node, {0, 7}, std::nullopt, "p0");
  auto servers = originalServers(1, 2);
  std::erase_if(servers, [](auto const &it) { return it.Id == "p0"; });
  node.feed(StoreEraObserved{1});
  node.feed(ServersListed{servers, {1, 2}});
  update(node, {1, 3}, describeServer("p0", "plain"), "p0");
  cr_assert(isUsable(node, "p0"));
}

Test(RelayEra, ServerThatCameSinceTheCopyIsKeptUntilItIsWrittenAgain) {
  for (auto isWritten : {true, false}) {
    auto node = RelayNode();
    update(node, {0, 7}, describeServer("p7", "plain"), "p7");
    restore(node);
    cr_assert(isUsable(node, "p7"));
    node.advance(1s);
    if (isWritten)
      update(node, {1, 4}, describeServer("p7", "plain"), "p7");
    node.advance(1500ms);
    cr_assert_eq(isUsable(node, "p7"), isWritten);
  }
}

Test(RelayEra, LowerRevisionOfANewEraReplacesAnEntry) {
  auto node = RelayNode();
  update(node, {0, 90}, describeServer("p0", "plain"), "p0");
  restore(node);
  auto leaving = describeServer("p0", "plain");
  leaving.IsDraining = true;
  update(node, {1, 5}, leaving, "p0");
  cr_assert_not(isUsable(node, "p0"));
}

Test(RelayEra, LateUpdateOfAnOlderEraIsIgnored) {
  auto node = RelayNode();
  restore(node);
  update(node, {0, 90}, std::nullopt, "p0");
  cr_assert_not_null(node.CurrentState.Servers.find("p0"));
}

Test(RelayEra, AcceptedConfigurationOutlivesTheCopy) {
  auto node = RelayNode();
  node.feed(ConfigurationReceived{makeConfiguration(5), {0, 9}});
  node.feed(StoreEraObserved{1});
  node.feed(ConfigurationReceived{makeConfiguration(1), {1, 1}});
  auto const *line = effect<WriteLog>(node.LastEffects);
  cr_assert(line != nullptr && line->Event == "configuration-kept");
  cr_assert_eq(node.CurrentState.Config->version(), 5);
  cr_assert_eq(node.CurrentState.StoredConfiguration, 1);
  node.feed(ConfigurationReceived{makeConfiguration(6), {1, 4}});
  cr_assert_eq(node.CurrentState.Config->version(), 6);
}

// An instance that starts after the restore reads the older configuration,
// while its peers have the newer one in force.
Test(RelayEra, StartingInstanceDoesNotApplyAnOlderConfiguration) {
  auto node = RelayNode();
  readOlderConfigurationThanPeer(node, 0);
  cr_assert_not(node.CurrentState.isReady());
  (void)node.request(RouteKind::Lookup);
  cr_assert_eq(
      describe(effect<SendErrorResponse>(node.LastEffects)->Code).HttpStatus,
      503);
  node.feed(ConfigurationReceived{makeConfiguration(5), {1, 3}});
  node.advance(50ms);
  cr_assert(node.CurrentState.isReady());
}

Test(RelayEra, NewerConfigurationOfAPeerIsNoReasonToWaitInOneEra) {
  auto node = RelayNode();
  readOlderConfigurationThanPeer(node, 1);
  cr_assert(node.CurrentState.isReady());
}

Test(RelayEra, EraIsLearnedFromPeers) {
  auto node = RelayNode();
  auto message = report("i1", 1);
  auto &watch = message.Watch.emplace();
  watch.Base = {1, 3};
  watch.AsOf = {1, 3};
  node.feed(PeerReported{message});
  cr_assert_eq(node.CurrentState.Store.Era, 1);
  // The changes since the copy are unknown, so the servers are listed again.
  cr_assert(node.CurrentState.StoreWatch.needsServers());
}

Test(RelayEra, ReportOfAnOlderEraChangesNothing) {
  auto node = RelayNode();
  restore(node);
  auto message = report("i1", 1);
  auto &watch = message.Watch.emplace();
  watch.Base = atRevision(2);
  watch.AsOf = atRevision(90);
  watch.Updates = {{"p0", atRevision(90), std::nullopt}};
  node.feed(PeerReported{message});
  cr_assert_not_null(node.CurrentState.Servers.find("p0"));
  cr_assert_eq(node.CurrentState.Store.Era, 1);
}

// The copy may name this instance as the holder although another one has taken
// the lease over since, or lack the lease.
Test(RelayEra, NoLeaseIsWrittenUntilOrdersOfTheOlderEraExpired) {
  for (auto const *holder : {"", "i0", "i9"}) {
    auto node = makePlanningNode(true);
    sendFirstOrders(node);
    node.CurrentState.Roles.Orders.clear();
    node.feed(StoreEraObserved{1});
    auto stored = LeaseRead{true, {1, holder[0] == 0 ? 0U : 30U}, holder};
    auto written = timeUntilWritten(node, stored, 30s);
    cr_assert(written && *written >= 9s, "holder '%s'", holder);
  }
}

Test(RelayEra, FirstStartSendsOrdersAtOnceInAnyEra) {
  auto node = makePlanningNode(true);
  // No response of the store has been seen before.
  node.CurrentState.Store = {};
  node.feed(StoreEraObserved{4});
  cr_assert(timeUntilWritten(node, {true, {4, 0}, ""}, 5s).has_value());
}

Test(RelayEra, RestartedInstanceWaitsBeforeItsFirstOrders) {
  auto node = makePlanningNode(true);
  sendFirstOrders(node);
  node.CurrentState.Options.IsFirstStart = false;
  node.CurrentState.Roles.Orders.clear();
  node.CurrentState.Roles.Lease = {};
  node.CurrentState.Store = {};
  node.feed(StoreEraObserved{4});
  node.CurrentState.Options.IsFirstStart = true;
  auto written = timeUntilWritten(node, {true, {4, 0}, ""}, 30s);
  cr_assert(written && *written >= 9s);
}

Test(RelayEra, WriteThatCrossedTheRestoreSendsNoOrders) {
  auto node = makePlanningNode(true);
  cr_assert(timeUntilWritten(node, {true, {0, 0}, ""}, 5s).has_value());
  node.feed(StoreEraObserved{1});
  node.feed(LeaseWritten{true, {1, 40}, 5s});
  cr_assert_eq(countEffects<SendOrder>(node.LastEffects), 0);
}

Test(RelayEra, FencingNumbersRiseOverEras) {
  auto node = makePlanningNode(true);
  cr_assert(timeUntilWritten(node, {true, {0, 0}, ""}, 5s).has_value());
  node.feed(LeaseWritten{true, {0, 900}, 5s});
  auto older = effect<SendOrder>(node.LastEffects)->FencingNumber;
  cr_assert_eq(older, 900);
  node.CurrentState.Roles.Orders.clear();
  node.feed(StoreEraObserved{1});
  cr_assert(timeUntilWritten(node, {true, {1, 3}, "i0"}, 30s).has_value());
  node.feed(LeaseWritten{true, {1, 4}, 5s});
  cr_assert_gt(effect<SendOrder>(node.LastEffects)->FencingNumber, older);
}

} // namespace dotterel::relay::test
