#include "LibRelay/ServerListReducer.h"

#include "LibRelay/QuarantineReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Within about two seconds after an outage of the store, servers renew the
/// entries that lapsed during it; entries still missing then belong to servers
/// that are gone.
constexpr auto LapsedEntryGracePeriod = Duration{2s};
/// Minimum length, in heartbeats, of an outage that makes entries lapse:
/// entries lapse after three missed heartbeats, and the last one was sent up to
/// one interval before the outage.
constexpr auto OutageHeartbeats = 2;

} // namespace

auto ServerListReducer::isFromCopy(ServerDescription const &Description) const
    -> bool {
  auto const &store = CurrentState.Store;
  return Description.Version.era() == store.EraStart.era() &&
         Description.Version <= store.EraStart;
}

auto ServerListReducer::correctRestoredEntry(ServerDescription &Description)
    -> void {
  auto const *known = CurrentState.Servers.find(Description.Id);
  auto isSameRun = known != nullptr && known->Key == Description.key();
  auto const *run = CurrentState.Servers.history().find(Description.key());
  auto hasLeft = run != nullptr && run->RemovedAt &&
                 run->RemovedAt->era() < Description.Version.era();
  auto wasDraining = (isSameRun && known->Description.IsDraining) ||
                     (hasLeft && run->WasDraining);
  if (!wasDraining || Description.IsDraining)
    return;
  Description.IsDraining = true;
  log(LogLevel::Warning, "server-entry-outdated",
      "server={} era={} revision={} known=draining", Description.Id,
      Description.Version.era(), Description.Version.revision());
}

auto ServerListReducer::put(ServerDescription Description) -> void {
  CurrentState.LapsedServers.erase(Description.Id);
  auto mayBeOutdated = isFromCopy(Description);
  if (mayBeOutdated)
    correctRestoredEntry(Description);
  auto const key = Description.key();
  auto isKnown = CurrentState.Servers.findByKey(key) != nullptr;
  auto const id = Description.Id;
  auto const *previous = CurrentState.Servers.find(id);
  if (previous != nullptr &&
      previous->Description.StartedAt < Description.StartedAt)
    QuarantineReducer(CurrentState, Output).observeCrash(previous->Key);
  if (!CurrentState.Servers.put(std::move(Description)))
    return;
  auto &server = *CurrentState.Servers.find(id);
  CurrentState.Peers.restoreLoads(server);
  if (!isKnown)
    observeReplacement(server);
  auto const &entry = server.Description;
  auto const *run = CurrentState.Servers.history().find(key);
  if (!isKnown && mayBeOutdated && run != nullptr && run->RemovedAt &&
      run->RemovedAt->era() < entry.Version.era())
    server.HeldUntil = now() + CurrentState.Options.entryRemovalTime();
  log(LogLevel::Info, "server-changed",
      "server={} service={} address={} draining={} leaving={} held_ms={} "
      "stage={} started_at={} era={} revision={}",
      entry.Id, quoteLogValue(entry.Service), entry.Address, entry.IsDraining,
      server.HasAnnouncedLeaving,
      toMilliseconds(std::max(Duration{}, server.HeldUntil - now())),
      toString(entry.Stage), entry.StartedAt, entry.Version.era(),
      entry.Version.revision());
  if (server.isLeaving())
    emit(CloseIdleConnections{entry.Address});
}

auto ServerListReducer::observeReplacement(Server const &Successor) -> void {
  auto replaced = std::vector<ServerKey>{};
  for (auto const &it : CurrentState.Servers.all()) {
    auto const &server = *it.second;
    if (server.Description.Address == Successor.Description.Address &&
        server.Description.StartedAt < Successor.Description.StartedAt &&
        !server.isLeaving())
      replaced.push_back(server.Key);
  }
  for (auto it : replaced)
    QuarantineReducer(CurrentState, Output).observeCrash(it);
}

auto ServerListReducer::remove(std::string const &Id, StoreVersion Version,
                               std::string_view Reason) -> void {
  CurrentState.LapsedServers.erase(Id);
  auto const *server = CurrentState.Servers.find(Id);
  if (server == nullptr)
    return;
  if (!server->isLeaving())
    QuarantineReducer(CurrentState, Output).observeDisappearance(server->Key);
  auto &run = CurrentState.Servers.history().at(server->Key);
  run.RemovedAt = std::max(Version, server->Description.Version);
  run.WasDraining = server->isLeaving();
  auto address = CurrentState.Servers.remove(Id);
  emit(CloseIdleConnections{address});
  log(LogLevel::Info, "server-removed", "server={} address={} reason={}", Id,
      address, quoteLogValue(Reason));
}

auto ServerListReducer::recordStoreResponse() -> void {
  auto &store = CurrentState.Store;
  if (isOutage())
    store.OutageEndedAt = now();
  store.LastResponseAt = now();
  store.HasFailed = false;
}

auto ServerListReducer::isOutage() const -> bool {
  // Before the first response no entry was known that could have lapsed. A
  // watch that waits for changes is not a failure.
  auto const &store = CurrentState.Store;
  return store.HasFailed && store.LastResponseAt != Instant{} &&
         now() - store.LastResponseAt >
             OutageHeartbeats * CurrentState.Options.ServerHeartbeatInterval;
}

auto ServerListReducer::isDuringOrAfterOutage() const -> bool {
  return isOutage() ||
         now() - CurrentState.Store.OutageEndedAt < LapsedEntryGracePeriod;
}

auto ServerListReducer::on(ServersListed const &Event) -> void {
  auto &store = CurrentState.Store;
  auto isRestored = Event.AsOf.era() > store.EraStart.era();
  if (isRestored)
    store.EraStart = Event.AsOf;
  for (auto const &it : Event.Servers)
    put(it);
  for (auto const &id : CurrentState.Servers.missingFrom(Event.Servers)) {
    auto const &entry = CurrentState.Servers.find(id)->Description;
    if (entry.Version > Event.AsOf)
      continue;
    // An entry that was written after the copy was made is written again.
    auto isLost = entry.Version.era() < Event.AsOf.era();
    if (CurrentState.HasServers && (isLost || isDuringOrAfterOutage()))
      CurrentState.LapsedServers.try_emplace(id, now());
    else
      remove(id, Event.AsOf, "not listed");
  }
  CurrentState.HasServers = true;
  if (isRestored)
    log(LogLevel::Info, "servers-listed-in-new-era",
        "era={} revision={} servers={} missing={}", Event.AsOf.era(),
        Event.AsOf.revision(), CurrentState.Servers.size(),
        CurrentState.LapsedServers.size());
}

auto ServerListReducer::on(ServersUpdated const &Event) -> void {
  apply(Event.Updates);
}

auto ServerListReducer::apply(std::span<ServerUpdate const> Updates) -> void {
  for (auto const &it : Updates) {
    if (it.Description)
      put(*it.Description);
    else
      handleRemoval(it);
  }
}

auto ServerListReducer::handleRemoval(ServerUpdate const &Update) -> void {
  auto const *server = CurrentState.Servers.find(Update.Id);
  if (server == nullptr || server->Description.Version > Update.Version)
    return;
  if (isDuringOrAfterOutage() && !server->isLeaving()) {
    CurrentState.LapsedServers.try_emplace(Update.Id, now());
    log(LogLevel::Info, "server-entry-lapsed", "server={} era={} revision={}",
        Update.Id, Update.Version.era(), Update.Version.revision());
    return;
  }
  remove(Update.Id, Update.Version, "entry removed");
}

auto ServerListReducer::on(StoreReachabilityObserved const &Event) -> void {
  auto &store = CurrentState.Store;
  if (Event.IsReachable)
    recordStoreResponse();
  else
    store.HasFailed = true;
  if (store.IsReachable == Event.IsReachable)
    return;
  store.IsReachable = Event.IsReachable;
  log(store.IsReachable ? LogLevel::Info : LogLevel::Warning,
      store.IsReachable ? "store-regained" : "store-lost", "reason={}",
      quoteLogValue(Event.Reason));
}

auto ServerListReducer::recordLeaving(ServerKey Key, std::string_view Source)
    -> void {
  auto &run = CurrentState.Servers.history().at(Key);
  if (run.HasAnnouncedLeaving)
    return;
  run.HasAnnouncedLeaving = true;
  auto *server = CurrentState.Servers.findByKey(Key);
  log(LogLevel::Info, "server-leaving", "server={} key={} from={}",
      server == nullptr ? "-" : server->Description.Id, Key,
      quoteLogValue(Source));
  if (server == nullptr)
    return;
  server->HasAnnouncedLeaving = true;
  emit(CloseIdleConnections{server->Description.Address});
}

auto ServerListReducer::observeNotice(Server &Target,
                                      ServerNotice const &Notice) -> void {
  if (Notice.IsLeaving)
    recordLeaving(Target.Key, CurrentState.Self.Instance);
  if (!Notice.Pause)
    return;
  auto &run = CurrentState.Servers.history().at(Target.Key);
  run.PausedUntil = std::max(run.PausedUntil, now() + *Notice.Pause);
  Target.PausedUntil = run.PausedUntil;
  log(LogLevel::Info, "server-paused", "server={} pause_ms={} left_ms={}",
      Target.Description.Id, toMilliseconds(*Notice.Pause),
      toMilliseconds(Target.PausedUntil - now()));
}

auto ServerListReducer::on(Tick const & /*Event*/) -> void {
  auto lapsed = std::vector<std::string>{};
  for (auto const &it : CurrentState.LapsedServers) {
    if (now() - it.second >= LapsedEntryGracePeriod)
      lapsed.push_back(it.first);
  }
  for (auto const &id : lapsed)
    remove(id, CurrentState.StoreWatch.ServersAsOf, "entry lapsed");
}

} // namespace dotterel::relay
