#include "LibRelay/StoreWatchReducer.h"

#include "LibRelay/CustomerReducer.h"
#include "LibRelay/RoleReducer.h"
#include "LibRelay/ServerListReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Number of watchers. A second one covers the failure of the first.
constexpr auto WatcherCount = 2U;

} // namespace

auto StoreWatchReducer::on(ConfigurationReceived const &Event) -> void {
  auto &storeWatch = CurrentState.StoreWatch;
  storeWatch.Configuration = std::max(storeWatch.Configuration, Event.Version);
  storeWatch.ConfigurationAsOf =
      std::max(storeWatch.ConfigurationAsOf, Event.Version);
}

auto StoreWatchReducer::on(ConfigurationConfirmed const &Event) -> void {
  auto &storeWatch = CurrentState.StoreWatch;
  storeWatch.ConfigurationConfirmedAt = now();
  storeWatch.ConfigurationAsOf =
      std::max(storeWatch.ConfigurationAsOf, Event.AsOf);
  CustomerReducer(CurrentState, Output).observeConfirmation(Event.AskedAt);
}

auto StoreWatchReducer::on(ServersListed const &Event) -> void {
  auto &storeWatch = CurrentState.StoreWatch;
  storeWatch.ServersConfirmedAt = now();
  storeWatch.ServersAsOf = std::max(storeWatch.ServersAsOf, Event.AsOf);
  storeWatch.Changes.reset(Event.AsOf);
}

auto StoreWatchReducer::on(ServersUpdated const &Event) -> void {
  auto &storeWatch = CurrentState.StoreWatch;
  storeWatch.ServersConfirmedAt = now();
  storeWatch.ServersAsOf = std::max(storeWatch.ServersAsOf, Event.AsOf);
  storeWatch.Changes.add(Event.Updates, Event.AsOf, now());
  // The peers rely on this instance to learn of changes at once.
  if (storeWatch.IsWatcher && !Event.Updates.empty())
    CurrentState.NextReportAt = now();
}

auto StoreWatchReducer::on(StoreEraObserved const &Event) -> void {
  observeEra(Event.Era, "store");
}

auto StoreWatchReducer::observeEra(std::uint64_t Era, std::string_view Source)
    -> void {
  auto &store = CurrentState.Store;
  if (Era <= store.Era)
    return;
  log(LogLevel::Warning, "store-era-observed", "era={} previous={} from={}",
      Era, store.Era, quoteLogValue(Source));
  // At the first start of the system no earlier era has had a holder.
  auto isFirst = store.Era == 0 && store.LastResponseAt == Instant{} &&
                 CurrentState.Options.IsFirstStart;
  store.Era = Era;
  // The copy may lack what was written since it was made.
  CurrentState.Quarantine.markAllUnstored();
  if (!isFirst)
    RoleReducer(CurrentState, Output).suspendOrders();
}

auto StoreWatchReducer::on(PeerReported const &Event) -> void {
  auto const &watch = Event.Report.Watch;
  auto &storeWatch = CurrentState.StoreWatch;
  if (!watch || Event.Report.PeerAddress == CurrentState.Self.PeerAddress)
    return;
  observeEra(watch->AsOf.era(), Event.Report.PeerAddress);
  if (!CurrentState.HasServers)
    return;
  storeWatch.AnnouncedConfiguration =
      std::max(storeWatch.AnnouncedConfiguration, watch->Configuration);
  if (watch->AsOf <= storeWatch.ServersAsOf)
    return;
  if (storeWatch.ServersAsOf < watch->Base) {
    // Reports were lost; the missing changes have to be read from the store.
    storeWatch.AnnouncedServers =
        std::max(storeWatch.AnnouncedServers, watch->AsOf);
    return;
  }
  ServerListReducer(CurrentState, Output).apply(watch->Updates);
  storeWatch.ServersAsOf = watch->AsOf;
}

auto StoreWatchReducer::shouldWatch() -> bool {
  // The order of precedence is unknown until the peers are listed.
  if (!CurrentState.PeersListedAt)
    return false;
  auto precedingPeers = 0U;
  auto &allPreceding = CurrentState.StoreWatch.PrecedingPeers;
  allPreceding = 0;
  for (auto const &it : CurrentState.Peers.all()) {
    auto const &peer = it.second;
    if (!CurrentState.Peers.isAlive(peer, now()) || peer.LastReport->IsLeaving)
      continue;
    // Reporting each change to the whole fleet costs processor time, so weaker
    // instances watch only if stronger ones are gone.
    if (!hasPrecedence(*peer.LastReport, CurrentState.Self.Weight,
                       CurrentState.Self.Instance))
      continue;
    ++allPreceding;
    // A watcher that gets no response from the store does not count.
    auto isStale = peer.LastReport->Watch && !CurrentState.isFreshWatcher(peer);
    if (!isStale)
      ++precedingPeers;
  }
  return precedingPeers < WatcherCount;
}

auto StoreWatchReducer::hasFreshWatcher() const -> bool {
  return std::ranges::any_of(CurrentState.Peers.all(), [this](auto const &it) {
    return CurrentState.isFreshWatcher(it.second);
  });
}

auto StoreWatchReducer::on(Tick const & /*Event*/) -> void {
  auto &storeWatch = CurrentState.StoreWatch;
  auto wasWatcher = storeWatch.IsWatcher;
  auto wasWatching = storeWatch.IsWatching;
  storeWatch.IsWatcher = shouldWatch() && !CurrentState.LeavingSince;
  storeWatch.IsWatching = storeWatch.IsWatcher || !hasFreshWatcher();
  if (wasWatcher == storeWatch.IsWatcher &&
      wasWatching == storeWatch.IsWatching)
    return;
  log(LogLevel::Info, "store-following",
      "watcher={} direct={} era={} servers_as_of={} configuration_as_of={}",
      storeWatch.IsWatcher, storeWatch.IsWatching, CurrentState.Store.Era,
      storeWatch.ServersAsOf.revision(),
      storeWatch.ConfigurationAsOf.revision());
}

} // namespace dotterel::relay
