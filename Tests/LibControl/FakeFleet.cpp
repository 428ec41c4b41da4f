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
    : Shape(Shape), Plan(Instant{} + 1h), Random(Shape.Seed) {
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
  // Neighbours differ by half of the drift that the options allow for.
  node.ClockRate = 1 + ClockRateStep * (Instance % 3 - 1);
  node.Current = makeState(node.Identity, ControlOptions{}, clockOf(node));
  Plan.schedule(
      {}, [this, id, run = node.Identity.Run] { deliver(id, run, Tick{}); });
}

auto FakeFleet::clockOf(Node const &Target) const -> Instant {
  return Instant{} + fromSeconds(toSeconds(Plan.now().time_since_epoch()) *
                                 Target.ClockRate);
}

auto FakeFleet::kill(int Instance) -> void {
  auto id = instanceName(Instance);
  auto &node = Nodes[id];
  node.Current.reset();
  node.IsPaused = false;
  node.Inbox.clear();
  node.Held.clear();
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
  for (auto held = std::exchange(node.Held, {}); auto &it : held)
    handleEffect(node, it);
  for (auto waiting = std::exchange(node.Inbox, {}); auto &it : waiting)
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

auto FakeFleet::isApiReachable(Node const &From) const -> bool {
  return !IsOutage && !From.IsApiCut;
}

auto FakeFleet::advance(Duration Span) -> void {
  Plan.runUntil(Plan.now() + Span);
}

auto FakeFleet::deliver(InstanceId const &To, Incarnation Run,
                        EventBody Happened) -> void {
  auto &node = Nodes[To];
  if (!node.Current || node.Identity.Run != Run)
    return;
  if (std::holds_alternative<Tick>(Happened))
    Plan.schedule(TickInterval, [this, To, Run] { deliver(To, Run, Tick{}); });
  if (!node.IsPaused)
    return feed(node, std::move(Happened));
  if (!std::holds_alternative<Tick>(Happened))
    node.Inbox.push_back(std::move(Happened));
}

auto FakeFleet::feed(Node &Target, EventBody Happened) -> void {
  auto effects =
      reduce(*Target.Current, Event{clockOf(Target), std::move(Happened)});
  auto const &current = Target.Current->Configuration.Current;
  auto revision = current ? current->revision() : 0;
  if (revision < Target.HighestRevision)
    reportViolation("configuration went back at " + Target.Identity.Id.text());
  Target.HighestRevision = revision;
  for (auto &it : effects) {
    if (Target.PausesBeforeSending && pausesBefore(Target, it)) {
      Target.PausesBeforeSending = false;
      Target.IsPaused = true;
    }
    if (Target.IsPaused)
      Target.Held.push_back(std::move(it));
    else
      handleEffect(Target, it);
  }
}

auto FakeFleet::pausesBefore(Node const & /*From*/, Effect const &What) const
    -> bool {
  if (std::holds_alternative<SendOrder>(What))
    return true;
  auto const *attempt = std::get_if<SendAttempt>(&What);
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
  Calls.push_back({node.Identity.Id, request, {}, {}, Plan.now(), {}});
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
  Calls.push_back({node.Identity.Id, request, {}, {}, Plan.now(), {}});
  auto id = node.NextCall++;
  node.CallNumbers[id] = Calls.size() - 1;
  deliver(node.Identity.Id, node.Identity.Run, CallArrived{id, request, {}});
  return Calls.size() - 1;
}

auto FakeFleet::tokenText(std::string const &Prompt, std::uint32_t Index)
    -> std::string {
  return fmt::format("{:x}", hashText(Prompt, Index));
}

auto FakeFleet::streamTokens(EngineId const &Engine, SendAttempt const &What,
                             InstanceId const &From, Incarnation Run,
                             std::uint64_t EngineRun, std::uint32_t Index)
    -> void {
  auto &engine = Engines[Engine];
  if (engine.IsDown || engine.Report.Run != EngineRun)
    return deliver(From, Run, AttemptBroken{What.Attempt});
  auto stream = engine.Streams.find({Run, What.Attempt});
  if (stream == engine.Streams.end())
    return;
  auto last = std::uint32_t{0};
  for (auto const &it : Calls)
    if (it.Request.Body == What.Body)
      last = it.Request.MaximumTokens;
  if (Index > last) {
    engine.Streams.erase(stream);
    engine.Report.Running -= 1;
    return deliver(From, Run, AttemptCompleted{What.Attempt, 200, "", ""});
  }
  deliver(From, Run,
          AttemptToken{What.Attempt, Index, tokenText(*What.Body, Index)});
  Plan.schedule(DecodeTime, [=, this] {
    streamTokens(Engine, What, From, Run, EngineRun, Index + 1);
  });
}

auto FakeFleet::executeOrder(SendOrder const &What, Incarnation /*Sender*/)
    -> OrderResult {
  auto &engine = Engines[What.Engine];
  if (engine.IsDown)
    return OrderResult::Lost;
  if (engine.ChecksFencing && What.Fencing < engine.Report.HighestFencing)
    return OrderResult::RefusedStaleFencing;
  if (engine.ChecksFencing)
    engine.Report.HighestFencing = What.Fencing;
  auto isChanging = engine.CurrentOrder != 0;
  if (What.Order ==
      (isChanging ? engine.CurrentOrder : engine.Report.LastOrder))
    return OrderResult::Accepted;
  if (engine.Report.Running > 0 || isChanging)
    return OrderResult::RefusedBusy;
  auto const &record = Shards[What.Shard].Body;
  auto recorded = record.Orders.find(What.Engine);
  auto isRecorded = recorded != record.Orders.end() &&
                    recorded->second == OrderRecord{What.Order, What.State};
  if (!isRecorded)
    reportViolation(fmt::format(
        "engine {} obeyed an order that is not recorded", What.Engine.text()));
  ++OrdersExecuted;
  engine.Report.IsChanging = true;
  engine.CurrentOrder = What.Order;
  Plan.schedule(RoleChangeTime,
                [this, id = What.Engine, What] { finishOrder(id, What); });
  return OrderResult::Accepted;
}

auto FakeFleet::finishOrder(EngineId const &Engine, SendOrder const &What)
    -> void {
  auto &engine = Engines[Engine];
  if (engine.CurrentOrder != What.Order)
    return;
  engine.CurrentOrder = 0;
  if (engine.CrashesOnNextOrder) {
    engine.CrashesOnNextOrder = false;
    engine.Report.Run += 1;
    engine.Report.Models.clear();
    return;
  }
  engine.Report.IsChanging = false;
  engine.Report.LastOrder = What.Order;
  engine.Report.Role = What.State.Role;
  engine.Report.Models = What.State.Models;
}

auto FakeFleet::reportViolation(std::string What) -> void {
  Violations.push_back(fmt::format(
      "at {} ms: {}", toMilliseconds(Plan.now().time_since_epoch()), What));
}

auto FakeFleet::checkResponse(SubmittedCall const &Told) -> void {
  auto const &answer = Told.Responses.back().Response;
  if (Told.Responses.size() > 1)
    reportViolation("a call got two final answers");
  if (answer.Result == Outcome::NotRun)
    checkNotRun(Told);
  if (Told.Request.Kind == CallKind::Service) {
    if (answer.Result == Outcome::Completed &&
        answer.Body != *Told.Request.Body)
      reportViolation("a booking got the answer to another one");
    return;
  }
  auto isWhole = Told.Tokens.size() == Told.Request.MaximumTokens;
  if (answer.Result == Outcome::Completed && !isWhole)
    reportViolation("a completed answer is not whole");
  for (auto n = std::size_t{0}; n < Told.Tokens.size(); ++n)
    if (Told.Tokens[n] !=
        tokenText(*Told.Request.Body, static_cast<std::uint32_t>(n + 1)))
      reportViolation("a token is missing, repeated or another call's");
}

auto FakeFleet::checkNotRun(SubmittedCall const &Told) -> void {
  auto const &key = Told.Request.Key.text();
  if (Told.Request.Kind != CallKind::Service)
    return;
  if (executions(key) > 0 || BookingsInFlight[key] > 0)
    reportViolation("not-run was said of a booking that ran: " + key);
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
  auto const &subject = state(Instance);
  return formatKeyPrefix({subject.Self.Run, subject.Calls.Keys.epoch()});
}

auto FakeFleet::isConverged() const -> bool {
  return std::ranges::all_of(Engines, [&](auto const &Item) {
    auto wanted = Configuration->desiredState(Item.first);
    return !Item.second.Report.IsChanging && wanted &&
           matchesState(Item.second.Report, *wanted);
  });
}

} // namespace dotterel::test
