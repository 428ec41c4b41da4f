#include "LibRelay/RoleReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

constexpr auto PlanInterval = Duration{500ms};
/// Peers stop sending to an engine within this time of the announcement.
constexpr auto AnnounceBefore = Duration{300ms};
/// Another instance's write must be this old before it is replaced: the time
/// in which an order may follow it, and the longest time within which two
/// givers of orders must not take turns, with a wide margin.
constexpr auto TakeOverAfter = Duration{9s};
constexpr auto ReadAgainAfter = Duration{1s};
/// An engine is avoided for about the time that a change takes.
constexpr auto AvoidWhileChanging = Duration{4s};
/// An order without an answer may be carried out this much later; until then
/// the engine gets no other.
constexpr auto LateOrderBound = Duration{15s};
/// A refused order is tried again after this.
constexpr auto RefusedOrderBound = Duration{5s};
/// Traffic is observed this long before the first plan, longer than caches take
/// to fill.
constexpr auto ObserveFirst = Duration{8s};
/// Demand must ask for a change this long: mixes swing within seconds, faster
/// than a change pays back.
constexpr auto WantedBefore = Duration{4s};
/// Servers register within this time of the first start.
constexpr auto ServersSettle = Duration{2500ms};
/// Time between two batches of orders: an engine is back after some seconds,
/// and caches take some more to fill.
constexpr auto BatchInterval = Duration{5s};
/// Part of the engines that may change at the same time under traffic.
constexpr auto LargestBatch = 0.15;

} // namespace

auto toString(OrderResult Result) -> std::string_view {
  switch (Result) {
  case OrderResult::Accepted:
    return "accepted";
  case OrderResult::Refused:
    return "refused";
  case OrderResult::Unknown:
    return "unknown";
  case OrderResult::NotSent:
    return "not-sent";
  }
  return "unknown";
}

auto RoleReducer::isPlanner() const -> bool {
  if (!CurrentState.isReady())
    return false;
  for (auto const &it : CurrentState.Peers.all()) {
    auto const &peer = it.second;
    if (CurrentState.Peers.isAlive(peer, now()) && peer.LastReport->IsReady &&
        peer.PeerAddress < CurrentState.Self.PeerAddress)
      return false;
  }
  return true;
}

auto RoleReducer::mayWriteLease() const -> bool {
  auto const &authority = CurrentState.Roles.Lease;
  if (!authority.IsKnown)
    return false;
  auto isOwn = authority.Holder.empty() ||
               authority.Holder == CurrentState.Self.Instance;
  return isOwn || now() - authority.UnchangedSince >= TakeOverAfter;
}

auto RoleReducer::on(LeaseRead const &Event) -> void {
  auto &authority = CurrentState.Roles.Lease;
  authority.IsPending = false;
  if (!Event.IsRead)
    return;
  if (!authority.IsKnown || authority.Revision != Event.Revision) {
    log(LogLevel::Info, "authority-read", "holder={} revision={}",
        quoteLogValue(Event.Holder), Event.Revision);
    authority.UnchangedSince = now();
  }
  authority.IsKnown = true;
  authority.Revision = Event.Revision;
  authority.Holder = Event.Holder;
}

auto RoleReducer::on(LeaseWritten const &Event) -> void {
  auto &roles = CurrentState.Roles;
  roles.Lease.IsPending = false;
  log(LogLevel::Info, "authority-written", "done={} revision={} orders={}",
      Event.IsWritten, Event.Revision, roles.Orders.size());
  if (!Event.IsWritten) {
    // Lost, refused, or written by another: nothing may be sent.
    roles.Lease.IsKnown = false;
    roles.Lease.NextReadAt = now() + ReadAgainAfter;
    return;
  }
  roles.Lease.Revision = Event.Revision;
  roles.Lease.Holder = CurrentState.Self.Instance;
  for (auto &it : roles.Orders) {
    auto &order = it.second;
    auto const *server = CurrentState.Servers.find(it.first);
    if (order.IsSent || server == nullptr)
      continue;
    order.IsSent = true;
    order.ExpiresAt = now() + LateOrderBound;
    log(LogLevel::Info, "order-sent", "server={} stage={} fence={}", it.first,
        toString(order.Stage), Event.Revision);
    emit(SendOrder{it.first, server->Description.Address, order.Stage,
                   CurrentState.Self.Instance, Event.Revision,
                   Event.ValidUntil});
  }
}

auto RoleReducer::on(OrderResultReceived const &Event) -> void {
  auto it = CurrentState.Roles.Orders.find(Event.Server);
  log(LogLevel::Info, "order-answered", "server={} result={} status={}",
      Event.Server, toString(Event.Result), Event.Status);
  if (it == CurrentState.Roles.Orders.end())
    return;
  if (Event.Result == OrderResult::Refused)
    it->second.ExpiresAt = now() + RefusedOrderBound;
  if (Event.Result != OrderResult::NotSent)
    return;
  CurrentState.Roles.Orders.erase(it);
}

auto RoleReducer::expireOrders() -> void {
  std::erase_if(CurrentState.Roles.Orders, [&](auto const &it) {
    auto *server = CurrentState.Servers.find(it.first);
    auto isDone =
        server == nullptr || server->Description.Stage == it.second.Stage;
    if (server != nullptr && isDone) {
      log(LogLevel::Info, "order-carried-out", "server={} stage={}", it.first,
          toString(it.second.Stage));
      server->ChangingUntil = {};
    }
    return isDone || now() >= it.second.ExpiresAt;
  });
}

auto RoleReducer::on(Tick const & /*Event*/) -> void {
  auto &roles = CurrentState.Roles;
  expireOrders();
  if (now() < roles.NextPlanAt)
    return writeLeaseIfDue();
  roles.NextPlanAt = now() + PlanInterval;
  if (isPlanner())
    plan();
  writeLeaseIfDue();
}

auto RoleReducer::plan() -> void {
  auto &roles = CurrentState.Roles;
  if (now() - roles.LastBatchAt < BatchInterval)
    return;
  for (auto const &it : CurrentState.Config->services()) {
    if (it.second.Engine)
      planService(it.second);
  }
}

auto RoleReducer::planService(Service const &Target) -> void {
  auto &roles = CurrentState.Roles;
  auto fleet = EngineFleet{};
  fleet.PrefillRate = CurrentState.SpeedModels[Target.Name].prefillRate();
  auto byStage = std::map<EngineStage, std::vector<Server *>>{};
  for (auto *it : CurrentState.Servers.serversOf(Target.Name)) {
    if (!it->isUsable(now()) || it->isLastResort(now()))
      continue;
    auto order = roles.Orders.find(it->Description.Id);
    auto stage = it->Description.Stage;
    if (order != roles.Orders.end())
      stage = order->second.Stage;
    else
      byStage[stage].push_back(it);
    if (stage == EngineStage::Prefill)
      ++fleet.Prefill;
    if (stage != EngineStage::Decode)
      continue;
    ++fleet.Decode;
    fleet.DecodeRequests += it->load().Requests;
  }
  if (fleet.Prefill + fleet.Decode == 0)
    return;
  auto wanted = wantedPrefill(Target, fleet);
  if (wanted == fleet.Prefill)
    return;
  auto toPrefill = wanted > fleet.Prefill;
  auto from = toPrefill ? EngineStage::Decode : EngineStage::Prefill;
  auto change = toPrefill ? wanted - fleet.Prefill : fleet.Prefill - wanted;
  auto isIdle = !roles.Demand.contains(Target.Name);
  auto share = isIdle ? 1 : LargestBatch;
  auto most =
      std::max(1.0, share * static_cast<double>(fleet.Prefill + fleet.Decode));
  auto &chosen = byStage[from];
  std::ranges::sort(chosen, {},
                    [](Server const *it) { return it->load().Requests; });
  auto count = std::min({static_cast<std::size_t>(change),
                         static_cast<std::size_t>(most), chosen.size()});
  chosen.resize(count);
  announceOrders(chosen,
                 toPrefill ? EngineStage::Prefill : EngineStage::Decode);
}

auto RoleReducer::wantedPrefill(Service const &Target, EngineFleet const &Fleet)
    -> std::uint32_t {
  auto &roles = CurrentState.Roles;
  auto meter = roles.Demand.find(Target.Name);
  if (meter == roles.Demand.end()) {
    auto isFirst = CurrentState.Options.IsFirstStart &&
                   now() - CurrentState.StartedAt > ServersSettle;
    return isFirst
               ? initialPrefillEngines(Fleet, CurrentState.Options.PrefillShare)
               : Fleet.Prefill;
  }
  if (now() - meter->second.ObservedSince < ObserveFirst)
    return Fleet.Prefill;
  auto demand = meter->second.Meter.perSecond(now());
  demand.add(CurrentState.Peers.demandOf(Target.Name, now()));
  auto wanted = planPrefillEngines(Fleet, demand, *Target.Engine);
  if (wanted == Fleet.Prefill) {
    roles.WantedSince.erase(Target.Name);
    return wanted;
  }
  auto since = roles.WantedSince.try_emplace(Target.Name, now()).first->second;
  if (now() - since < WantedBefore)
    return Fleet.Prefill;
  log(LogLevel::Info, "role-plan",
      "service={} prefill={} decode={} wanted_prefill={} own_tokens={:.0f} "
      "prompt_tokens={:.0f} decode_requests={} prefill_rate={:.0f}",
      quoteLogValue(Target.Name), Fleet.Prefill, Fleet.Decode, wanted,
      demand.UnsharedTokens, demand.PromptTokens, Fleet.DecodeRequests,
      Fleet.PrefillRate);
  return wanted;
}

auto RoleReducer::announceOrders(std::vector<Server *> const &Chosen,
                                 EngineStage Stage) -> void {
  auto &roles = CurrentState.Roles;
  if (Chosen.empty())
    return;
  if (!mayWriteLease()) {
    auto &authority = roles.Lease;
    if (!authority.IsPending && now() >= authority.NextReadAt) {
      authority.IsPending = true;
      authority.NextReadAt = now() + ReadAgainAfter;
      emit(ReadLease{});
    }
    return;
  }
  roles.LastBatchAt = now();
  roles.LeaseWriteAt = now() + AnnounceBefore;
  for (auto *it : Chosen) {
    roles.Orders[it->Description.Id] = {Stage, now() + LateOrderBound, false};
    it->ChangingUntil = now() + AvoidWhileChanging;
  }
}

auto RoleReducer::writeLeaseIfDue() -> void {
  auto &roles = CurrentState.Roles;
  if (!roles.LeaseWriteAt || now() < *roles.LeaseWriteAt)
    return;
  roles.LeaseWriteAt.reset();
  if (!mayWriteLease())
    return;
  roles.Lease.IsPending = true;
  emit(WriteLease{roles.Lease.Revision, CurrentState.Self.Instance});
}

} // namespace dotterel::relay
