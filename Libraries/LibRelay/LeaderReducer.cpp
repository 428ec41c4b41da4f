#include "LibRelay/LeaderReducer.h"

#include "LibRelay/ServerOrderReducer.h"
#include "LibRelay/UsageReportReducer.h"

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
/// Instances that collect the usage beside the holder.
constexpr auto SuccessorCount = std::size_t{2};

} // namespace

auto toString(CallResult Result) -> std::string_view {
  switch (Result) {
  case CallResult::Accepted:
    return "accepted";
  case CallResult::Refused:
    return "refused";
  case CallResult::Failed:
    return "failed";
  }
  return "unknown";
}

auto LeaderReducer::hasTasks() const -> bool {
  if (!CurrentState.Config)
    return false;
  if (CurrentState.Options.OrdersServers)
    return true;
  return CurrentState.Options.UsageWindow > Duration{} &&
         CurrentState.Config->customers() != nullptr;
}

auto LeaderReducer::successors() const -> std::vector<std::string> {
  auto preferred = std::vector<PeerReport const *>{};
  auto addresses = std::vector<std::string>{};
  for (auto const &[address, peer] : CurrentState.Peers.all()) {
    if (!CurrentState.Peers.isAlive(peer, now()) || peer.LastReport->IsLeaving)
      continue;
    if (peer.LastReport->LeaderFence > 0)
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

auto LeaderReducer::isEligible(Duration SinceBoot) const -> bool {
  if (!CurrentState.isReady() || !CurrentState.knowsPeers())
    return false;
  auto const &lease = CurrentState.Leader.Lease;
  auto const isHolder = lease.Fence && SinceBoot < lease.ValidUntil;
  auto const ownFence = isHolder ? lease.Fence->packed() : 0;
  auto const &self = CurrentState.Self;
  for (auto const &it : CurrentState.Peers.all()) {
    auto const &peer = it.second;
    if (!CurrentState.Peers.isAlive(peer, now()) || peer.LastReport->IsLeaving)
      continue;
    if (peer.LastReport->LeaderFence > ownFence)
      return false;
    if (!isHolder && peer.LastReport->IsReady &&
        hasPrecedence(*peer.LastReport, self.Weight, self.Instance))
      return false;
  }
  return true;
}

auto LeaderReducer::mayWrite() const -> bool {
  auto const &lease = CurrentState.Leader.Lease;
  if (!lease.IsKnown)
    return false;
  auto const &holder = lease.Record.Holder;
  return holder.empty() || holder == CurrentState.Self.Instance ||
         now() - lease.UnchangedSince >= TakeoverAge;
}

auto LeaderReducer::resign(std::string_view Reason) -> void {
  auto &lease = CurrentState.Leader.Lease;
  if (lease.Fence)
    log(LogLevel::Info, "leadership-ended", "reason={}", Reason);
  lease.Fence.reset();
}

auto LeaderReducer::on(StoreEraObserved const & /*Event*/) -> void {
  // The store may have lost the lease and the reports that were written to it.
  resign("store-restored");
  auto &lease = CurrentState.Leader.Lease;
  lease.IsKnown = false;
  lease.UnchangedSince = now();
}

auto LeaderReducer::on(PeerReported const &Event) -> void {
  auto &leader = CurrentState.Leader;
  if (Event.Report.LeaderVersion <= leader.AnnouncedVersion)
    return;
  leader.AnnouncedVersion = Event.Report.LeaderVersion;
  leader.AnnouncedAt = now();
}

auto LeaderReducer::on(LeaderLeaseRead const &Event) -> void {
  auto &lease = CurrentState.Leader.Lease;
  lease.IsPending = false;
  if (!Event.IsRead)
    return;
  auto const &leader = CurrentState.Leader;
  if (Event.Version == leader.AnnouncedVersion)
    lease.UnchangedSince = leader.AnnouncedAt;
  else if (!lease.IsKnown || lease.Version != Event.Version)
    lease.UnchangedSince = now();
  lease.IsKnown = true;
  lease.Version = Event.Version;
  lease.Record = Event.Record;
}

auto LeaderReducer::on(LeaderLeaseWritten const &Event) -> void {
  auto &lease = CurrentState.Leader.Lease;
  lease.IsPending = false;
  if (!Event.IsWritten || Event.Version.era() != lease.Version.era()) {
    // Whether the write took effect is not known until the lease is read.
    lease.IsKnown = false;
    lease.NextReadAt = now() + ReadInterval;
    return resign("write-failed");
  }
  if (!lease.Fence) {
    lease.Fence = Event.Version;
    CurrentState.Leader.Accepted.clear();
    CurrentState.Leader.NextSendAt.clear();
    CurrentState.Leader.Orders.clear();
    log(LogLevel::Info, "leadership-acquired", "fence={} reports={}",
        lease.Fence->packed(), lease.Record.Reports.size());
  }
  lease.Version = Event.Version;
  lease.UnchangedSince = now();
  lease.ValidUntil = Event.WrittenAt + LeaseValidity;
  UsageReportReducer(CurrentState, Output).send();
}

auto LeaderReducer::updateLease(Duration SinceBoot) -> void {
  auto &lease = CurrentState.Leader.Lease;
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
    return emit(ReadLeaderLease{});
  }
  auto due = UsageReportReducer(CurrentState, Output).due();
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
  if (record.Reports.size() > LeaderRecord::MaximumReports)
    record.Reports.erase(
        record.Reports.begin(),
        record.Reports.end() -
            static_cast<std::ptrdiff_t>(LeaderRecord::MaximumReports));
  lease.IsPending = true;
  emit(WriteLeaderLease{lease.Version, record});
}

auto LeaderReducer::on(Tick const &Event) -> void {
  if (!hasTasks())
    return;
  if (!isEligible(Event.SinceBoot)) {
    resign("not-eligible");
    return;
  }
  updateLease(Event.SinceBoot);
  UsageReportReducer(CurrentState, Output).send();
  ServerOrderReducer(CurrentState, Output).plan();
}

} // namespace dotterel::relay
