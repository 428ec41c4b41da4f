#include "LibRelay/StoreWatchReducer.h"

#include "LibCore/Hash.h"
#include "LibRelay/FleetReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Instances that watch for all: one may fail at any time.
constexpr auto Watchers = 2U;

} // namespace

auto StoreWatchReducer::on(ConfigurationReceived const &Event) -> void {
  auto &following = CurrentState.StoreWatch;
  following.ConfigurationRevision =
      std::max(following.ConfigurationRevision, Event.Revision);
  following.ConfigurationAsOf =
      std::max(following.ConfigurationAsOf, Event.Revision);
}

auto StoreWatchReducer::on(ConfigurationConfirmed const &Event) -> void {
  auto &following = CurrentState.StoreWatch;
  following.ConfigurationConfirmedAt = now();
  following.ConfigurationAsOf =
      std::max(following.ConfigurationAsOf, Event.AsOf);
}

auto StoreWatchReducer::on(ServersListed const &Event) -> void {
  auto &following = CurrentState.StoreWatch;
  following.ServersConfirmedAt = now();
  following.ServersAsOf = std::max(following.ServersAsOf, Event.AsOf);
  following.Changes.reset(Event.AsOf);
}

auto StoreWatchReducer::on(ServersUpdated const &Event) -> void {
  auto &following = CurrentState.StoreWatch;
  following.ServersConfirmedAt = now();
  following.ServersAsOf = std::max(following.ServersAsOf, Event.AsOf);
  following.Changes.add(Event.Updates, Event.AsOf, now());
  // The others rely on this instance to hear of changes at once.
  if (following.IsWatcher && !Event.Updates.empty())
    CurrentState.NextReportAt = now();
}

auto StoreWatchReducer::on(PeerReported const &Event) -> void {
  auto const &watch = Event.Report.Watch;
  auto &following = CurrentState.StoreWatch;
  if (!watch || !CurrentState.HasServers ||
      Event.Report.PeerAddress == CurrentState.Self.PeerAddress)
    return;
  following.AnnouncedConfiguration =
      std::max(following.AnnouncedConfiguration, watch->Configuration);
  if (watch->AsOf <= following.ServersAsOf)
    return;
  if (following.ServersAsOf < watch->BaseRevision) {
    // Reports were lost: the changes in between must be read from the store.
    following.AnnouncedServers =
        std::max(following.AnnouncedServers, watch->AsOf);
    return;
  }
  FleetReducer(CurrentState, Output).apply(watch->Updates);
  following.ServersAsOf = watch->AsOf;
}

auto StoreWatchReducer::hasPrecedence(PeerReport const &Other) const -> bool {
  // Telling the whole fleet of each change is much work: the instances with
  // most processor time watch, and weaker ones only where these are gone.
  auto const &own = CurrentState.Self;
  if (Other.Weight != own.Weight)
    return Other.Weight > own.Weight;
  return hashText(Other.Instance) < hashText(own.Instance);
}

auto StoreWatchReducer::shouldWatch() const -> bool {
  // Before the others are known nobody can say who comes first.
  if (!CurrentState.PeersListedAt)
    return false;
  auto before = 0U;
  for (auto const &it : CurrentState.Peers.all()) {
    auto const &peer = it.second;
    if (!CurrentState.Peers.isAlive(peer, now()) || peer.LastReport->IsLeaving)
      continue;
    // A watcher that the store does not answer does not count.
    auto isStale = peer.LastReport->Watch && !CurrentState.isFreshWatcher(peer);
    if (!isStale && hasPrecedence(*peer.LastReport))
      ++before;
  }
  return before < Watchers;
}

auto StoreWatchReducer::hasFreshWatcher() const -> bool {
  return std::ranges::any_of(CurrentState.Peers.all(), [this](auto const &it) {
    return CurrentState.isFreshWatcher(it.second);
  });
}

auto StoreWatchReducer::on(Tick const & /*Event*/) -> void {
  auto &following = CurrentState.StoreWatch;
  auto wasWatcher = following.IsWatcher;
  auto wasDirect = following.IsWatching;
  following.IsWatcher = shouldWatch() && !CurrentState.LeavingSince;
  following.IsWatching = following.IsWatcher || !hasFreshWatcher();
  if (wasWatcher == following.IsWatcher && wasDirect == following.IsWatching)
    return;
  log(LogLevel::Info, "store-following",
      "watcher={} direct={} servers_as_of={} configuration_as_of={}",
      following.IsWatcher, following.IsWatching, following.ServersAsOf,
      following.ConfigurationAsOf);
}

} // namespace dotterel::relay
