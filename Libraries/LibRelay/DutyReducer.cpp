#include "LibRelay/DutyReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// The holder may act for this long after it began to write the lease.
constexpr auto LeaseValidity = Duration{4s};
/// Age of another instance's write from which the lease may be taken over: the
/// holder may act for LeaseValidity, and its last call may be in flight for a
/// second. The report of a window whose holder fails is still in time.
constexpr auto TakeoverAge = Duration{6s};
constexpr auto ReadInterval = Duration{500ms};
/// The lease is written again this long before it ends.
constexpr auto RenewalLead = Duration{2s};
/// Time after the end of a window in which the counts of all instances arrive.
constexpr auto CollectionTime = Duration{2s};
constexpr auto SendInterval = Duration{700ms};
/// Reports that are written to the lease; older ones are past their deadline.
constexpr auto KeptReports = std::size_t{4};
constexpr auto PlanInterval = Duration{500ms};
/// Servers register one after the other. The number at the start is what has
/// not changed for this long.
constexpr auto ServerSettlingTime = Duration{2500ms};
/// Time after which an order that was refused, or that shows no effect, is sent
/// again.
constexpr auto RefusedOrderInterval = Duration{6s};
constexpr auto RepeatedOrderInterval = Duration{4s};
/// Instances that collect the usage beside the holder.
constexpr auto SuccessorCount = std::size_t{2};

} // namespace

auto toString(DutyResult Result) -> std::string_view {
  switch (Result) {
  case DutyResult::Accepted:
    return "accepted";
  case DutyResult::Refused:
    return "refused";
  case DutyResult::Failed:
    return "failed";
  }
  return "unknown";
}

auto DutyReducer::hasDuties() const -> bool {
  if (!CurrentState.Config)
    return false;
  if (CurrentState.Options.OrdersServers)
    return true;
  return CurrentState.Options.UsageWindow > Duration{} &&
         CurrentState.Config->customers() != nullptr;
}

auto DutyReducer::successors() const -> std::vector<std::string> {
  auto preferred = std::vector<PeerReport const *>{};
  auto addresses = std::vector<std::string>{};
  for (auto const &[address, peer] : CurrentState.Peers.all()) {
    if (!CurrentState.Peers.isAlive(peer, now()) || peer.LastReport->IsLeaving)
      continue;
    if (peer.LastReport->DutyFence > 0)
      addresses.push_back(address);
    else if (peer.LastReport->IsReady)
      preferred.push_back(&*peer.LastReport);
  }
  auto const n = std::min(SuccessorCount, preferred.size());
  std::ranges::partial_sort(
      preferred, preferred.begin() + static_cast<std::ptrdiff_t>(n),
      [](PeerReport const *Left, PeerReport const *Right) {
        return hasPrecedence(*Left, Right->Weight, Right->Instance);
      });
  for (auto it = std::size_t{0}; it < n; ++it)
    addresses.push_back(preferred[it]->PeerAddress);
  return addresses;
}

auto DutyReducer::shouldAct(Duration SinceBoot) const -> bool {
  if (!CurrentState.isReady() || !CurrentState.knowsPeers())
    return false;
  auto const &lease = CurrentState.Duties.Lease;
  auto const isHolder = lease.Fence && SinceBoot < lease.ValidUntil;
  auto const ownFence = isHolder ? lease.Fence->packed() : 0;
  auto const &self = CurrentState.Self;
  for (auto const &it : CurrentState.Peers.all()) {
    auto const &peer = it.second;
    if (!CurrentState.Peers.isAlive(peer, now()) || peer.LastReport->IsLeaving)
      continue;
    if (peer.LastReport->DutyFence > ownFence)
      return false;
    if (!isHolder && peer.LastReport->IsReady &&
        hasPrecedence(*peer.LastReport, self.Weight, self.Instance))
      return false;
  }
  return true;
}

auto DutyReducer::mayWrite() const -> bool {
  auto const &lease = CurrentState.Duties.Lease;
  if (!lease.IsKnown)
    return false;
  auto const &holder = lease.Record.Holder;
  return holder.empty() || holder == CurrentState.Self.Instance ||
         now() - lease.UnchangedSince >= TakeoverAge;
}

auto DutyReducer::authority() const -> DutyAuthority {
  auto const &lease = CurrentState.Duties.Lease;
  return {CurrentState.Self.Instance, lease.Fence->packed(), lease.ValidUntil};
}

auto DutyReducer::isOverdue(UsageWindow Window) const -> bool {
  auto const &options = CurrentState.Options;
  auto const end = static_cast<std::int64_t>(Window + 1) * options.UsageWindow;
  auto const time = CurrentState.TimeOfDay.at(CurrentState.sinceBoot(now()));
  return time >= end + options.UsageDeadline;
}

auto DutyReducer::dueReports() const -> std::vector<UsageReport> {
  auto due = std::vector<UsageReport>{};
  if (CurrentState.Options.UsageWindow == Duration{} ||
      CurrentState.Config->customers() == nullptr)
    return due;
  auto const &reports = CurrentState.Duties.Lease.Record.Reports;
  auto const next = reports.empty() ? 0 : reports.back().Window + 1;
  auto const current = CurrentState.usageWindow(now() - CollectionTime);
  for (auto it = std::max(
           next, current - std::min<UsageWindow>(current, KeptReports));
       it < current; ++it) {
    // Windows before the first traffic have nothing to report.
    auto counts = CurrentState.Customers.Usage.total(it);
    if (!isOverdue(it) && !(counts.empty() && reports.empty()))
      due.push_back({it, std::move(counts)});
  }
  return due;
}

auto DutyReducer::resign(std::string_view Reason) -> void {
  auto &lease = CurrentState.Duties.Lease;
  if (lease.Fence)
    log(LogLevel::Info, "duties-resigned", "reason={}", Reason);
  lease.Fence.reset();
}

auto DutyReducer::on(StoreEraObserved const & /*Event*/) -> void {
  // The store may have lost the lease and the reports that were written to it.
  resign("store-restored");
  auto &lease = CurrentState.Duties.Lease;
  lease.IsKnown = false;
  lease.UnchangedSince = now();
}

auto DutyReducer::on(PeerReported const &Event) -> void {
  auto &duties = CurrentState.Duties;
  if (Event.Report.DutyVersion <= duties.AnnouncedVersion)
    return;
  duties.AnnouncedVersion = Event.Report.DutyVersion;
  duties.AnnouncedAt = now();
}

auto DutyReducer::on(DutyLeaseRead const &Event) -> void {
  auto &lease = CurrentState.Duties.Lease;
  lease.IsPending = false;
  if (!Event.IsRead)
    return;
  auto const &duties = CurrentState.Duties;
  if (Event.Version == duties.AnnouncedVersion)
    lease.UnchangedSince = duties.AnnouncedAt;
  else if (!lease.IsKnown || lease.Version != Event.Version)
    lease.UnchangedSince = now();
  lease.IsKnown = true;
  lease.Version = Event.Version;
  lease.Record = Event.Record;
}

auto DutyReducer::on(DutyLeaseWritten const &Event) -> void {
  auto &lease = CurrentState.Duties.Lease;
  lease.IsPending = false;
  if (!Event.IsWritten || Event.Version.era() != lease.Version.era()) {
    // Whether the write took effect is not known until the lease is read.
    lease.IsKnown = false;
    lease.NextReadAt = now() + ReadInterval;
    return resign("write-failed");
  }
  if (!lease.Fence) {
    lease.Fence = Event.Version;
    CurrentState.Duties.Accepted.clear();
    CurrentState.Duties.NextSendAt.clear();
    CurrentState.Duties.Orders.clear();
    log(LogLevel::Info, "duties-taken", "fence={} reports={}",
        lease.Fence->packed(), lease.Record.Reports.size());
  }
  lease.Version = Event.Version;
  lease.UnchangedSince = now();
  lease.ValidUntil = Event.WrittenAt + LeaseValidity;
  sendReports();
}

auto DutyReducer::updateLease(Duration SinceBoot) -> void {
  auto &lease = CurrentState.Duties.Lease;
  if (lease.Fence && SinceBoot >= lease.ValidUntil) {
    // A write in flight shows whether the lease is still held.
    lease.IsKnown = lease.IsKnown && lease.IsPending;
    resign("lease-ended");
  }
  if (lease.IsPending)
    return;
  if (!mayWrite()) {
    if (now() < lease.NextReadAt)
      return;
    lease.NextReadAt = now() + ReadInterval;
    lease.IsPending = true;
    return emit(ReadDutyLease{});
  }
  auto due = dueReports();
  auto const isEnding =
      !lease.Fence || SinceBoot + RenewalLead >= lease.ValidUntil;
  auto const isNeeded = lease.Fence && CurrentState.Options.OrdersServers;
  auto const isUsed = isNeeded || !lease.Record.Reports.empty();
  if (due.empty() && !(isEnding && (isUsed || !lease.Fence)))
    return;
  auto &record = lease.Record;
  record.Holder = CurrentState.Self.Instance;
  for (auto &it : due)
    record.Reports.push_back(std::move(it));
  if (record.Reports.size() > KeptReports)
    record.Reports.erase(record.Reports.begin(),
                         record.Reports.end() -
                             static_cast<std::ptrdiff_t>(KeptReports));
  lease.IsPending = true;
  emit(WriteDutyLease{lease.Version, record});
}

auto DutyReducer::sendReports() -> void {
  auto &duties = CurrentState.Duties;
  if (!duties.Lease.Fence || duties.Lease.IsPending)
    return;
  for (auto const &it : duties.Lease.Record.Reports) {
    auto &next = duties.NextSendAt[it.Window];
    if (duties.Accepted.contains(it.Window) || isOverdue(it.Window) ||
        now() < next)
      continue;
    next = now() + SendInterval;
    emit(SendUsageReport{it, authority()});
  }
}

auto DutyReducer::on(UsageReported const &Event) -> void {
  log(Event.Result == DutyResult::Accepted ? LogLevel::Info : LogLevel::Warning,
      "usage-reported", "window={} result={} status={}", Event.Window,
      toString(Event.Result), Event.Status);
  emit(IncrementCounter{CounterMetric::Duties,
                        {},
                        fmt::format("usage-{}", toString(Event.Result))});
  auto &duties = CurrentState.Duties;
  if (Event.Result == DutyResult::Accepted)
    duties.Accepted.insert(Event.Window);
  if (duties.Accepted.size() > KeptReports)
    duties.Accepted.erase(duties.Accepted.begin());
  if (duties.NextSendAt.size() > 2 * KeptReports)
    duties.NextSendAt.erase(duties.NextSendAt.begin());
}

auto DutyReducer::on(ServersOrdered const &Event) -> void {
  log(Event.Result == DutyResult::Accepted ? LogLevel::Info : LogLevel::Warning,
      "servers-ordered",
      "service={} domain={} reclaimable={} count={} result={} status={}",
      quoteLogValue(Event.Service), quoteLogValue(Event.Domain),
      Event.IsReclaimable, Event.Count, toString(Event.Result), Event.Status);
  emit(IncrementCounter{CounterMetric::Duties,
                        {},
                        fmt::format("order-{}", toString(Event.Result))});
  auto &order = CurrentState.Duties
                    .Orders[{Event.Service, Event.Domain, Event.IsReclaimable}];
  order.IsAccepted = Event.Result == DutyResult::Accepted;
  if (Event.Result == DutyResult::Failed)
    order.NextAt = now() + SendInterval;
  if (Event.Result == DutyResult::Refused)
    order.UnavailableUntil = now() + RefusedOrderInterval;
}

auto DutyReducer::planServers() -> void {
  auto &duties = CurrentState.Duties;
  if (!CurrentState.Options.OrdersServers || !duties.Lease.Fence ||
      duties.Lease.IsPending || now() < duties.NextPlanAt)
    return;
  duties.NextPlanAt = now() + PlanInterval;
  for (auto const &it : CurrentState.Config->services()) {
    if (it.second.Scale && it.second.Scale->ReclaimablePrice)
      planService(it.second);
  }
}

auto DutyReducer::planService(Service const &Target) -> void {
  auto &duties = CurrentState.Duties;
  auto fleet = ServerFleet{};
  auto present = ServersByDomain{};
  for (auto const *it : CurrentState.Servers.serversOf(Target.Name)) {
    if (it->isLeaving())
      continue;
    auto const &server = it->Description;
    auto &counts = present[server.Domain];
    auto &usable = fleet.Usable[server.Domain];
    ++(server.IsReclaimable ? counts.Reclaimable : counts.Ordinary);
    if (it->isUsable(now()))
      ++(server.IsReclaimable ? usable.Reclaimable : usable.Ordinary);
  }
  auto &baseline = duties.Lease.Record.Baselines[Target.Name];
  if (baseline.empty()) {
    auto &settling = duties.Settling[Target.Name];
    if (settling.Servers != present) {
      settling = {present, now()};
      return;
    }
    if (present.empty() || now() - settling.Since < ServerSettlingTime)
      return;
    for (auto const &it : present)
      baseline[it.first] = it.second.Ordinary + it.second.Reclaimable;
  }
  fleet.Baseline = baseline;
  for (auto const &it : baseline) {
    auto const order = duties.Orders.find({Target.Name, it.first, true});
    if (order != duties.Orders.end() && now() < order->second.UnavailableUntil)
      fleet.Unavailable.insert(it.first);
  }
  for (auto const &it : relay::planServers(*Target.Scale, fleet)) {
    order(Target, it.first, true, it.second.Reclaimable,
          present[it.first].Reclaimable);
    order(Target, it.first, false, it.second.Ordinary,
          present[it.first].Ordinary);
  }
}

auto DutyReducer::order(Service const &Target, std::string const &Domain,
                        bool IsReclaimable, std::uint32_t Wanted,
                        std::uint32_t Present) -> void {
  auto &order =
      CurrentState.Duties.Orders[{Target.Name, Domain, IsReclaimable}];
  auto const isOrdered = order.IsAccepted && order.Count == Wanted;
  if (now() < order.UnavailableUntil || (isOrdered && Present == Wanted) ||
      (Present == Wanted && order.Count == 0 && !order.IsAccepted))
    return;
  // New servers take their start time to appear.
  auto const pause = Target.Scale->StartTime + RepeatedOrderInterval;
  if (order.Count == Wanted && now() < order.NextAt)
    return;
  order = {Wanted, now() + pause, false, order.UnavailableUntil};
  emit(OrderServers{Target.Name, Domain, IsReclaimable, Wanted, authority()});
}

auto DutyReducer::on(Tick const &Event) -> void {
  if (!hasDuties())
    return;
  if (!shouldAct(Event.SinceBoot)) {
    resign("another-instance");
    return;
  }
  updateLease(Event.SinceBoot);
  sendReports();
  planServers();
}

} // namespace dotterel::relay
