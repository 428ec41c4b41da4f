#include "LibRelay/FleetReducer.h"

#include "LibRelay/CustomerReducer.h"
#include "LibRelay/LimitReducer.h"
#include "LibRelay/QuarantineReducer.h"
#include "LibRelay/RequestReducer.h"
#include "LibRelay/ServerListReducer.h"

#include "LibCore/Hash.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// A prefix that was not used for this long has been evicted at the server.
constexpr auto PrefixLifetime = Duration{25s};
/// Addresses in one steering response.
constexpr auto MaximumSteeringAddresses = std::size_t{64};
/// An instance keeps running for at least this long after the request to stop,
/// for callers that have not learned of it yet.
constexpr auto MinimumLeaveDuration = Duration{2500ms};
/// The remaining requests are failed this long before the leave timeout: the
/// responses have to reach their callers and the process has to exit, also on a
/// slow machine.
constexpr auto LeaveMargin = Duration{1100ms};
/// The process ends this long before the leave timeout, even if responses are
/// still being written.
constexpr auto ExitMargin = Duration{600ms};
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
/// The same for servers that announced that they are leaving.
constexpr auto MaximumLeavingPerReport = std::size_t{60};

} // namespace

auto FleetReducer::on(ConfigurationReceived const &Event) -> void {
  auto version = Event.Content->version();
  CurrentState.StoredConfiguration = version;
  auto current = CurrentState.Config ? CurrentState.Config->version() : 0;
  if (CurrentState.Config && version < current) {
    // The store was restored from a copy that holds an older version. The
    // newer one was accepted and will be written again.
    log(LogLevel::Warning, "configuration-kept",
        "version={} stored={} era={} revision={}", current, version,
        Event.Version.era(), Event.Version.revision());
    return;
  }
  CurrentState.ConfigurationEra = Event.Version.era();
  if (CurrentState.Config && version == current)
    return;
  log(LogLevel::Info, "configuration-in-force",
      "version={} previous={} routes={}", version, current,
      Event.Content->routes().size());
  CurrentState.Config = Event.Content;
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
    ServerListReducer(CurrentState, Output).recordStoreResponse();
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
  for (auto const &it : report.Limits)
    LimitReducer(CurrentState, Output).adopt(it, report.PeerAddress);
  for (auto key : report.Leaving)
    ServerListReducer(CurrentState, Output)
        .recordLeaving(key, report.PeerAddress);
}

auto FleetReducer::suspect(Server &Target, std::string_view PeerAddress,
                           std::uint64_t Incarnation) -> void {
  if (!Target.Suspicion.record(Incarnation, now()))
    return;
  log(LogLevel::Info, "server-suspected", "server={} address={} by={}",
      Target.Description.Id, Target.Description.Address, PeerAddress);
  QuarantineReducer(CurrentState, Output).observeDisappearance(Target.Key);
}

auto FleetReducer::on(SteeringRequested const &Event) -> void {
  auto response = SendSteeringResponse{
      Event.Number, {}, CurrentState.Options.SteeringLifetime};
  // An earlier response would direct all callers to few instances.
  if (!CurrentState.knowsPeers() || !CurrentState.Config)
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
  if (CurrentState.Options.UsageWindow > Duration{})
    CustomerReducer(CurrentState, Output).sendUsage(true);
}

auto FleetReducer::sendReport() -> void {
  auto report = PeerReport{};
  auto isInitial = CurrentState.ReportsSent < InitialFullReports;
  auto recipients = CurrentState.Peers.recipients(now());
  report.IsFull = isInitial || recipients.HasSilent ||
                  now() >= CurrentState.NextFullReportAt;
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
    if (it.second->HasAnnouncedLeaving &&
        report.Leaving.size() < MaximumLeavingPerReport)
      report.Leaving.push_back(it.second->Key);
  }
  report.ConfigurationVersion =
      CurrentState.Config ? CurrentState.Config->version() : 0;
  report.ConfigurationEra = CurrentState.ConfigurationEra;
  report.Quarantine = CurrentState.Quarantine.makeReport(report.IsFull, now());
  report.Limits = CurrentState.Limits.recent(now());
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
    watch.Configuration = storeWatch.Configuration;
    storeWatch.Changes.describe(watch);
  }
  if (auto const &lease = CurrentState.Leader.Lease; lease.Fence) {
    report.LeaderFence = lease.Fence->packed();
    report.LeaderVersion = lease.Version;
  }
  emit(SendPeerReport{std::move(recipients.Addresses), std::move(report)});
}

auto FleetReducer::stopWhenDrained() -> void {
  if (!CurrentState.LeavingSince)
    return;
  auto const elapsed = now() - *CurrentState.LeavingSince;
  auto const stop = StopProcess{std::max(
      Duration{}, CurrentState.Options.LeaveTimeout - ExitMargin - elapsed)};
  if (CurrentState.Requests.empty() && elapsed >= MinimumLeaveDuration) {
    if (CurrentState.Options.UsageWindow > Duration{})
      CustomerReducer(CurrentState, Output).sendUsage(true);
    return emit(stop);
  }
  if (elapsed < CurrentState.Options.LeaveTimeout - LeaveMargin)
    return;
  auto numbers = std::vector<RequestNumber>{};
  for (auto const &it : CurrentState.Requests)
    numbers.push_back(it.first);
  for (auto it : numbers)
    RequestReducer(CurrentState, Output)
        .fail(it, ResultCode::InstanceLeaving, Duration{});
  emit(stop);
}

auto FleetReducer::updateBehindPeers() -> void {
  if (CurrentState.Store.Era == 0 || !CurrentState.Config)
    return;
  auto wasBehind = CurrentState.IsBehindPeers;
  auto const *newer = static_cast<Peer const *>(nullptr);
  for (auto const &it : CurrentState.Peers.all()) {
    auto const &peer = it.second;
    if (CurrentState.Peers.isAlive(peer, now()) &&
        peer.LastReport->ConfigurationVersion >
            CurrentState.Config->version() &&
        peer.LastReport->ConfigurationEra < CurrentState.ConfigurationEra)
      newer = &peer;
  }
  CurrentState.IsBehindPeers = newer != nullptr;
  if (wasBehind == CurrentState.IsBehindPeers)
    return;
  log(LogLevel::Warning, "configuration-behind-peers",
      "behind={} version={} peer_version={} era={}", CurrentState.IsBehindPeers,
      CurrentState.Config->version(),
      newer == nullptr ? 0 : newer->LastReport->ConfigurationVersion,
      CurrentState.ConfigurationEra);
}

auto FleetReducer::on(Tick const & /*Event*/) -> void {
  updateBehindPeers();
  if (now() >= CurrentState.NextReportAt) {
    auto interval = CurrentState.Peers.reportInterval();
    if (CurrentState.StoreWatch.IsWatcher)
      interval = std::min(interval, WatcherReportInterval);
    CurrentState.NextReportAt = now() + interval;
    CurrentState.Peers.expire(now(), CurrentState.Servers);
    CurrentState.Prefixes.expire(now() - PrefixLifetime);
    CurrentState.Limits.expire(now(), CurrentState.Servers);
    sendReport();
  }
  stopWhenDrained();
}

} // namespace dotterel::relay
