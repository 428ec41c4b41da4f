#include "LibRelay/StoreWatch.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Changes stay in the reports for several of them, as datagrams get lost.
constexpr auto KeepChanges = Duration{3s};
/// Most changes in one report, so that it stays a small datagram.
constexpr auto MaximumChanges = std::size_t{12};

} // namespace

auto ServerChangeLog::reset(std::uint64_t Given) -> void {
  Batches.clear();
  UpdateCount = 0;
  BaseRevision = Given;
  AsOf = Given;
}

auto ServerChangeLog::add(std::vector<ServerUpdate> const &Updates,
                          std::uint64_t Given, Instant Now) -> void {
  AsOf = std::max(AsOf, Given);
  if (Updates.empty()) {
    trim(Now);
    return;
  }
  Batches.push_back({Updates, AsOf, Now});
  UpdateCount += Updates.size();
  trim(Now);
}

auto ServerChangeLog::trim(Instant Now) -> void {
  while (!Batches.empty() && (Now - Batches.front().ReceivedAt > KeepChanges ||
                              UpdateCount > MaximumChanges)) {
    BaseRevision = Batches.front().AsOf;
    UpdateCount -= Batches.front().Updates.size();
    Batches.pop_front();
  }
}

auto ServerChangeLog::describe(WatchReport &Into) const -> void {
  Into.BaseRevision = BaseRevision;
  Into.AsOf = AsOf;
  for (auto const &it : Batches)
    Into.Updates.insert(Into.Updates.end(), it.Updates.begin(),
                        it.Updates.end());
}

} // namespace dotterel::relay
