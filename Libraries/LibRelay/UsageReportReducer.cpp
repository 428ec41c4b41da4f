#include "LibRelay/UsageReportReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

constexpr auto SendInterval = Duration{700ms};
/// Part of the time until a report is due in which the counts of all instances
/// arrive. The rest is for a leader that fails, and for repeated calls.
constexpr auto CollectionShare = 0.2;

} // namespace

auto UsageReportReducer::isOverdue(UsageWindow Window) const -> bool {
  auto const &options = CurrentState.Options;
  auto const end = static_cast<std::int64_t>(Window + 1) * options.UsageWindow;
  auto const time = CurrentState.TimeOfDay.at(CurrentState.sinceBoot(now()));
  return time >= end + options.UsageDeadline;
}

auto UsageReportReducer::due() const -> std::vector<UsageReport> {
  auto due = std::vector<UsageReport>{};
  if (CurrentState.Options.UsageWindow == Duration{} ||
      CurrentState.Config->customers() == nullptr)
    return due;
  auto const &reports = CurrentState.Leader.Lease.Record.Reports;
  auto const next = reports.empty() ? 0 : reports.back().Window + 1;
  auto const current = CurrentState.usageWindow(
      now() - scaled(CurrentState.Options.UsageDeadline, CollectionShare));
  for (auto it =
           std::max(next, current - std::min<UsageWindow>(
                                        current, LeaderRecord::MaximumReports));
       it < current; ++it) {
    // Windows before the first traffic have nothing to report.
    auto counts = CurrentState.Customers.Usage.total(it);
    if (!isOverdue(it) && !(counts.empty() && reports.empty()))
      due.push_back({it, std::move(counts)});
  }
  return due;
}

auto UsageReportReducer::send() -> void {
  auto &leader = CurrentState.Leader;
  if (!leader.Lease.Fence || leader.Lease.IsPending)
    return;
  for (auto const &it : leader.Lease.Record.Reports) {
    auto &next = leader.NextSendAt[it.Window];
    if (leader.Accepted.contains(it.Window) || isOverdue(it.Window) ||
        now() < next)
      continue;
    next = now() + SendInterval;
    emit(SendUsageReport{
        it, CurrentState.Leader.Lease.authority(CurrentState.Self.Instance)});
  }
}

auto UsageReportReducer::on(UsageReported const &Event) -> void {
  log(Event.Result == CallResult::Accepted ? LogLevel::Info : LogLevel::Warning,
      "usage-reported", "window={} result={} status={}", Event.Window,
      toString(Event.Result), Event.Status);
  emit(IncrementCounter{CounterMetric::LeaderCalls,
                        {},
                        fmt::format("usage-{}", toString(Event.Result))});
  auto &leader = CurrentState.Leader;
  if (Event.Result == CallResult::Accepted)
    leader.Accepted.insert(Event.Window);
  if (leader.Accepted.size() > LeaderRecord::MaximumReports)
    leader.Accepted.erase(leader.Accepted.begin());
  if (leader.NextSendAt.size() > 2 * LeaderRecord::MaximumReports)
    leader.NextSendAt.erase(leader.NextSendAt.begin());
}

} // namespace dotterel::relay
