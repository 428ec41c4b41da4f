#include "LibControl/OrderReducer.h"

#include "LibControl/BackendReducer.h"
#include "LibControl/MembershipReducer.h"

#include <algorithm>
#include <fmt/format.h>

namespace dotterel {

namespace {

using OrderPhase = OrderLifecycle::Phase;

constexpr auto OrdersPerShard = std::size_t{1};
constexpr auto RetryInterval = Duration{200ms};
/// Time after which an order is sent again to an engine that still reports a
/// change under way; the engine recognises the repetition by its number.
constexpr auto RepeatInterval = Duration{10s};

auto isIdle(EngineReport const &Report) -> bool {
  return Report.Running == 0 && Report.QueuedPrefillTokens == 0;
}

auto isOpen(OrderProgress const &Progress) -> bool {
  auto phase = Progress.Lifecycle.phase();
  return phase != OrderPhase::Recording && phase != OrderPhase::Resolved;
}

} // namespace

auto matchesState(EngineReport const &Report, DesiredEngineState const &Wanted)
    -> bool {
  return Report.Role == Wanted.Role &&
         std::ranges::is_permutation(Report.Models, Wanted.Models);
}

auto hasOrderInFlight(Shard const &Subject) -> bool {
  return std::ranges::any_of(Subject.Orders, [](auto const &Item) {
    auto phase = Item.second.Lifecycle.phase();
    return phase == OrderPhase::Connecting || phase == OrderPhase::Sent;
  });
}

auto announcementsOf(State const &Subject) -> std::vector<ShardAnnouncement> {
  auto announcements = std::vector<ShardAnnouncement>{};
  for (auto const &it : Subject.Leases.Shards) {
    if (!isValidHolder(it.second, Subject.Now))
      continue;
    auto announcement =
        ShardAnnouncement{it.first, it.second.Record.Fencing, {}};
    for (auto const &order : it.second.Orders)
      if (isOpen(order.second))
        announcement.Drains.push_back({order.first, order.second.Record.Id});
    announcements.push_back(std::move(announcement));
  }
  return announcements;
}

auto yieldsOf(State const &Subject) -> std::vector<ShardRelease> {
  auto yields = std::vector<ShardRelease>{};
  for (auto const &it : Subject.Leases.Shards) {
    auto const &shard = it.second;
    auto wasHolder = shard.TakenAt != Instant{} && !isHolder(shard);
    auto highest = Subject.Backends.HighestFencing.find(it.first);
    if (!wasHolder || !shard.Unanswered.empty() ||
        highest == Subject.Backends.HighestFencing.end())
      continue;
    yields.push_back({it.first, highest->second});
  }
  return yields;
}

auto OrderReducer::on(Tick const & /*Happened*/) -> void {
  auto changed = false;
  for (auto const &it : announcementsOf(Subject))
    changed |= BackendReducer(Subject, Out).honour(it);
  if (changed)
    MembershipReducer(Subject, Out).broadcastHeartbeat();
  for (auto &it : Subject.Leases.Shards) {
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
  auto view = Subject.Backends.Engines.find(Engine);
  auto isDraining = Progress.Lifecycle.phase() == OrderPhase::Draining;
  if (isDraining && isAcknowledged({Engine, Progress.Record.Id})) {
    Progress.Lifecycle.allAcknowledged();
    Progress.AcknowledgedAt = now();
  }
  if (view == Subject.Backends.Engines.end() || !view->second.Report)
    return;
  if (resolveIfDone(Engine, view->second, Progress))
    return;
  if (Progress.Lifecycle.phase() == OrderPhase::AwaitingIdle)
    stepAwaitingIdle(Name, Engine, Progress);
  if (Progress.Lifecycle.phase() == OrderPhase::Confirming)
    stepConfirming(view->second, Progress);
}

auto OrderReducer::resolveIfDone(EngineId const &Engine, EngineView const &View,
                                 OrderProgress &Progress) -> bool {
  auto const &report = *View.Report;
  if (report.LastOrder != Progress.Record.Id || report.IsChanging ||
      !matchesState(report, Progress.Record.State))
    return false;
  if (!Progress.Lifecycle.reportedDone())
    return false;
  emit(CountOne{CountMetric::RoleChanges, {}, Engine.text()});
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
  auto const &view = Subject.Backends.Engines[Engine];
  if (view.ReportObserved <= Progress.AcknowledgedAt || !isIdle(*view.Report))
    return;
  if (Progress.NextStep > now() || Subject.LeaveRequestedAt != Instant{})
    return;
  Progress.Lifecycle.connectRequested();
  emit(ConnectOrder{Name, Engine, Progress.Record.Id, view.Address});
}

auto OrderReducer::stepConfirming(EngineView const &View,
                                  OrderProgress &Progress) -> void {
  if (View.ReportObserved <= Progress.SentAt)
    return;
  auto isStuck = now() - Progress.SentAt > RepeatInterval;
  auto isNotDone =
      !View.Report->IsChanging && View.Report->LastOrder != Progress.Record.Id;
  if (!isNotDone && !isStuck)
    return;
  Progress.Lifecycle.reportedNotDone();
  Progress.NextStep = now() + RetryInterval;
}

auto OrderReducer::isAcknowledged(DrainReference const &Drain) const -> bool {
  auto own = Subject.Backends.Drains.find(Drain.Engine);
  if (own == Subject.Backends.Drains.end() || own->second.Order != Drain.Order)
    return false;
  return std::ranges::all_of(Subject.Members.Peers, [&](auto const &Item) {
    auto const &peer = Item.second;
    if (!peer.IsListed && !peer.IsConnected)
      return true;
    auto const &drains = peer.Heartbeat.AcknowledgedDrains;
    return isAlive(peer, now()) &&
           std::ranges::find(drains, Drain) != drains.end();
  });
}

auto OrderReducer::on(OrderConnected const &Happened) -> void {
  auto found = locate(Happened.Shard, Happened.Engine, Happened.Order);
  auto abandon = AbandonOrder{Happened.Shard, Happened.Engine, Happened.Order};
  if (found.Progress == nullptr) {
    emit(std::move(abandon));
    return;
  }
  // The last check before the first byte: authority and the drain both stand.
  auto maySend = isValidHolder(*found.Owner, now()) &&
                 isAcknowledged({Happened.Engine, Happened.Order}) &&
                 found.Progress->Lifecycle.phase() == OrderPhase::Connecting;
  if (!maySend) {
    found.Progress->Lifecycle.notSent();
    found.Progress->NextStep = now() + RetryInterval;
    emit(std::move(abandon));
    return;
  }
  found.Progress->Lifecycle.sent();
  found.Progress->SentAt = now();
  found.Owner->Unanswered.insert({Happened.Engine, Happened.Order});
  emit(CountOne{CountMetric::Orders, {}, Happened.Engine.text()});
  emit(SendOrder{Happened.Shard, Happened.Engine, Happened.Order,
                 found.Owner->Record.Fencing, found.Progress->Record.State});
}

auto OrderReducer::on(OrderResponded const &Happened) -> void {
  auto shard = Subject.Leases.Shards.find(Happened.Shard);
  auto isDefinite = Happened.Response != OrderResponse::Lost;
  if (shard != Subject.Leases.Shards.end() && isDefinite)
    shard->second.Unanswered.erase({Happened.Engine, Happened.Order});
  auto found = locate(Happened.Shard, Happened.Engine, Happened.Order);
  if (found.Progress == nullptr)
    return;
  auto &progress = *found.Progress;
  if (progress.Lifecycle.phase() == OrderPhase::Connecting) {
    progress.Lifecycle.notSent();
    progress.NextStep = now() + RetryInterval;
    return;
  }
  switch (Happened.Response) {
  case OrderResponse::Accepted:
  case OrderResponse::Lost:
    progress.Lifecycle.answered();
    return;
  case OrderResponse::RefusedBusy:
    progress.Lifecycle.refusedBusy();
    progress.NextStep = now() + RetryInterval;
    // Only a report from after the refusal can show that it is idle.
    progress.AcknowledgedAt = now();
    return;
  case OrderResponse::RefusedStaleFencing:
    log(LogLevel::Warning, "order-refused-stale-fencing",
        {{"engine", Happened.Engine.text()}});
    progress.Lifecycle.refusedBusy();
    progress.NextStep = now() + Subject.Options.LeaseDuration;
    found.Owner->NextRenewal = now();
    return;
  }
}

auto OrderReducer::locate(ShardName const &Name, EngineId const &Engine,
                          OrderId Order) -> Located {
  auto shard = Subject.Leases.Shards.find(Name);
  if (shard == Subject.Leases.Shards.end())
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
  std::erase_if(record.FormerHolders,
                [&](FormerHolder const &it) { return isHarmless(Target, it); });
  if (Subject.LeaveRequestedAt != Instant{})
    return record;
  for (auto const &id : Target.Engines) {
    if (record.Orders.size() >= OrdersPerShard)
      break;
    if (Target.Orders.contains(id) || !mayOrder(Target, id))
      continue;
    if (!wantsOrder(id) || !isCovered(id))
      continue;
    auto wanted = Subject.Configuration.Current->desiredState(id);
    record.Orders[id] = {++record.LastOrder, *wanted};
  }
  return record;
}

auto OrderReducer::isHarmless(Shard const &Target,
                              FormerHolder const &Former) const -> bool {
  if (Former.Run == Subject.Self.Run)
    return Target.Unanswered.empty();
  if (hasEnded(Subject, Former.Instance, Former.Run, Target.TakenAt))
    return true;
  auto it = Subject.Members.Peers.find(Former.Instance);
  if (it == Subject.Members.Peers.end() || it->second.Run != Former.Run)
    return false;
  auto const &name = Target.Name;
  return std::ranges::any_of(
      it->second.Heartbeat.Releases, [&](ShardRelease const &Yield) {
        return Yield.Shard == name && Yield.Fencing >= Target.Record.Fencing;
      });
}

auto OrderReducer::wantsOrder(EngineId const &Engine) const -> bool {
  auto wanted = Subject.Configuration.Current->desiredState(Engine);
  auto view = Subject.Backends.Engines.find(Engine);
  if (!wanted || view == Subject.Backends.Engines.end())
    return false;
  if (!hasFreshReport(view->second, now()))
    return false;
  auto const &report = *view->second.Report;
  return report.IsChanging || !matchesState(report, *wanted);
}

auto OrderReducer::mayOrder(Shard const &Target, EngineId const &Engine) const
    -> bool {
  auto const *engine = Subject.Configuration.Current->findEngine(Engine);
  if (engine != nullptr && engine->ChecksFencing)
    return true;
  return Target.Record.FormerHolders.empty();
}

auto OrderReducer::isCovered(EngineId const &Engine) const -> bool {
  auto const &table = Subject.Backends;
  auto const &configuration = *Subject.Configuration.Current;
  auto const &report = *table.Engines.at(Engine).Report;
  if (report.IsChanging || report.Role != EngineRole::Mixed)
    return true;
  return std::ranges::all_of(report.Models, [&](ModelName const &Model) {
    auto serves = [&](EngineDeclaration const &Other) {
      return Other.Id != Engine &&
             isRoutable(table, Other.Id, Model, Subject.Now);
    };
    // A model that no rule asks any engine to serve needs no cover.
    auto isAskedFor = std::ranges::any_of(
        configuration.engines(), [&](EngineDeclaration const &Other) {
          auto wanted = configuration.desiredState(Other.Id);
          return wanted && wanted->Role == EngineRole::Mixed &&
                 std::ranges::find(wanted->Models, Model) !=
                     wanted->Models.end();
        });
    return !isAskedFor || std::ranges::any_of(configuration.engines(), serves);
  });
}

auto OrderReducer::followRecord(Shard &Target) -> void {
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

auto OrderReducer::abandonAll(Shard &Target) -> void {
  for (auto const &it : Target.Orders)
    if (it.second.Lifecycle.phase() == OrderPhase::Connecting)
      emit(AbandonOrder{Target.Name, it.first, it.second.Record.Id});
  Target.Orders.clear();
}

} // namespace dotterel
