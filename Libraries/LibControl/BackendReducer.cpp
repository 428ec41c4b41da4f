#include "LibControl/BackendReducer.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr auto BusyPollInterval = Duration{200ms};
constexpr auto IdlePollInterval = Duration{1s};
constexpr auto PrefillShareLearningRate = 0.2;
constexpr auto MinimumPrefillSampleDuration = Duration{100ms};
/// Time after the last announcement at which a drain expires. By then the lease
/// holder that requested it is assumed to have stopped, and a later holder
/// would have announced the drain again.
constexpr auto DrainExpiry = Duration{30s};

} // namespace

auto BackendReducer::rebuild() -> void {
  auto const &configuration = *CurrentState.Configuration.Current;
  auto &table = CurrentState.Backends;
  std::erase_if(table.Engines, [&](auto const &Item) {
    return configuration.findEngine(Item.first) == nullptr;
  });
  for (auto const &it : configuration.engines())
    table.Engines[it.Id].Address = it.Address;
  std::erase_if(table.Servers, [&](auto const &Item) {
    return std::ranges::find(configuration.servers(), Item.first,
                             &ServerDeclaration::Id) ==
           configuration.servers().end();
  });
  for (auto const &it : configuration.servers())
    table.Servers.try_emplace(it.Id);
}

auto BackendReducer::on(EngineReported const &Event) -> void {
  auto it = CurrentState.Backends.Engines.find(Event.Engine);
  if (it == CurrentState.Backends.Engines.end())
    return;
  auto &view = it->second;
  view.IsPolling = false;
  view.FailedPolls = 0;
  view.NextPoll = now() + pollInterval(it->first, view);
  if (view.Report && Event.ObservedNoEarlierThan < view.ReportObserved)
    return;
  if (view.Report && view.Report->Run != Event.Report.Run)
    CurrentState.Calls.Prefixes.removeEngine(it->first);
  observePrefill(view, Event);
  auto isPrefilling = Event.Report.QueuedPrefillTokens > 0;
  view.PrefillShare +=
      PrefillShareLearningRate * ((isPrefilling ? 1 : 0) - view.PrefillShare);
  view.Report = Event.Report;
  view.ReportObserved = Event.ObservedNoEarlierThan;
  std::erase_if(view.UnreportedRequests, [&](UnreportedRequest const &Send) {
    return Send.At <= view.ReportObserved;
  });
}

auto BackendReducer::observePrefill(EngineView const &View,
                                    EngineReported const &Next) -> void {
  if (!View.Report || View.Report->Run != Next.Report.Run)
    return;
  // If both reports show queued prefill, the engine is assumed to have had
  // prefill work for all of the time between them.
  if (View.Report->QueuedPrefillTokens == 0 ||
      Next.Report.QueuedPrefillTokens == 0)
    return;
  auto elapsed = Next.ObservedNoEarlierThan - View.ReportObserved;
  auto tokens = Next.Report.PrefilledTokens - View.Report->PrefilledTokens;
  if (elapsed < MinimumPrefillSampleDuration ||
      Next.Report.PrefilledTokens == 0)
    return;
  CurrentState.Backends.Model.observePrefill(static_cast<double>(tokens),
                                             elapsed);
}

auto BackendReducer::on(EngineUnreachable const &Event) -> void {
  auto it = CurrentState.Backends.Engines.find(Event.Engine);
  if (it == CurrentState.Backends.Engines.end())
    return;
  it->second.IsPolling = false;
  it->second.NextPoll = now() + pollInterval(it->first, it->second);
  it->second.FailedPolls += 1;
}

auto BackendReducer::on(Tick const & /*Event*/) -> void {
  pollDueEngines();
  expireDrains();
}

auto BackendReducer::pollDueEngines() -> void {
  for (auto &it : CurrentState.Backends.Engines) {
    if (it.second.IsPolling || it.second.NextPoll > now())
      continue;
    it.second.IsPolling = true;
    emit(PollEngine{it.first, it.second.Address});
  }
}

auto BackendReducer::pollInterval(EngineId const &Engine,
                                  EngineView const &View) const -> Duration {
  auto isBusy =
      View.CallsInFlight > 0 || CurrentState.Backends.Drains.contains(Engine);
  return isBusy ? BusyPollInterval : IdlePollInterval;
}

auto BackendReducer::expireDrains() -> void {
  std::erase_if(CurrentState.Backends.Drains, [&](auto const &Item) {
    return now() - Item.second.LastAnnouncedAt > DrainExpiry;
  });
}

auto BackendReducer::applyAnnouncement(ShardAnnouncement const &Announcement)
    -> bool {
  auto &table = CurrentState.Backends;
  auto &highest = table.HighestFencing[Announcement.Shard];
  if (Announcement.Fencing < highest)
    return false;
  highest = Announcement.Fencing;
  auto removed = std::erase_if(table.Drains, [&](auto const &Item) {
    if (Item.second.Shard != Announcement.Shard)
      return false;
    auto reference = DrainReference{Item.first, Item.second.Order};
    return std::ranges::find(Announcement.Drains, reference) ==
           Announcement.Drains.end();
  });
  auto changed = removed > 0;
  for (auto const &it : Announcement.Drains) {
    auto [drain, isNew] = table.Drains.try_emplace(it.Engine);
    if (isNew) {
      drain->second = {Announcement.Shard, it.Order, 0, now(), {}};
      emit(IncrementCounter{CounterMetric::Drains, {}, it.Engine.text()});
      changed = true;
    }
    drain->second.Fencing = Announcement.Fencing;
    drain->second.LastAnnouncedAt = now();
    // The order may be sent once a report shows the engine idle: poll at once.
    auto engine = table.Engines.find(it.Engine);
    if (isNew && engine != table.Engines.end())
      engine->second.NextPoll = now();
  }
  return changed;
}

} // namespace dotterel
