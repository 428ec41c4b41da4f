#include "LibRelay/FleetReducer.h"

#include "LibRelay/RequestReducer.h"

#include "LibCore/Hash.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Within about two seconds after an outage of the store, servers renew the
/// entries that lapsed during it; entries still missing then belong to servers
/// that are gone.
constexpr auto LapsedEntryGracePeriod = Duration{2s};
/// Minimum length, in heartbeats, of an outage that makes entries lapse:
/// entries lapse after three missed heartbeats, and the last one was sent up to
/// one interval before the outage.
constexpr auto OutageHeartbeats = 2;
/// A prefix that was not used for this long has been evicted at the server.
constexpr auto PrefixLifetime = Duration{25s};
/// Addresses in one steering response.
constexpr auto MaximumSteeringAddresses = std::size_t{64};
/// Time within which an instance that has just started receives reports from
/// its peers. An earlier steering response would direct all callers to few
/// instances.
constexpr auto PeerDiscoveryPeriod = Duration{1300ms};
/// An instance that cannot list its peers responds with its own address after
/// this time.
constexpr auto PeerListTimeout = Duration{4s};
/// An instance keeps running for at least this long after the request to stop,
/// for callers that have not learned of it yet.
constexpr auto MinimumLeaveDuration = Duration{2500ms};
/// The remaining requests are failed this long before the leave timeout: the
/// responses have to reach their callers and the process has to exit, also on a
/// slow machine.
constexpr auto LeaveMargin = Duration{1100ms};
/// A server that a peer announces as changing its stage is avoided until it is
/// missing from several of the peer's reports.
constexpr auto ChangingServerBackoff = Duration{700ms};
/// A failed connection is reported for about the time that a server needs to
/// restart, and in several reports.
constexpr auto UnreachableReportPeriod = Duration{1s};
/// Peers detect within a second that a watcher of the store is gone, even if
/// some reports are lost. Watchers are few, so the extra reports cost little.
constexpr auto WatcherReportInterval = Duration{150ms};
/// Fields that change rarely are sent at this interval and in the first
/// reports.
constexpr auto FullReportInterval = Duration{1s};
constexpr auto InitialFullReports = std::uint64_t{5};
/// Limit on the prefixes in one report, so that its datagram is not fragmented.
constexpr auto MaximumPrefixesPerReport = std::size_t{60};

} // namespace

auto FleetReducer::on(ConfigurationReceived const &Event) -> void {
  auto version = Event.Content->version();
  if (CurrentState.Config && version <= CurrentState.Config->version())
    return;
  log(LogLevel::Info, "configuration-in-force",
      "version={} previous={} routes={}", version,
      CurrentState.Config ? CurrentState.Config->version() : 0,
      Event.Content->routes().size());
  CurrentState.Config = Event.Content;
}

auto FleetReducer::put(ServerDescription const &Description) -> void {
  CurrentState.LapsedServers.erase(Description.Id);
  if (!CurrentState.Servers.put(Description))
    return;
  auto &server = *CurrentState.Servers.find(Description.Id);
  CurrentState.Peers.restoreLoads(server);
  log(LogLevel::Info, "server-changed",
      "server={} service={} address={} draining={} stage={} started_at={} "
      "revision={}",
      Description.Id, quoteLogValue(Description.Service), Description.Address,
      Description.IsDraining, toString(Description.Stage),
      Description.StartedAt, Description.Revision);
  if (Description.IsDraining)
    emit(CloseIdleConnections{Description.Address});
}

auto FleetReducer::remove(std::string const &Id, std::string_view Reason)
    -> void {
  CurrentState.LapsedServers.erase(Id);
  auto address = CurrentState.Servers.remove(Id);
  if (address.empty())
    return;
  emit(CloseIdleConnections{address});
  log(LogLevel::Info, "server-removed", "server={} address={} reason={}", Id,
      address, quoteLogValue(Reason));
}

auto FleetReducer::recordStoreResponse() -> void {
  auto &store = CurrentState.Store;
  if (isOutage())
    store.OutageEndedAt = now();
  store.LastResponseAt = now();
  store.HasFailed = false;
}

auto FleetReducer::isOutage() const -> bool {
  // Before the first response no entry was known that could have lapsed. A
  // watch that waits for changes is not a failure.
  auto const &store = CurrentState.Store;
  return store.HasFailed && store.LastResponseAt != Instant{} &&
         now() - store.LastResponseAt >
             OutageHeartbeats * CurrentState.Options.ServerHeartbeatInterval;
}

auto FleetReducer::isDuringOrAfterOutage() const -> bool {
  return isOutage() ||
         now() - CurrentState.Store.OutageEndedAt < LapsedEntryGracePeriod;
}

auto FleetReducer::on(ServersListed const &Event) -> void {
  for (auto const &it : Event.Servers)
    put(it);
  for (auto const &id : CurrentState.Servers.missingFrom(Event.Servers)) {
    auto const *server = CurrentState.Servers.find(id);
    if (server->Description.Revision > Event.AsOf)
      continue;
    if (CurrentState.HasServers && isDuringOrAfterOutage())
      CurrentState.LapsedServers.try_emplace(id, now());
    else
      remove(id, "not listed");
  }
  CurrentState.HasServers = true;
}

auto FleetReducer::on(ServersUpdated const &Event) -> void {
  apply(Event.Updates);
}

auto FleetReducer::apply(std::span<ServerUpdate const> Updates) -> void {
  for (auto const &it : Updates) {
    if (it.Description)
      put(*it.Description);
    else
      handleRemoval(it);
  }
}

auto FleetReducer::handleRemoval(ServerUpdate const &Update) -> void {
  auto const *server = CurrentState.Servers.find(Update.Id);
  if (server == nullptr || server->Description.Revision > Update.Revision)
    return;
  if (isDuringOrAfterOutage() && !server->Description.IsDraining) {
    CurrentState.LapsedServers.try_emplace(Update.Id, now());
    log(LogLevel::Info, "server-entry-lapsed", "server={} revision={}",
        Update.Id, Update.Revision);
    return;
  }
  remove(Update.Id, "entry removed");
}

auto FleetReducer::on(StoreReachabilityObserved const &Event) -> void {
  auto &store = CurrentState.Store;
  if (Event.IsReachable)
    recordStoreResponse();
  else
    store.HasFailed = true;
  if (store.IsReachable == Event.IsReachable)
    return;
  store.IsReachable = Event.IsReachable;
  log(store.IsReachable ? LogLevel::Info : LogLevel::Warning,
      store.IsReachable ? "store-regained" : "store-lost", "reason={}",
      quoteLogValue(Event.Reason));
}

auto FleetReducer::on(PeersListed const &Event) -> void {
  for (auto const &it : Event.Peers) {
    if (it.PeerAddress != CurrentState.Self.PeerAddress)
      CurrentState.Peers.discover(it, now());
  }
  if (!CurrentState.PeersListedAt) {
    CurrentState.PeersListedAt = now();
    CurrentState.NextReportAt = now();
  }
}

auto FleetReducer::on(PeerReported const &Event) -> void {
  auto const &report = Event.Report;
  if (report.PeerAddress == CurrentState.Self.PeerAddress)
    return;
  if (!CurrentState.Peers.accept(report, now(), CurrentState.Servers))
    return;
  if (CurrentState.isFreshWatcher(
          CurrentState.Peers.all().at(report.PeerAddress)))
    recordStoreResponse();
  for (auto const &it : report.Prefixes)
    CurrentState.Prefixes.record(it.Hash, it.Server, now());
  for (auto key : report.Changing) {
    if (auto *server = CurrentState.Servers.findByKey(key))
      server->ChangingUntil = now() + ChangingServerBackoff;
  }
  for (auto key : report.Unreachable) {
    if (auto *server = CurrentState.Servers.findByKey(key))
      suspect(*server, report.PeerAddress, report.Incarnation);
  }
}

auto FleetReducer::suspect(Server &Target, std::string_view PeerAddress,
                           std::uint64_t Incarnation) -> void {
  if (!Target.Suspicion.record(Incarnation, now()))
    return;
  log(LogLevel::Info, "server-suspected", "server={} address={} by={}",
      Target.Description.Id, Target.Description.Address, PeerAddress);
}

auto FleetReducer::on(SteeringRequested const &Event) -> void {
  auto knowsPeers =
      CurrentState.PeersListedAt
          ? now() - *CurrentState.PeersListedAt > PeerDiscoveryPeriod
          : now() - CurrentState.StartedAt > PeerListTimeout;
  auto response = SendSteeringResponse{
      Event.Number, {}, CurrentState.Options.SteeringLifetime};
  if (!knowsPeers || !CurrentState.Config)
    return emit(std::move(response));
  struct Candidate {
    double Score;
    std::string Address;
  };
  auto candidates = std::vector<Candidate>{};
  auto addCandidate = [&](std::string const &Address, double Weight) {
    // Weighted sampling without replacement: each address scores Weight / hash.
    auto hash =
        rendezvousScore(Event.Number ^ CurrentState.Self.Incarnation, Address);
    candidates.push_back({Weight / (1.0 + static_cast<double>(hash)), Address});
  };
  if (CurrentState.isReady())
    addCandidate(CurrentState.Self.CallerAddress, CurrentState.Self.Weight);
  for (auto const &it : CurrentState.Peers.all()) {
    auto const &peer = it.second;
    if (!CurrentState.Peers.isAlive(peer, now()) || !peer.LastReport->IsReady)
      continue;
    addCandidate(peer.LastReport->CallerAddress, peer.LastReport->Weight);
  }
  std::ranges::sort(candidates, std::greater{}, &Candidate::Score);
  for (auto &it : candidates) {
    if (response.Addresses.size() >= MaximumSteeringAddresses)
      break;
    response.Addresses.push_back(std::move(it.Address));
  }
  emit(std::move(response));
}

auto FleetReducer::on(LeaveRequested const & /*Event*/) -> void {
  if (CurrentState.LeavingSince)
    return;
  CurrentState.LeavingSince = now();
  log(LogLevel::Info, "leave-requested", "in_progress={}",
      CurrentState.Requests.size());
  sendReport();
}

auto FleetReducer::sendReport() -> void {
  auto report = PeerReport{};
  auto isInitial = CurrentState.ReportsSent < InitialFullReports;
  report.IsFull = isInitial || now() >= CurrentState.NextFullReportAt;
  if (report.IsFull) {
    CurrentState.NextFullReportAt = now() + FullReportInterval;
    report.Instance = CurrentState.Self.Instance;
    report.CallerAddress = CurrentState.Self.CallerAddress;
    for (auto const &it : CurrentState.Roles.Demand)
      report.Demands.push_back(
          {hashText(it.first), it.second.Meter.perSecond(now())});
  }
  report.Incarnation = CurrentState.Self.Incarnation;
  report.SequenceNumber = ++CurrentState.ReportsSent;
  report.IsReady = CurrentState.isReady();
  report.IsLeaving = CurrentState.LeavingSince.has_value();
  report.Weight = CurrentState.Self.Weight;
  for (auto const &it : CurrentState.Servers.all()) {
    auto const &own = it.second->OwnLoad;
    if (own.Requests > 0)
      report.Loads.push_back({it.second->Key, own});
    if (now() - it.second->UnreachableAt < UnreachableReportPeriod)
      report.Unreachable.push_back(it.second->Key);
  }
  auto &uses = CurrentState.UnreportedPrefixUses;
  auto count = std::min(uses.size(), MaximumPrefixesPerReport);
  report.Prefixes.assign(uses.end() - static_cast<std::ptrdiff_t>(count),
                         uses.end());
  uses.clear();
  for (auto const &it : CurrentState.Roles.Orders) {
    auto const *server = CurrentState.Servers.find(it.first);
    if (server != nullptr && now() < server->ChangingUntil)
      report.Changing.push_back(server->Key);
  }
  auto const &storeWatch = CurrentState.StoreWatch;
  if (storeWatch.IsWatcher) {
    auto &watch = report.Watch.emplace();
    watch.Age = now() - std::min(storeWatch.ConfigurationConfirmedAt,
                                 storeWatch.ServersConfirmedAt);
    watch.Configuration = storeWatch.ConfigurationRevision;
    storeWatch.Changes.describe(watch);
  }
  emit(SendPeerReport{CurrentState.Peers.recipients(now()), std::move(report)});
}

auto FleetReducer::stopWhenDrained() -> void {
  if (!CurrentState.LeavingSince)
    return;
  auto elapsed = now() - *CurrentState.LeavingSince;
  if (CurrentState.Requests.empty() && elapsed >= MinimumLeaveDuration)
    return emit(StopProcess{});
  if (elapsed < CurrentState.Options.LeaveTimeout - LeaveMargin)
    return;
  auto numbers = std::vector<RequestNumber>{};
  for (auto const &it : CurrentState.Requests)
    numbers.push_back(it.first);
  for (auto it : numbers)
    RequestReducer(CurrentState, Output)
        .fail(it, ResultCode::InstanceLeaving, Duration{});
  emit(StopProcess{});
}

auto FleetReducer::on(Tick const & /*Event*/) -> void {
  auto lapsed = std::vector<std::string>{};
  for (auto const &it : CurrentState.LapsedServers) {
    if (now() - it.second >= LapsedEntryGracePeriod)
      lapsed.push_back(it.first);
  }
  for (auto const &id : lapsed)
    remove(id, "entry lapsed");
  if (now() >= CurrentState.NextReportAt) {
    auto interval = CurrentState.Peers.reportInterval();
    if (CurrentState.StoreWatch.IsWatcher)
      interval = std::min(interval, WatcherReportInterval);
    CurrentState.NextReportAt = now() + interval;
    CurrentState.Peers.expire(now(), CurrentState.Servers);
    CurrentState.Prefixes.expire(now() - PrefixLifetime);
    sendReport();
  }
  stopWhenDrained();
}

} // namespace dotterel::relay
