#include "LibControl/OrderReducer.h"

#include "LibControl/BackendReducer.h"
#include "LibControl/MembershipReducer.h"

#include <algorithm>
#include <fmt/format.h>

namespace dotterel {

namespace {

using OrderPhase = OrderLifecycle::Phase;

constexpr auto MaximumOrdersPerShard = std::size_t{1};
constexpr auto RetryInterval = Duration{200ms};
/// Time after which an order is sent again to an engine that still reports a
/// change in progress. The engine detects the duplicate by the order's number.
constexpr auto ResendInterval = Duration{10s};

auto isIdle(EngineReport const &Report) -> bool {
  return Report.Running == 0 && Report.QueuedPrefillTokens == 0;
}

auto needsDrain(OrderProgress const &Progress) -> bool {
  auto phase = Progress.Lifecycle.phase();
  return phase != OrderPhase::Recording && phase != OrderPhase::Resolved;
}

} // namespace

auto matchesState(EngineReport const &Report, DesiredEngineState const &Desired)
    -> bool {
  return Report.Role == Desired.Role &&
         std::ranges::is_permutation(Report.Models, Desired.Models);
}

auto hasOrderInFlight(Shard const &Target) -> bool {
  return std::ranges::any_of(Target.Orders, [](auto const &Item) {
    auto phase = Item.second.Lifecycle.phase();
    return phase == OrderPhase::Connecting || phase == OrderPhase::Sent;
  });
}

auto makeShardAnnouncements(State const &CurrentState)
    -> std::vector<ShardAnnouncement> {
  auto announcements = std::vector<ShardAnnouncement>{};
  for (auto const &it : CurrentState.Leases.Shards) {
    if (!isValidHolder(it.second, CurrentState.Now))
      continue;
    auto announcement =
        ShardAnnouncement{it.first, it.second.Record.Fencing, {}};
    for (auto const &order : it.second.Orders)
      if (needsDrain(order.second))
        announcement.Drains.push_back({order.first, order.second.Record.Id});
    announcements.push_back(std::move(announcement));
  }
  return announcements;
}

auto makeShardReleases(State const &CurrentState) -> std::vector<ShardRelease> {
  auto releases = std::vector<ShardRelease>{};
  for (auto const &it : CurrentState.Leases.Shards) {
    auto const &shard = it.second;
    auto wasHolder = shard.AcquiredAt != Instant{} && !isHolder(shard);
    auto highest = CurrentState.Backends.HighestFencing.find(it.first);
    if (!wasHolder || !shard.OutstandingOrders.empty() ||
        highest == CurrentState.Backends.HighestFencing.end())
      continue;
    releases.push_back({it.first, highest->second});
  }
  return releases;
}

auto OrderReducer::on(Tick const & /*Event*/) -> void {
  auto changed = false;
  for (auto const &it : makeShardAnnouncements(CurrentState))
    changed |= BackendReducer(CurrentState, Output).applyAnnouncement(it);
  if (changed)
    MembershipReducer(CurrentState, Output).broadcastHeartbeat();
  for (auto &it : CurrentState.Leases.Shards) {
    if (!isValidHolder(it.second, now()))
      continue;
    for (auto &order : it.second.Orders) {
      if (mayOrder(it.second, order.first))
        order.second.Lifecycle.intentCommitted();
      step(it.first, order.first, order.second);
    }
  }
}

auto OrderReducer::step(ShardName const &Name, EngineId const &Engine,
                        OrderProgress &Progress) -> void {
  auto view = CurrentState.Backends.Engines.find(Engine);
  auto isDraining = Progress.Lifecycle.phase() == OrderPhase::Draining;
  if (isDraining && isAcknowledged({Engine, Progress.Record.Id})) {
    Progress.Lifecycle.allAcknowledged();
    Progress.AcknowledgedAt = now();
  }
  if (view == CurrentState.Backends.Engines.end() || !view->second.Report)
    return;
  if (resolveIfApplied(Engine, view->second, Progress))
    return;
  if (Progress.Lifecycle.phase() == OrderPhase::AwaitingIdle)
    stepAwaitingIdle(Name, Engine, Progress);
  if (Progress.Lifecycle.phase() == OrderPhase::Confirming)
    stepConfirming(view->second, Progress);
}

auto OrderReducer::resolveIfApplied(EngineId const &Engine,
                                    EngineView const &View,
                                    OrderProgress &Progress) -> bool {
  auto const &report = *View.Report;
  if (report.LastOrder != Progress.Record.Id || report.IsChanging ||
      !matchesState(report, Progress.Record.State))
    return false;
  if (!Progress.Lifecycle.reportedApplied())
    return false;
  emit(IncrementCounter{CounterMetric::RoleChanges, {}, Engine.text()});
  log(LogLevel::Info, "order-resolved",
      {{"engine", Engine.text()},
       {"order", fmt::format("{}", Progress.Record.Id)}});
  return true;
}

auto OrderReducer::stepAwaitingIdle(ShardName const &Name,
                                    EngineId const &Engine,
                                    OrderProgress &Progress) -> void {
  if (!isAcknowledged({Engine, Progress.Record.Id})) {
    Progress.Lifecycle.acknowledgementLost();
    return;
  }
  auto const &view = CurrentState.Backends.Engines[Engine];
  if (view.ReportObserved <= Progress.AcknowledgedAt || !isIdle(*view.Report))
    return;
  if (Progress.NextStep > now() || CurrentState.LeaveRequestedAt != Instant{})
    return;
  Progress.Lifecycle.connectRequested();
  emit(ConnectOrder{Name, Engine, Progress.Record.Id, view.Address});
}

auto OrderReducer::stepConfirming(EngineView const &View,
                                  OrderProgress &Progress) -> void {
  if (View.ReportObserved <= Progress.SentAt)
    return;
  auto isStuck = now() - Progress.SentAt > ResendInterval;
  auto isNotApplied =
      !View.Report->IsChanging && View.Report->LastOrder != Progress.Record.Id;
  if (!isNotApplied && !isStuck)
    return;
  Progress.Lifecycle.reportedNotApplied();
  Progress.NextStep = now() + RetryInterval;
}

auto OrderReducer::isAcknowledged(DrainReference const &Drain) const -> bool {
  auto own = CurrentState.Backends.Drains.find(Drain.Engine);
  if (own == CurrentState.Backends.Drains.end() ||
      own->second.Order != Drain.Order)
    return false;
  return std::ranges::all_of(CurrentState.Members.Peers, [&](auto const &Item) {
    auto const &peer = Item.second;
    if (!peer.IsListed && !peer.IsConnected)
      return true;
    auto const &drains = peer.Heartbeat.AcknowledgedDrains;
    return isAlive(peer, now()) &&
           std::ranges::find(drains, Drain) != drains.end();
  });
}

auto OrderReducer::on(OrderConnected const &Event) -> void {
  auto found = locate(Event.Shard, Event.Engine, Event.Order);
  auto abandon = AbandonOrder{Event.Shard, Event.Engine, Event.Order};
  if (found.Progress == nullptr) {
    emit(std::move(abandon));
    return;
  }
  // Last check before the first byte is sent: the lease must be valid and the
  // drain acknowledged.
  auto maySend = isValidHolder(*found.Target, now()) &&
                 isAcknowledged({Event.Engine, Event.Order}) &&
                 found.Progress->Lifecycle.phase() == OrderPhase::Connecting;
  if (!maySend) {
    found.Progress->Lifecycle.notSent();
    found.Progress->NextStep = now() + RetryInterval;
    emit(std::move(abandon));
    return;
  }
  found.Progress->Lifecycle.sent();
  found.Progress->SentAt = now();
  found.Target->OutstandingOrders.insert({Event.Engine, Event.Order});
  emit(IncrementCounter{CounterMetric::Orders, {}, Event.Engine.text()});
  emit(SendOrder{Event.Shard, Event.Engine, Event.Order,
                 found.Target->Record.Fencing, found.Progress->Record.State});
}

auto OrderReducer::on(OrderResultReceived const &Event) -> void {
  auto shard = CurrentState.Leases.Shards.find(Event.Shard);
  auto isDefinite = Event.Result != OrderResult::Lost;
  if (shard != CurrentState.Leases.Shards.end() && isDefinite)
    shard->second.OutstandingOrders.erase({Event.Engine, Event.Order});
  auto found = locate(Event.Shard, Event.Engine, Event.Order);
  if (found.Progress == nullptr)
    return;
  auto &progress = *found.Progress;
  if (progress.Lifecycle.phase() == OrderPhase::Connecting) {
    progress.Lifecycle.notSent();
    progress.NextStep = now() + RetryInterval;
    return;
  }
  switch (Event.Result) {
  case OrderResult::Accepted:
  case OrderResult::Lost:
    progress.Lifecycle.acceptedOrLost();
    return;
  case OrderResult::RefusedBusy:
    progress.Lifecycle.refusedBusy();
    progress.NextStep = now() + RetryInterval;
    // Only a report observed after the refusal can show that the engine is
    // idle.
    progress.AcknowledgedAt = now();
    return;
  case OrderResult::RefusedStaleFencing:
    log(LogLevel::Warning, "order-refused-stale-fencing",
        {{"engine", Event.Engine.text()}});
    progress.Lifecycle.refusedBusy();
    progress.NextStep = now() + CurrentState.Options.LeaseDuration;
    found.Target->NextRenewal = now();
    return;
  }
}

auto OrderReducer::locate(ShardName const &Name, EngineId const &Engine,
                          OrderId Order) -> OrderLocation {
  auto shard = CurrentState.Leases.Shards.find(Name);
  if (shard == CurrentState.Leases.Shards.end())
    return {};
  auto it = shard->second.Orders.find(Engine);
  if (it == shard->second.Orders.end() || it->second.Record.Id != Order)
    return {};
  return {&shard->second, &it->second};
}

auto OrderReducer::composeRecord(Shard const &Target) -> ShardRecord {
  auto record = Target.Record;
  for (auto const &it : Target.Orders)
    if (it.second.Lifecycle.phase() == OrderPhase::Resolved)
      record.Orders.erase(it.first);
  std::erase_if(record.FormerHolders, [&](FormerHolder const &it) {
    return hasStoppedOrdering(Target, it);
  });
  if (CurrentState.LeaveRequestedAt != Instant{})
    return record;
  for (auto const &id : Target.Engines) {
    if (record.Orders.size() >= MaximumOrdersPerShard)
      break;
    if (Target.Orders.contains(id) || !mayOrder(Target, id))
      continue;
    if (!needsOrder(id) || !isRedundant(id))
      continue;
    auto desired = CurrentState.Configuration.Current->desiredState(id);
    record.Orders[id] = {++record.LastOrder, *desired};
  }
  return record;
}

auto OrderReducer::hasStoppedOrdering(Shard const &Target,
                                      FormerHolder const &Former) const
    -> bool {
  if (Former.Run == CurrentState.Self.Run)
    return Target.OutstandingOrders.empty();
  if (hasRunEnded(CurrentState, Former.Instance, Former.Run, Target.AcquiredAt))
    return true;
  auto it = CurrentState.Members.Peers.find(Former.Instance);
  if (it == CurrentState.Members.Peers.end() || it->second.Run != Former.Run)
    return false;
  auto const &name = Target.Name;
  return std::ranges::any_of(it->second.Heartbeat.Releases,
                             [&](ShardRelease const &Release) {
                               return Release.Shard == name &&
                                      Release.Fencing >= Target.Record.Fencing;
                             });
}

auto OrderReducer::needsOrder(EngineId const &Engine) const -> bool {
  auto desired = CurrentState.Configuration.Current->desiredState(Engine);
  auto view = CurrentState.Backends.Engines.find(Engine);
  if (!desired || view == CurrentState.Backends.Engines.end())
    return false;
  if (!hasFreshReport(view->second, now()))
    return false;
  auto const &report = *view->second.Report;
  return report.IsChanging || !matchesState(report, *desired);
}

auto OrderReducer::mayOrder(Shard const &Target, EngineId const &Engine) const
    -> bool {
  auto const *engine = CurrentState.Configuration.Current->findEngine(Engine);
  if (engine != nullptr && engine->ChecksFencing)
    return true;
  return Target.Record.FormerHolders.empty();
}

auto OrderReducer::isRedundant(EngineId const &Engine) const -> bool {
  auto const &table = CurrentState.Backends;
  auto const &configuration = *CurrentState.Configuration.Current;
  auto const &report = *table.Engines.at(Engine).Report;
  if (report.IsChanging || report.Role != EngineRole::Mixed)
    return true;
  return std::ranges::all_of(report.Models, [&](ModelName const &Model) {
    auto serves = [&](EngineDeclaration const &Other) {
      return Other.Id != Engine &&
             isRoutable(table, Other.Id, Model, CurrentState.Now);
    };
    // A model that no rule assigns to any engine needs no other engine.
    auto isDeclared = std::ranges::any_of(
        configuration.engines(), [&](EngineDeclaration const &Other) {
          auto desired = configuration.desiredState(Other.Id);
          return desired && desired->Role == EngineRole::Mixed &&
                 std::ranges::find(desired->Models, Model) !=
                     desired->Models.end();
        });
    return !isDeclared || std::ranges::any_of(configuration.engines(), serves);
  });
}

auto OrderReducer::syncOrders(Shard &Target) -> void {
  std::erase_if(Target.Orders, [&](auto const &Item) {
    return !Target.Record.Orders.contains(Item.first);
  });
  for (auto const &it : Target.Record.Orders) {
    auto [order, isNew] = Target.Orders.try_emplace(it.first);
    if (!isNew && order->second.Record == it.second)
      continue;
    order->second = OrderProgress{};
    order->second.Record = it.second;
    if (mayOrder(Target, it.first))
      order->second.Lifecycle.intentCommitted();
    log(LogLevel::Info, "order-recorded",
        {{"engine", it.first.text()},
         {"order", fmt::format("{}", it.second.Id)},
         {"role", std::string(toString(it.second.State.Role))}});
  }
}

auto OrderReducer::abandonOrders(Shard &Target) -> void {
  for (auto const &it : Target.Orders)
    if (it.second.Lifecycle.phase() == OrderPhase::Connecting)
      emit(AbandonOrder{Target.Name, it.first, it.second.Record.Id});
  Target.Orders.clear();
}

} // namespace dotterel
