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

auto RoleReducer::comesFirst() const -> bool {
  if (!Subject.isReady())
    return false;
  for (auto const &it : Subject.Peers.all()) {
    auto const &peer = it.second;
    if (Subject.Peers.isAlive(peer, now()) && peer.Last->IsReady &&
        peer.PeerAddress < Subject.Self.PeerAddress)
      return false;
  }
  return true;
}

auto RoleReducer::mayWrite() const -> bool {
  auto const &authority = Subject.Roles.Authority;
  if (!authority.IsKnown)
    return false;
  auto isOwn =
      authority.Holder.empty() || authority.Holder == Subject.Self.Instance;
  return isOwn || now() - authority.UnchangedSince >= TakeOverAfter;
}

auto RoleReducer::on(AuthorityRead const &Happened) -> void {
  auto &authority = Subject.Roles.Authority;
  authority.IsPending = false;
  if (!Happened.IsRead)
    return;
  if (!authority.IsKnown || authority.Revision != Happened.Revision) {
    log(LogLevel::Info, "authority-read", "holder={} revision={}",
        quoteLogValue(Happened.Holder), Happened.Revision);
    authority.UnchangedSince = now();
  }
  authority.IsKnown = true;
  authority.Revision = Happened.Revision;
  authority.Holder = Happened.Holder;
}

auto RoleReducer::on(AuthorityWritten const &Happened) -> void {
  auto &roles = Subject.Roles;
  roles.Authority.IsPending = false;
  log(LogLevel::Info, "authority-written", "done={} revision={} orders={}",
      Happened.IsDone, Happened.Revision, roles.Orders.size());
  if (!Happened.IsDone) {
    // Lost, refused, or written by another: nothing may be sent.
    roles.Authority.IsKnown = false;
    roles.Authority.NextRead = now() + ReadAgainAfter;
    return;
  }
  roles.Authority.Revision = Happened.Revision;
  roles.Authority.Holder = Subject.Self.Instance;
  for (auto &it : roles.Orders) {
    auto &order = it.second;
    auto const *server = Subject.Servers.find(it.first);
    if (order.IsSent || server == nullptr)
      continue;
    order.IsSent = true;
    order.Until = now() + LateOrderBound;
    log(LogLevel::Info, "order-sent", "server={} stage={} fence={}", it.first,
        toString(order.Stage), Happened.Revision);
    emit(SendOrder{it.first, server->Described.Address, order.Stage,
                   Subject.Self.Instance, Happened.Revision,
                   Happened.ValidUntil});
  }
}

auto RoleReducer::on(OrderAnswered const &Happened) -> void {
  auto it = Subject.Roles.Orders.find(Happened.Server);
  log(LogLevel::Info, "order-answered", "server={} result={} status={}",
      Happened.Server, toString(Happened.Result), Happened.Status);
  if (it == Subject.Roles.Orders.end())
    return;
  if (Happened.Result == OrderResult::Refused)
    it->second.Until = now() + RefusedOrderBound;
  if (Happened.Result != OrderResult::NotSent)
    return;
  Subject.Roles.Orders.erase(it);
}

auto RoleReducer::expireOrders() -> void {
  std::erase_if(Subject.Roles.Orders, [&](auto const &it) {
    auto *server = Subject.Servers.find(it.first);
    auto isDone =
        server == nullptr || server->Described.Stage == it.second.Stage;
    if (server != nullptr && isDone) {
      log(LogLevel::Info, "order-carried-out", "server={} stage={}", it.first,
          toString(it.second.Stage));
      server->ChangingUntil = {};
    }
    return isDone || now() >= it.second.Until;
  });
}

auto RoleReducer::on(Tick const & /*Happened*/) -> void {
  auto &roles = Subject.Roles;
  expireOrders();
  if (now() < roles.NextPlan)
    return advance();
  roles.NextPlan = now() + PlanInterval;
  if (comesFirst())
    plan();
  advance();
}

auto RoleReducer::plan() -> void {
  auto &roles = Subject.Roles;
  if (now() - roles.LastBatch < BatchInterval)
    return;
  for (auto const &it : Subject.Current->services()) {
    if (it.second.Engine)
      planService(it.second);
  }
}

auto RoleReducer::planService(Service const &Target) -> void {
  auto &roles = Subject.Roles;
  auto fleet = EngineFleet{};
  fleet.PrefillRate = Subject.Speeds[Target.Name].prefillRate();
  auto byStage = std::map<EngineStage, std::vector<Server *>>{};
  for (auto *it : Subject.Servers.ofService(Target.Name)) {
    if (!it->isUsable(now()) || it->isLastResort(now()))
      continue;
    auto order = roles.Orders.find(it->Described.Id);
    auto stage = it->Described.Stage;
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
  announce(chosen, toPrefill ? EngineStage::Prefill : EngineStage::Decode);
}

auto RoleReducer::wantedPrefill(Service const &Target, EngineFleet const &Fleet)
    -> std::uint32_t {
  auto &roles = Subject.Roles;
  auto meter = roles.Demand.find(Target.Name);
  if (meter == roles.Demand.end()) {
    auto isFirst =
        Subject.Given.IsFirstStart && now() - Subject.Started > ServersSettle;
    return isFirst ? initialPrefillEngines(Fleet, Subject.Given.PrefillShare)
                   : Fleet.Prefill;
  }
  if (now() - meter->second.Since < ObserveFirst)
    return Fleet.Prefill;
  auto demand = meter->second.Meter.perSecond(now());
  demand.add(Subject.Peers.demandOf(Target.Name, now()));
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
      demand.OwnTokens, demand.PromptTokens, Fleet.DecodeRequests,
      Fleet.PrefillRate);
  return wanted;
}

auto RoleReducer::announce(std::vector<Server *> const &Chosen,
                           EngineStage Stage) -> void {
  auto &roles = Subject.Roles;
  if (Chosen.empty())
    return;
  if (!mayWrite()) {
    auto &authority = roles.Authority;
    if (!authority.IsPending && now() >= authority.NextRead) {
      authority.IsPending = true;
      authority.NextRead = now() + ReadAgainAfter;
      emit(ReadAuthority{});
    }
    return;
  }
  roles.LastBatch = now();
  roles.WriteAt = now() + AnnounceBefore;
  for (auto *it : Chosen) {
    roles.Orders[it->Described.Id] = {Stage, now() + LateOrderBound, false};
    it->ChangingUntil = now() + AvoidWhileChanging;
  }
}

auto RoleReducer::advance() -> void {
  auto &roles = Subject.Roles;
  if (!roles.WriteAt || now() < *roles.WriteAt)
    return;
  roles.WriteAt.reset();
  if (!mayWrite())
    return;
  roles.Authority.IsPending = true;
  emit(WriteAuthority{roles.Authority.Revision, Subject.Self.Instance});
}

} // namespace dotterel::relay
