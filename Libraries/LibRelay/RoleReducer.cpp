#include "LibRelay/RoleReducer.h"

#include "LibRelay/ServerListReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

constexpr auto PlanInterval = Duration{500ms};
/// Peers stop sending requests to an engine within this time after its change
/// has been announced.
constexpr auto AnnouncementLead = Duration{300ms};
/// Minimum age of another instance's lease write before it may be replaced: the
/// time for which orders may be sent after the write, plus the period within
/// which orders of two instances must not alternate, with a wide margin.
constexpr auto LeaseTakeoverAge = Duration{9s};
constexpr auto LeaseReadInterval = Duration{1s};
/// An engine is avoided for about the time that a stage change takes.
constexpr auto StageChangeDuration = Duration{4s};
/// An order without a response may be executed up to this much later; until
/// then the engine gets no other order.
constexpr auto UnansweredOrderTimeout = Duration{15s};
/// A refused order is planned again after this time.
constexpr auto RefusedOrderBackoff = Duration{5s};
/// Demand is observed for this long before the first plan from it, which is
/// longer than caches take to fill.
constexpr auto InitialObservationPeriod = Duration{8s};
/// Demand must call for a change for this long: the mix of requests fluctuates
/// within seconds, faster than a change pays off.
constexpr auto DemandConfirmationPeriod = Duration{4s};
/// Servers register within this time after the first start.
constexpr auto ServerRegistrationPeriod = Duration{2500ms};
/// Time between two batches of orders: an engine needs a few seconds to change
/// and some more to fill its cache.
constexpr auto OrderBatchInterval = Duration{5s};
/// Share of the engines that may change at the same time under traffic.
constexpr auto MaximumBatchShare = 0.15;

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
  auto const &lease = CurrentState.Roles.Lease;
  if (!lease.IsKnown || now() < lease.SuspendedUntil)
    return false;
  auto isOwn =
      lease.Holder.empty() || lease.Holder == CurrentState.Self.Instance;
  return isOwn || now() - lease.UnchangedSince >= LeaseTakeoverAge;
}

auto RoleReducer::on(LeaseRead const &Event) -> void {
  auto &lease = CurrentState.Roles.Lease;
  lease.IsPending = false;
  if (!Event.IsRead)
    return;
  if (!lease.IsKnown || lease.Version != Event.Version) {
    log(LogLevel::Info, "authority-read", "holder={} era={} revision={}",
        quoteLogValue(Event.Holder), Event.Version.era(),
        Event.Version.revision());
    lease.UnchangedSince = now();
  }
  lease.IsKnown = true;
  lease.Version = Event.Version;
  lease.Holder = Event.Holder;
}

auto RoleReducer::on(LeaseWritten const &Event) -> void {
  auto &roles = CurrentState.Roles;
  roles.Lease.IsPending = false;
  log(LogLevel::Info, "authority-written",
      "done={} era={} revision={} orders={}", Event.IsWritten,
      Event.Version.era(), Event.Version.revision(), roles.Orders.size());
  // The revision that the write expected may have been assigned again after the
  // store was restored.
  auto isSameEra = Event.Version.era() == roles.Lease.Version.era();
  if (!Event.IsWritten || !roles.Lease.IsKnown || !isSameEra) {
    // The write was lost, refused or preceded by another instance's; no order
    // may be sent.
    roles.Lease.IsKnown = false;
    roles.Lease.NextReadAt = now() + LeaseReadInterval;
    return;
  }
  roles.Lease.Version = Event.Version;
  roles.Lease.Holder = CurrentState.Self.Instance;
  auto fence = Event.Version.packed();
  for (auto &it : roles.Orders) {
    auto &order = it.second;
    auto const *server = CurrentState.Servers.find(it.first);
    if (order.IsSent || server == nullptr || server->isLeaving() ||
        now() < server->PausedUntil)
      continue;
    order.IsSent = true;
    order.ExpiresAt = now() + UnansweredOrderTimeout;
    log(LogLevel::Info, "order-sent", "server={} stage={} fence={}", it.first,
        toString(order.Stage), fence);
    emit(SendOrder{it.first, server->Description.Address, order.Stage,
                   CurrentState.Self.Instance, fence, Event.ValidUntil});
  }
}

auto RoleReducer::suspendOrders() -> void {
  auto &roles = CurrentState.Roles;
  auto isPending = roles.Lease.IsPending;
  roles.Lease = {};
  roles.Lease.IsPending = isPending;
  roles.Lease.SuspendedUntil = now() + LeaseTakeoverAge;
  roles.LeaseWriteAt.reset();
  std::erase_if(roles.Orders, [](auto const &it) { return !it.second.IsSent; });
  log(LogLevel::Info, "orders-suspended", "era={} for_ms={}",
      CurrentState.Store.Era, toMilliseconds(LeaseTakeoverAge));
}

auto RoleReducer::on(OrderResultReceived const &Event) -> void {
  auto it = CurrentState.Roles.Orders.find(Event.Server);
  log(LogLevel::Info, "order-answered", "server={} result={} status={}",
      Event.Server, toString(Event.Result), Event.Status);
  if (auto *server = CurrentState.Servers.find(Event.Server))
    ServerListReducer(CurrentState, Output)
        .observeNotice(*server, Event.Notice);
  if (it == CurrentState.Roles.Orders.end())
    return;
  if (Event.Result == OrderResult::Refused)
    it->second.ExpiresAt = now() + RefusedOrderBackoff;
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
  if (now() - roles.LastBatchAt < OrderBatchInterval)
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
  auto sourceStage = toPrefill ? EngineStage::Decode : EngineStage::Prefill;
  auto change = toPrefill ? wanted - fleet.Prefill : fleet.Prefill - wanted;
  auto isIdle = !roles.Demand.contains(Target.Name);
  auto share = isIdle ? 1 : MaximumBatchShare;
  auto maximumOrders =
      std::max(1.0, share * static_cast<double>(fleet.Prefill + fleet.Decode));
  auto &chosen = byStage[sourceStage];
  std::ranges::sort(chosen, {},
                    [](Server const *it) { return it->load().Requests; });
  auto count =
      std::min({static_cast<std::size_t>(change),
                static_cast<std::size_t>(maximumOrders), chosen.size()});
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
                   now() - CurrentState.StartedAt > ServerRegistrationPeriod;
    return isFirst
               ? initialPrefillEngines(Fleet, CurrentState.Options.PrefillShare)
               : Fleet.Prefill;
  }
  if (now() - meter->second.ObservedSince < InitialObservationPeriod)
    return Fleet.Prefill;
  auto demand = meter->second.Meter.perSecond(now());
  demand.add(CurrentState.Peers.demandOf(Target.Name, now()));
  auto wanted = planPrefillEngines(Fleet, demand, *Target.Engine);
  if (wanted == Fleet.Prefill) {
    roles.WantedSince.erase(Target.Name);
    return wanted;
  }
  auto since = roles.WantedSince.try_emplace(Target.Name, now()).first->second;
  if (now() - since < DemandConfirmationPeriod)
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
    auto &lease = roles.Lease;
    if (!lease.IsPending && now() >= lease.NextReadAt) {
      lease.IsPending = true;
      lease.NextReadAt = now() + LeaseReadInterval;
      emit(ReadLease{});
    }
    return;
  }
  roles.LastBatchAt = now();
  roles.LeaseWriteAt = now() + AnnouncementLead;
  for (auto *it : Chosen) {
    roles.Orders[it->Description.Id] = {Stage, now() + UnansweredOrderTimeout,
                                        false};
    it->ChangingUntil = now() + StageChangeDuration;
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
  emit(WriteLease{roles.Lease.Version, CurrentState.Self.Instance});
}

} // namespace dotterel::relay
