#include "LibRelay/ServerOrderReducer.h"

namespace dotterel::relay {

namespace {

constexpr auto PlanInterval = Duration{500ms};
/// Servers register one after the other. The number at the start is what has
/// not changed for this long.
constexpr auto ServerSettlingTime = Duration{2500ms};
/// Time after which an order is sent again: one that failed, one that was
/// refused, and, in addition to the servers' start time, one without effect.
constexpr auto FailedOrderInterval = Duration{700ms};
constexpr auto RefusedOrderInterval = Duration{6s};
constexpr auto RepeatedOrderInterval = Duration{4s};

} // namespace

auto ServerOrderReducer::on(ServersOrdered const &Event) -> void {
  log(Event.Result == CallResult::Accepted ? LogLevel::Info : LogLevel::Warning,
      "servers-ordered",
      "service={} domain={} reclaimable={} count={} result={} status={}",
      quoteLogValue(Event.Service), quoteLogValue(Event.Domain),
      Event.IsReclaimable, Event.Count, toString(Event.Result), Event.Status);
  emit(IncrementCounter{CounterMetric::LeaderCalls,
                        {},
                        fmt::format("order-{}", toString(Event.Result))});
  auto &order = CurrentState.Leader
                    .Orders[{Event.Service, Event.Domain, Event.IsReclaimable}];
  order.IsAccepted = Event.Result == CallResult::Accepted;
  if (Event.Result == CallResult::Failed)
    order.NextAt = now() + FailedOrderInterval;
  if (Event.Result == CallResult::Refused)
    order.UnavailableUntil = now() + RefusedOrderInterval;
}

auto ServerOrderReducer::plan() -> void {
  auto &leader = CurrentState.Leader;
  if (!CurrentState.Options.OrdersServers || !leader.Lease.Fence ||
      leader.Lease.IsPending || now() < leader.NextPlanAt)
    return;
  leader.NextPlanAt = now() + PlanInterval;
  for (auto const &it : CurrentState.Config->services()) {
    if (it.second.Scale && it.second.Scale->ReclaimablePrice)
      planService(it.second);
  }
}

auto ServerOrderReducer::count(Service const &Target) const -> CountedServers {
  auto counted = CountedServers{};
  for (auto const *it : CurrentState.Servers.serversOf(Target.Name)) {
    if (it->isLeaving())
      continue;
    auto const &server = it->Description;
    auto add = [&](ServersByDomain &Output) {
      auto &counts = Output[server.Domain];
      ++(server.IsReclaimable ? counts.Reclaimable : counts.OnDemand);
    };
    add(counted.Present);
    if (it->isUsable(now()))
      add(counted.Usable);
  }
  return counted;
}

auto ServerOrderReducer::baseline(Service const &Target,
                                  ServersByDomain const &Present)
    -> ServerCounts const & {
  auto &leader = CurrentState.Leader;
  auto &baseline = leader.Lease.Record.Baselines[Target.Name];
  if (!baseline.empty())
    return baseline;
  auto &settling = leader.Settling[Target.Name];
  if (settling.Servers != Present)
    settling = {Present, now()};
  if (now() - settling.Since >= ServerSettlingTime) {
    for (auto const &it : Present)
      baseline[it.first] = it.second.OnDemand + it.second.Reclaimable;
  }
  return baseline;
}

auto ServerOrderReducer::planService(Service const &Target) -> void {
  auto const &orders = CurrentState.Leader.Orders;
  auto counted = count(Target);
  auto fleet = ServerFleet{baseline(Target, counted.Present),
                           std::move(counted.Usable),
                           {},
                           CurrentState.Options.OnDemandServerShare};
  for (auto const &it : fleet.Baseline) {
    auto const order = orders.find({Target.Name, it.first, true});
    if (order != orders.end() && now() < order->second.UnavailableUntil)
      fleet.Unavailable.insert(it.first);
  }
  for (auto const &[domain, wanted] : planServers(*Target.Scale, fleet)) {
    auto const &present = counted.Present[domain];
    order(Target, {domain, true}, wanted.Reclaimable, present.Reclaimable);
    order(Target, {domain, false}, wanted.OnDemand, present.OnDemand);
  }
}

auto ServerOrderReducer::order(Service const &Target, ServerKind const &Kind,
                               std::uint32_t Wanted, std::uint32_t Present)
    -> void {
  auto &order = CurrentState.Leader
                    .Orders[{Target.Name, Kind.Domain, Kind.IsReclaimable}];
  // Without an order, what is present is what the platform was asked for.
  auto const isConfirmed = !order.Count || order.IsAccepted;
  auto const ordered = order.Count.value_or(Present);
  if (now() < order.UnavailableUntil ||
      (isConfirmed && ordered == Wanted && Present == Wanted))
    return;
  if (order.Count == Wanted && now() < order.NextAt)
    return;
  // New servers take their start time to appear.
  auto const pause = Target.Scale->StartTime + RepeatedOrderInterval;
  order = {Wanted, now() + pause, false, order.UnavailableUntil};
  emit(OrderServers{
      Target.Name, Kind.Domain, Kind.IsReclaimable, Wanted,
      CurrentState.Leader.Lease.authority(CurrentState.Self.Instance)});
}

} // namespace dotterel::relay
