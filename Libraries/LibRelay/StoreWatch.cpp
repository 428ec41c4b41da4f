#include "LibRelay/StoreWatch.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Each change is repeated in several reports, because datagrams may be lost.
constexpr auto ChangeRetention = Duration{1s};
/// Limit on the changes in one report, so that its datagram stays small.
constexpr auto MaximumChanges = std::size_t{64};

} // namespace

auto ServerChangeLog::reset(StoreVersion NewAsOf) -> void {
  Batches.clear();
  UpdateCount = 0;
  Base = NewAsOf;
  AsOf = NewAsOf;
}

auto ServerChangeLog::add(std::vector<ServerUpdate> const &Updates,
                          StoreVersion NewAsOf, Instant Now) -> void {
  AsOf = std::max(AsOf, NewAsOf);
  if (Updates.empty()) {
    trim(Now);
    return;
  }
  Batches.push_back({Updates, AsOf, Now});
  UpdateCount += Updates.size();
  trim(Now);
}

auto ServerChangeLog::trim(Instant Now) -> void {
  while (!Batches.empty() &&
         (Now - Batches.front().ReceivedAt > ChangeRetention ||
          UpdateCount > MaximumChanges)) {
    Base = Batches.front().AsOf;
    UpdateCount -= Batches.front().Updates.size();
    Batches.pop_front();
  }
}

auto ServerChangeLog::describe(WatchReport &Report) const -> void {
  Report.Base = Base;
  Report.AsOf = AsOf;
  for (auto const &it : Batches)
    Report.Updates.insert(Report.Updates.end(), it.Updates.begin(),
                          it.Updates.end());
}

auto maximumStorePause(std::uint32_t PrecedingPeers) -> Duration {
  constexpr auto FirstInstances = 4U;
  constexpr auto ShortestPause = Duration{1s};
  constexpr auto PausePerPeer = Duration{150ms};
  // Within the time that an instance has after an outage to follow the store.
  constexpr auto LongestPause = Duration{4s};
  if (PrecedingPeers < FirstInstances)
    return ShortestPause;
  return std::min(LongestPause,
                  ShortestPause +
                      PausePerPeer * (PrecedingPeers - FirstInstances));
}

} // namespace dotterel::relay
