#include "LibRelay/FollowReducer.h"

#include "LibCore/Hash.h"
#include "LibRelay/FleetReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Instances that watch for all: one may fail at any time.
constexpr auto Watchers = 2U;

} // namespace

auto FollowReducer::on(ConfigurationReceived const &Happened) -> void {
  auto &following = Subject.Following;
  following.ConfigurationRevision =
      std::max(following.ConfigurationRevision, Happened.Revision);
  following.ConfigurationAsOf =
      std::max(following.ConfigurationAsOf, Happened.Revision);
}

auto FollowReducer::on(ConfigurationConfirmed const &Happened) -> void {
  auto &following = Subject.Following;
  following.ConfigurationConfirmed = now();
  following.ConfigurationAsOf =
      std::max(following.ConfigurationAsOf, Happened.AsOf);
}

auto FollowReducer::on(ServersListed const &Happened) -> void {
  auto &following = Subject.Following;
  following.ServersConfirmed = now();
  following.ServersAsOf = std::max(following.ServersAsOf, Happened.AsOf);
  following.Changes.reset(Happened.AsOf);
}

auto FollowReducer::on(ServersUpdated const &Happened) -> void {
  auto &following = Subject.Following;
  following.ServersConfirmed = now();
  following.ServersAsOf = std::max(following.ServersAsOf, Happened.AsOf);
  following.Changes.add(Happened.Updates, Happened.AsOf, now());
  // The others rely on this instance to hear of changes at once.
  if (following.IsWatcher && !Happened.Updates.empty())
    Subject.NextReport = now();
}

auto FollowReducer::on(PeerReported const &Happened) -> void {
  auto const &watch = Happened.Message.Watch;
  auto &following = Subject.Following;
  if (!watch || !Subject.HasServers ||
      Happened.Message.PeerAddress == Subject.Self.PeerAddress)
    return;
  following.ConfigurationWanted =
      std::max(following.ConfigurationWanted, watch->Configuration);
  if (watch->AsOf <= following.ServersAsOf)
    return;
  if (following.ServersAsOf < watch->From) {
    // Reports were lost: the changes in between must be read from the store.
    following.ServersWanted = std::max(following.ServersWanted, watch->AsOf);
    return;
  }
  FleetReducer(Subject, Out).apply(watch->Updates);
  following.ServersAsOf = watch->AsOf;
}

auto FollowReducer::comesBefore(PeerReport const &Other) const -> bool {
  // Telling the whole fleet of each change is much work: the instances with
  // most processor time watch, and weaker ones only where these are gone.
  auto const &own = Subject.Self;
  if (Other.Weight != own.Weight)
    return Other.Weight > own.Weight;
  return hashText(Other.Instance) < hashText(own.Instance);
}

auto FollowReducer::isWatcher() const -> bool {
  // Before the others are known nobody can say who comes first.
  if (!Subject.PeersListedAt)
    return false;
  auto before = 0U;
  for (auto const &it : Subject.Peers.all()) {
    auto const &peer = it.second;
    if (!Subject.Peers.isAlive(peer, now()) || peer.Last->IsLeaving)
      continue;
    // A watcher that the store does not answer does not count.
    auto isStale = peer.Last->Watch && !Subject.isFreshWatcher(peer);
    if (!isStale && comesBefore(*peer.Last))
      ++before;
  }
  return before < Watchers;
}

auto FollowReducer::hasFreshWatcher() const -> bool {
  return std::ranges::any_of(Subject.Peers.all(), [this](auto const &it) {
    return Subject.isFreshWatcher(it.second);
  });
}

auto FollowReducer::on(Tick const & /*Happened*/) -> void {
  auto &following = Subject.Following;
  auto wasWatcher = following.IsWatcher;
  auto wasDirect = following.IsDirect;
  following.IsWatcher = isWatcher() && !Subject.LeavingSince;
  following.IsDirect = following.IsWatcher || !hasFreshWatcher();
  if (wasWatcher == following.IsWatcher && wasDirect == following.IsDirect)
    return;
  log(LogLevel::Info, "store-following",
      "watcher={} direct={} servers_as_of={} configuration_as_of={}",
      following.IsWatcher, following.IsDirect, following.ServersAsOf,
      following.ConfigurationAsOf);
}

} // namespace dotterel::relay
