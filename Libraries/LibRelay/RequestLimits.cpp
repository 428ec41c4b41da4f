#include "LibRelay/RequestLimits.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// An observation is sent in several reports, because datagrams may be lost.
constexpr auto ReportPeriod = Duration{1s};
/// Limit on the observations in one report, so that its datagram is not
/// fragmented.
constexpr auto MaximumLimitsPerReport = std::size_t{20};
/// An entry in the store that disappears may come back, for the same run of the
/// server, after an outage of the store.
constexpr auto UnknownServerLifetime = Duration{10min};

} // namespace

auto RequestLimits::record(ServerKey Key, std::optional<double> PerSecond,
                           Instant At, bool IsOwn) -> LimitChange {
  auto it = Entries.find(Key);
  if (it == Entries.end()) {
    if (!PerSecond)
      return LimitChange::None;
    it = Entries.emplace(Key, Entry{}).first;
  }
  auto &entry = it->second;
  auto isChanged = entry.PerSecond != PerSecond;
  entry.PerSecond = PerSecond;
  entry.ObservedAt = At;
  entry.IsOwn = IsOwn;
  if (!PerSecond)
    entry.BlockedUntil = {};
  if (!isChanged)
    return LimitChange::None;
  return PerSecond ? LimitChange::Named : LimitChange::Ended;
}

auto RequestLimits::observe(ServerKey Key, std::optional<double> PerSecond,
                            Instant SentAt, Instant Now) -> LimitChange {
  auto it = Entries.find(Key);
  auto isLate = it != Entries.end() && SentAt <= it->second.ObservedAt;
  if (!PerSecond && (isLate || !find(Key)))
    return LimitChange::None;
  return record(Key, PerSecond, Now, true);
}

auto RequestLimits::adopt(LimitReport const &Report, Instant Now)
    -> LimitChange {
  auto at = Now - Report.Age;
  auto it = Entries.find(Report.Server);
  if (it != Entries.end() && at <= it->second.ObservedAt)
    return LimitChange::None;
  return record(Report.Server, Report.PerSecond, at, false);
}

auto RequestLimits::find(ServerKey Key) const -> std::optional<double> {
  auto it = Entries.find(Key);
  return it == Entries.end() ? std::nullopt : it->second.PerSecond;
}

auto RequestLimits::age(ServerKey Key, Instant Now) const -> Duration {
  return Now - Entries.at(Key).ObservedAt;
}

auto RequestLimits::size() const -> std::size_t {
  return static_cast<std::size_t>(std::ranges::count_if(
      Entries, [](auto const &it) { return it.second.PerSecond.has_value(); }));
}

auto RequestLimits::recent(Instant Now) const -> std::vector<LimitReport> {
  auto reports = std::vector<LimitReport>{};
  for (auto const &[key, entry] : Entries) {
    if (reports.size() >= MaximumLimitsPerReport)
      break;
    if (entry.IsOwn && Now - entry.ObservedAt < ReportPeriod)
      reports.push_back({key, entry.PerSecond, Now - entry.ObservedAt});
  }
  return reports;
}

auto RequestLimits::takePermit(ServerKey Key, double Share, Instant Now)
    -> std::optional<Duration> {
  auto &entry = Entries.at(Key);
  return entry.Permits.take(Share * *entry.PerSecond, Now);
}

auto RequestLimits::block(ServerKey Key, Instant Until) -> void {
  auto it = Entries.find(Key);
  if (it != Entries.end())
    it->second.BlockedUntil = std::max(it->second.BlockedUntil, Until);
}

auto RequestLimits::blockedUntil(ServerKey Key) const -> Instant {
  auto it = Entries.find(Key);
  return it == Entries.end() ? Instant{} : it->second.BlockedUntil;
}

auto RequestLimits::expire(Instant Now, ServerTable &Known) -> void {
  std::erase_if(Entries, [&](auto const &it) {
    return Now - it.second.ObservedAt > UnknownServerLifetime &&
           Known.findByKey(it.first) == nullptr;
  });
}

} // namespace dotterel::relay
