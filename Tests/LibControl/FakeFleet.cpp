#include "FakeFleet.h"

#include "LibControl/OrderReducer.h"
#include "LibCore/Hash.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel::test {

namespace {

using nlohmann::json;

constexpr auto TickInterval = Duration{50ms};
constexpr auto DecodeTime = Duration{20ms};
constexpr auto RoleChangeTime = Duration{2s};
constexpr auto ClockRateStep = 0.01;

auto instanceName(int Number) -> InstanceId {
  return InstanceId(fmt::format("i{}", Number));
}

auto engineName(int Number) -> EngineId {
  return EngineId(fmt::format("e{}", Number));
}

} // namespace

FakeFleet::FakeFleet(FleetShape Shape)
    : Shape(Shape), Scheduler(Instant{} + 1h), Random(Shape.Seed) {
  for (auto n = 0; n < Shape.Engines; ++n) {
    auto &engine = Engines[engineName(n)];
    engine.ChecksFencing = Shape.EnginesCheckFencing;
    engine.Report.Run = Random() | 1U;
    engine.Report.Models = {ModelName("roster")};
    DeclaredRoles[engineName(n)] = EngineRole::Mixed;
  }
  publish();
  for (auto n = 0; n < Shape.Instances; ++n)
    start(n);
}

auto FakeFleet::configurationText() const -> std::string {
  auto engines = json::array();
  for (auto const &it : DeclaredRoles)
    engines.push_back({{"id", it.first.text()},
                       {"address", "127.0.0.1:1"},
                       {"failureDomain", "a"},
                       {"labels", {{"role", toString(it.second)}}},
                       {"checksFencing", Shape.EnginesCheckFencing}});
  auto servers = json::array();
  for (auto n = 0; n < Shape.Servers; ++n)
    servers.push_back({{"id", fmt::format("b{}", n)},
                       {"service", "booking"},
                       {"address", "127.0.0.1:2"},
                       {"failureDomain", "a"}});
  auto rules = json::array();
  for (auto const *role : {"mixed", "prefill"})
    rules.push_back({{"name", role},
                     {"engines", fmt::format("role={}", role)},
                     {"models", ""},
                     {"role", role}});
  auto routes = json::array();
  routes.push_back({{"name", "rosters"},
                    {"callers", ""},
                    {"models", ""},
                    {"servers", ""},
                    {"class", "interactive"},
                    {"deadlineMs", 20000}});
  routes.push_back({{"name", "bookings"},
                    {"callers", ""},
                    {"services", ""},
                    {"servers", ""},
                    {"class", "booking"},
                    {"deadlineMs", 10000}});
  return json{{"engines", engines},
              {"servers", servers},
              {"services", json::array({{{"name", "booking"}}})},
              {"models", json::array({{{"name", "roster"}}})},
              {"callers", json::array({{{"name", "dispatch"}}})},
              {"routes", routes},
              {"engineRules", rules}}
      .dump();
}

auto FakeFleet::publish() -> void {
  auto next = Configuration ? Configuration->revision() + 1 : 1;
  Configuration = FleetConfiguration::compile(configurationText(), next);
}

auto FakeFleet::setRole(int Engine, EngineRole Role) -> void {
  DeclaredRoles[engineName(Engine)] = Role;
  publish();
}

auto FakeFleet::engine(int Number) -> FakeEngine & {
  return Engines[engineName(Number)];
}

auto FakeFleet::crashEngine(int Number) -> void {
  auto &target = engine(Number);
  target.IsDown = true;
  target.Report.Run += 1;
  target.Report.Running = 0;
  target.Streams.clear();
}

auto FakeFleet::find(InstanceId const &Id) -> Node & { return Nodes[Id]; }

auto FakeFleet::start(int Instance) -> void {
  auto id = instanceName(Instance);
  auto &node = Nodes[id];
  if (node.Current)
    return;
  node = Node{};
  node.Identity = {id, Random() | 1U, FailureDomain("a"), id.text(), id.text()};
  // Clock rates are 0.99, 1 and 1.01 in turn, so that two clocks differ by up
  // to about 2%, the default MaximumClockDrift.
  node.ClockRate = 1 + ClockRateStep * (Instance % 3 - 1);
  node.Current = makeState(node.Identity, ControlOptions{}, clockOf(node));
  Scheduler.schedule(
      {}, [this, id, run = node.Identity.Run] { deliver(id, run, Tick{}); });
}

auto FakeFleet::clockOf(Node const &Target) const -> Instant {
  return Instant{} + fromSeconds(toSeconds(Scheduler.now().time_since_epoch()) *
                                 Target.ClockRate);
}

auto FakeFleet::kill(int Instance) -> void {
  auto id = instanceName(Instance);
  auto &node = Nodes[id];
  node.Current.reset();
  node.IsPaused = false;
  node.PendingEvents.clear();
  node.DeferredEffects.clear();
  for (auto &it : Engines) {
    auto removed = std::erase_if(it.second.Streams, [&](auto const &Item) {
      return Item.Sender == node.Identity.Run;
    });
    it.second.Report.Running -= static_cast<std::uint32_t>(removed);
  }
  for (auto &it : Nodes) {
    if (Links.erase({id, it.first}) == 0 || !isReachable(id, it.first))
      continue;
    deliver(it.first, it.second.Identity.Run, PeerDisconnected{id});
  }
}

auto FakeFleet::pause(int Instance) -> void {
  auto &node = Nodes[instanceName(Instance)];
  node.IsPaused = node.Current.has_value();
}

auto FakeFleet::pauseBeforeSending(int Instance) -> void {
  Nodes[instanceName(Instance)].PausesBeforeSending = true;
}

auto FakeFleet::resume(int Instance) -> void {
  auto &node = Nodes[instanceName(Instance)];
  node.PausesBeforeSending = false;
  if (!node.IsPaused)
    return;
  node.IsPaused = false;
  for (auto deferred = std::exchange(node.DeferredEffects, {});
       auto &it : deferred)
    handleEffect(node, it);
  for (auto waiting = std::exchange(node.PendingEvents, {}); auto &it : waiting)
    deliver(node.Identity.Id, node.Identity.Run, std::move(it));
}

auto FakeFleet::leave(int Instance) -> void {
  auto &node = Nodes[instanceName(Instance)];
  if (node.Current)
    deliver(node.Identity.Id, node.Identity.Run, LeaveRequested{});
}

auto FakeFleet::setPartitioned(int Left, int Right, bool IsCut) -> void {
  auto pair = std::set{instanceName(Left), instanceName(Right)};
  if (pair.size() < 2)
    return;
  if (IsCut)
    Cuts.insert(pair);
  else
    Cuts.erase(pair);
}

auto FakeFleet::setApiCut(int Instance, bool IsCut) -> void {
  Nodes[instanceName(Instance)].IsApiCut = IsCut;
}

auto FakeFleet::healAll() -> void {
  IsOutage = false;
  WritesToLose = 0;
  ResponsesToLose = 0;
  Cuts.clear();
  for (auto n = 0; n < Shape.Instances; ++n) {
    setApiCut(n, false);
    resume(n);
    start(n);
  }
  for (auto &it : Engines) {
    it.second.IsDown = false;
    it.second.CrashesOnNextOrder = false;
  }
}

auto FakeFleet::isReachable(InstanceId const &Left,
                            InstanceId const &Right) const -> bool {
  return !Cuts.contains({Left, Right});
}

auto FakeFleet::isApiReachable(Node const &Source) const -> bool {
  return !IsOutage && !Source.IsApiCut;
}

auto FakeFleet::advance(Duration Span) -> void {
  Scheduler.runUntil(Scheduler.now() + Span);
}

auto FakeFleet::deliver(InstanceId const &Receiver, Incarnation Run,
                        EventBody Body) -> void {
  auto &node = Nodes[Receiver];
  if (!node.Current || node.Identity.Run != Run)
    return;
  if (std::holds_alternative<Tick>(Body))
    Scheduler.schedule(TickInterval, [this, Receiver, Run] {
      deliver(Receiver, Run, Tick{});
    });
  if (!node.IsPaused)
    return feed(node, std::move(Body));
  if (!std::holds_alternative<Tick>(Body))
    node.PendingEvents.push_back(std::move(Body));
}

auto FakeFleet::feed(Node &Target, EventBody Body) -> void {
  auto effects =
      reduce(*Target.Current, Event{clockOf(Target), std::move(Body)});
  auto const &current = Target.Current->Configuration.Current;
  auto revision = current ? current->revision() : 0;
  if (revision < Target.HighestRevision)
    reportViolation("configuration revision decreased at instance " +
                    Target.Identity.Id.text());
  Target.HighestRevision = revision;
  for (auto &it : effects) {
    if (Target.PausesBeforeSending && pausesBefore(Target, it)) {
      Target.PausesBeforeSending = false;
      Target.IsPaused = true;
    }
    if (Target.IsPaused)
      Target.DeferredEffects.push_back(std::move(it));
    else
      handleEffect(Target, it);
  }
}

auto FakeFleet::pausesBefore(Node const & /*Source*/,
                             Effect const &Effect) const -> bool {
  if (std::holds_alternative<SendOrder>(Effect))
    return true;
  auto const *attempt = std::get_if<SendAttempt>(&Effect);
  return attempt != nullptr && attempt->Kind == CallKind::Service;
}

auto FakeFleet::submitCompletion(int Instance, std::string const &Prompt,
                                 int Tokens) -> std::size_t {
  auto request = CallRequest{};
  request.Caller = CallerName("dispatch");
  request.Model = ModelName("roster");
  request.Body = std::make_shared<std::string const>(Prompt);
  request.PromptTokens = static_cast<std::uint32_t>(Prompt.size());
  request.MaximumTokens = static_cast<std::uint32_t>(Tokens);
  auto &node = Nodes[instanceName(Instance)];
  Calls.push_back({node.Identity.Id, request, {}, {}, Scheduler.now(), {}});
  auto id = node.NextCall++;
  node.CallNumbers[id] = Calls.size() - 1;
  deliver(node.Identity.Id, node.Identity.Run, CallArrived{id, request, {}});
  return Calls.size() - 1;
}

auto FakeFleet::submitBooking(int Instance, std::string const &Key)
    -> std::size_t {
  auto request = CallRequest{};
  request.Kind = CallKind::Service;
  request.Caller = CallerName("dispatch");
  request.Service = ServiceName("booking");
  request.Method = "POST";
  request.Path = "/book";
  request.Key = IdempotencyKey(Key);
  request.Body = std::make_shared<std::string const>(Key);
  auto &node = Nodes[instanceName(Instance)];
  Calls.push_back({node.Identity.Id, request, {}, {}, Scheduler.now(), {}});
  auto id = node.NextCall++;
  node.CallNumbers[id] = Calls.size() - 1;
  deliver(node.Identity.Id, node.Identity.Run, CallArrived{id, request, {}});
  return Calls.size() - 1;
}

auto FakeFleet::tokenText(std::string const &Prompt, std::uint32_t Index)
    -> std::string {
  return fmt::format("{:x}", hashText(Prompt, Index));
}

auto FakeFleet::streamTokens(EngineId const &Engine, SendAttempt const &Effect,
                             InstanceId const &Receiver, Incarnation Run,
                             std::uint64_t EngineRun, std::uint32_t Index)
    -> void {
  auto &engine = Engines[Engine];
  if (engine.IsDown || engine.Report.Run != EngineRun)
    return deliver(Receiver, Run, AttemptInterrupted{Effect.Attempt});
  auto stream = engine.Streams.find({Run, Effect.Attempt});
  if (stream == engine.Streams.end())
    return;
  auto last = std::uint32_t{0};
  for (auto const &it : Calls)
    if (it.Request.Body == Effect.Body)
      last = it.Request.MaximumTokens;
  if (Index > last) {
    engine.Streams.erase(stream);
    engine.Report.Running -= 1;
    return deliver(Receiver, Run,
                   AttemptCompleted{Effect.Attempt, 200, "", ""});
  }
  deliver(Receiver, Run,
          AttemptToken{Effect.Attempt, Index, tokenText(*Effect.Body, Index)});
  Scheduler.schedule(DecodeTime, [=, this] {
    streamTokens(Engine, Effect, Receiver, Run, EngineRun, Index + 1);
  });
}

auto FakeFleet::executeOrder(SendOrder const &Effect, Incarnation /*Sender*/)
    -> OrderResult {
  auto &engine = Engines[Effect.Engine];
  if (engine.IsDown)
    return OrderResult::Lost;
  if (engine.ChecksFencing && Effect.Fencing < engine.Report.HighestFencing)
    return OrderResult::RefusedStaleFencing;
  if (engine.ChecksFencing)
    engine.Report.HighestFencing = Effect.Fencing;
  auto isChanging = engine.CurrentOrder != 0;
  if (Effect.Order ==
      (isChanging ? engine.CurrentOrder : engine.Report.LastOrder))
    return OrderResult::Accepted;
  if (engine.Report.Running > 0 || isChanging)
    return OrderResult::RefusedBusy;
  auto const &record = Shards[Effect.Shard].Body;
  auto recorded = record.Orders.find(Effect.Engine);
  auto isRecorded = recorded != record.Orders.end() &&
                    recorded->second == OrderRecord{Effect.Order, Effect.State};
  if (!isRecorded)
    reportViolation(
        fmt::format("engine {} accepted an order that is not recorded",
                    Effect.Engine.text()));
  ++OrdersExecuted;
  engine.Report.IsChanging = true;
  engine.CurrentOrder = Effect.Order;
  Scheduler.schedule(RoleChangeTime, [this, id = Effect.Engine, Effect] {
    finishOrder(id, Effect);
  });
  return OrderResult::Accepted;
}

auto FakeFleet::finishOrder(EngineId const &Engine, SendOrder const &Effect)
    -> void {
  auto &engine = Engines[Engine];
  if (engine.CurrentOrder != Effect.Order)
    return;
  engine.CurrentOrder = 0;
  if (engine.CrashesOnNextOrder) {
    engine.CrashesOnNextOrder = false;
    engine.Report.Run += 1;
    engine.Report.Models.clear();
    return;
  }
  engine.Report.IsChanging = false;
  engine.Report.LastOrder = Effect.Order;
  engine.Report.Role = Effect.State.Role;
  engine.Report.Models = Effect.State.Models;
}

auto FakeFleet::reportViolation(std::string Description) -> void {
  Violations.push_back(fmt::format(
      "at {} ms: {}", toMilliseconds(Scheduler.now().time_since_epoch()),
      Description));
}

auto FakeFleet::checkResponse(SubmittedCall const &Submitted) -> void {
  auto const &response = Submitted.Responses.back().Response;
  if (Submitted.Responses.size() > 1)
    reportViolation("a call got two final responses");
  if (response.Result == Outcome::NotRun)
    checkNotRun(Submitted);
  if (Submitted.Request.Kind == CallKind::Service) {
    if (response.Result == Outcome::Completed &&
        response.Body != *Submitted.Request.Body)
      reportViolation("a booking got the response of another booking");
    return;
  }
  auto isWhole = Submitted.Tokens.size() == Submitted.Request.MaximumTokens;
  if (response.Result == Outcome::Completed && !isWhole)
    reportViolation("a completed response is incomplete");
  for (auto n = std::size_t{0}; n < Submitted.Tokens.size(); ++n)
    if (Submitted.Tokens[n] !=
        tokenText(*Submitted.Request.Body, static_cast<std::uint32_t>(n + 1)))
      reportViolation("a token is missing, repeated or from another call");
}

auto FakeFleet::checkNotRun(SubmittedCall const &Submitted) -> void {
  auto const &key = Submitted.Request.Key.text();
  if (Submitted.Request.Kind != CallKind::Service)
    return;
  if (executions(key) > 0 || BookingsInFlight[key] > 0)
    reportViolation("not-run was returned for a booking that ran: " + key);
}

auto FakeFleet::executions(std::string const &Key) const -> int {
  auto it = Executions.find(Key);
  return it == Executions.end() ? 0 : it->second;
}

auto FakeFleet::isRunning(int Instance) const -> bool {
  auto it = Nodes.find(instanceName(Instance));
  return it != Nodes.end() && it->second.Current.has_value();
}

auto FakeFleet::state(int Instance) const -> State const & {
  return *Nodes.at(instanceName(Instance)).Current;
}

auto FakeFleet::keyPrefix(int Instance) const -> std::string {
  auto const &current = state(Instance);
  return formatKeyPrefix({current.Self.Run, current.Calls.Keys.epoch()});
}

auto FakeFleet::isConverged() const -> bool {
  return std::ranges::all_of(Engines, [&](auto const &Item) {
    auto wanted = Configuration->desiredState(Item.first);
    return !Item.second.Report.IsChanging && wanted &&
           matchesState(Item.second.Report, *wanted);
  });
}

} // namespace dotterel::test
