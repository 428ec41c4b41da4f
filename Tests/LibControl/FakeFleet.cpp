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
constexpr auto NetworkDelay = Duration{1ms};
constexpr auto ApiDelay = Duration{4ms};
constexpr auto ApiTimeout = Duration{2s};
constexpr auto ReportLag = Duration{100ms};
constexpr auto DecodeTime = Duration{20ms};
constexpr auto PrefillTime = Duration{50ms};
constexpr auto RoleChangeTime = Duration{2s};
constexpr auto ServiceTime = Duration{30ms};
constexpr auto ListLag = Duration{2s};
constexpr auto ClockRateStep = 0.01;
constexpr auto WatchSpan = Duration{5s};

auto instanceName(int Number) -> InstanceId {
  return InstanceId(fmt::format("i{}", Number));
}

auto engineName(int Number) -> EngineId {
  return EngineId(fmt::format("e{}", Number));
}

} // namespace

/// Carries out effects of one instance against the fakes.
struct FakeFleet::Carrier {
  FakeFleet &Fleet; // NOLINT
  Node &From;       // NOLINT
  /// The run that decided on the effect; answers reach no other.
  Incarnation Run = From.Identity.Run;

  [[nodiscard]] auto run() const -> Incarnation { return Run; }

  auto answer(Duration After, EventBody const &Happened) const -> void {
    Fleet.schedule(After, [&fleet = Fleet, id = From.Identity.Id, run = run(),
                           Happened] { fleet.deliver(id, run, Happened); });
  }

  /// Runs \p Work at the object API unless it is out, then answers.
  auto atApi(std::function<EventBody()> Work, EventBody const &Failed) const
      -> void {
    ++Fleet.ApiCalls;
    if (!Fleet.apiAnswers(From))
      return answer(ApiTimeout, Failed);
    Fleet.schedule(ApiDelay, [*this, work = std::move(Work)] {
      answer(ApiDelay, work());
    });
  }

  auto operator()(ConnectAttempt const &What) const -> void {
    auto const &calls = From.Current->Calls.Calls;
    auto call = calls.find(What.Attempt.Call);
    auto isDown = call != calls.end() && call->second.Current &&
                  !call->second.Current->Engine.empty() &&
                  Fleet.Engines[call->second.Current->Engine].IsDown;
    if (isDown)
      return answer(NetworkDelay, AttemptUnreachable{What.Attempt});
    answer(NetworkDelay, AttemptConnected{What.Attempt});
  }

  auto operator()(SendAttempt const &What) const -> void {
    auto const &calls = From.Current->Calls.Calls;
    auto call = calls.find(What.Attempt.Call);
    if (What.Kind == CallKind::Service)
      return sendBooking(What);
    // A held send may be late: the call's attempt names the engine no more.
    if (call == calls.end() || !call->second.Current)
      return;
    auto id = call->second.Current->Engine;
    Fleet.schedule(NetworkDelay, [*this, id, What] { startStream(id, What); });
  }

  auto startStream(EngineId const &Id, SendAttempt const &What) const -> void {
    auto &engine = Fleet.Engines[Id];
    if (engine.IsDown)
      return answer(NetworkDelay, AttemptBroken{What.Attempt});
    if (engine.Report.IsChanging || engine.Report.Role != EngineRole::Mixed)
      return answer(NetworkDelay, AttemptRefused{What.Attempt});
    engine.Report.Running += 1;
    engine.Streams.insert({run(), What.Attempt});
    auto index = What.ResumeAfter + 1;
    Fleet.schedule(PrefillTime, [*this, Id, What, index,
                                 engineRun = engine.Report.Run] {
      Fleet.streamTokens(Id, What, From.Identity.Id, run(), engineRun, index);
    });
  }

  auto sendBooking(SendAttempt const &What) const -> void {
    auto key = What.Key.text();
    ++Fleet.BookingsUnderWay[key];
    Fleet.schedule(NetworkDelay, [*this, What, key] {
      --Fleet.BookingsUnderWay[key];
      if (++Fleet.Executions[key] > 1)
        Fleet.violate("booking ran twice: " + key);
      if (Fleet.AnswersToLose > 0) {
        --Fleet.AnswersToLose;
        return answer(ServiceTime, AttemptBroken{What.Attempt});
      }
      answer(ServiceTime,
             AttemptCompleted{What.Attempt, 200, "text/plain", *What.Body});
    });
  }

  auto operator()(CancelAttempt const &What) const -> void {
    for (auto &it : Fleet.Engines) {
      if (it.second.Streams.erase({run(), What.Attempt}) > 0)
        it.second.Report.Running -= 1;
    }
  }

  auto operator()(ForwardToken const &What) const -> void {
    auto it = From.CallNumbers.find(What.Call);
    if (it != From.CallNumbers.end())
      Fleet.Calls[it->second].Tokens.push_back(What.Data);
  }

  auto operator()(FinishCall const &What) const -> void {
    auto it = From.CallNumbers.find(What.Call);
    if (it == From.CallNumbers.end())
      return;
    auto &call = Fleet.Calls[it->second];
    call.Answers.push_back(What);
    call.Answered = Fleet.Now;
    Fleet.checkAnswer(call);
  }

  auto operator()(PollEngine const &What) const -> void {
    auto &engine = Fleet.Engines[What.Engine];
    if (engine.IsDown)
      return answer(NetworkDelay, EngineUnreachable{What.Engine});
    auto observed = Fleet.clockOf(From);
    answer(ReportLag, EngineReported{What.Engine, engine.Report, observed});
  }

  auto operator()(ConnectOrder const &What) const -> void {
    if (Fleet.Engines[What.Engine].IsDown)
      return answer(NetworkDelay, OrderAnswered{What.Shard, What.Engine,
                                                What.Order, OrderAnswer::Lost});
    answer(NetworkDelay, OrderConnected{What.Shard, What.Engine, What.Order});
  }

  auto operator()(SendOrder const &What) const -> void {
    Fleet.schedule(NetworkDelay, [*this, What] {
      auto result = Fleet.executeOrder(What, run());
      answer(NetworkDelay,
             OrderAnswered{What.Shard, What.Engine, What.Order, result});
    });
  }

  auto operator()(RaiseFence const &What) const -> void {
    Fleet.schedule(NetworkDelay, [*this, What] {
      auto &engine = Fleet.Engines[What.Engine];
      if (engine.ChecksFencing)
        engine.Report.HighestFencing =
            std::max(engine.Report.HighestFencing, What.Fencing);
    });
  }

  auto operator()(ReadShard const &What) const -> void {
    atApi(
        [*this, What]() -> EventBody {
          auto const &stored = Fleet.Shards[What.Shard];
          return ShardRead{What.Shard, stored.Version, stored.Body};
        },
        ShardReadFailed{What.Shard});
  }

  auto operator()(WriteShard const &What) const -> void {
    auto number = What.Record.WriteNumber;
    write(
        Fleet.Shards[What.Shard], What.ExpectedVersion, What.Record,
        [What, number](WriteResult Result, std::uint64_t Version) -> EventBody {
          return ShardWritten{What.Shard, number, Result, Version};
        });
  }

  auto operator()(ReadClaim const &What) const -> void {
    atApi(
        [*this, What]() -> EventBody {
          auto const &stored = Fleet.Claims[What.Name];
          return ClaimRead{What.Call, stored.Version, stored.Body};
        },
        ClaimReadFailed{What.Call});
  }

  auto operator()(WriteClaim const &What) const -> void {
    write(Fleet.Claims[What.Name], What.ExpectedVersion, What.Record,
          [What](WriteResult Result, std::uint64_t Version) -> EventBody {
            return ClaimWritten{What.Call, Result, Version};
          });
  }

  template <typename T, typename Answer>
  auto write(Stored<T> &Target, std::uint64_t Expected, T const &Body,
             Answer MakeAnswer) const -> void {
    auto *target = &Target;
    atApi(
        [*this, target, Expected, Body, MakeAnswer]() -> EventBody {
          if (target->Version != Expected)
            return MakeAnswer(WriteResult::Conflict, target->Version);
          target->Version += 1;
          target->Body = Body;
          if (Fleet.WritesToLose > 0) {
            --Fleet.WritesToLose;
            return MakeAnswer(WriteResult::Unknown, 0);
          }
          return MakeAnswer(WriteResult::Committed, target->Version);
        },
        MakeAnswer(WriteResult::Unknown, 0));
  }

  auto operator()(WatchConfiguration const &What) const -> void {
    ++Fleet.ApiCalls;
    if (!Fleet.apiAnswers(From))
      return answer(ApiTimeout, ConfigurationWatchEnded{false});
    poll(What.After, WatchSpan);
  }

  auto poll(Revision After, Duration Left) const -> void {
    if (Fleet.Configuration->revision() > After) {
      answer(ApiDelay, ConfigurationReceived{Fleet.Configuration});
      return answer(ApiDelay, ConfigurationWatchEnded{true});
    }
    if (Left <= Duration{})
      return answer(ApiDelay, ConfigurationWatchEnded{true});
    Fleet.schedule(TickInterval,
                   [*this, After, Left] { poll(After, Left - TickInterval); });
  }

  auto operator()(ListInstances const & /*What*/) const -> void {
    ++Fleet.ApiCalls;
    if (!Fleet.apiAnswers(From))
      return answer(ApiTimeout, InstanceListFailed{});
    auto listed = InstancesListed{};
    for (auto const &it : Fleet.Nodes)
      if (it.second.Current)
        listed.Instances.push_back(
            {it.first, it.first.text(), it.first.text(),
             it.second.Identity.Domain,
             it.second.Current->LeaveRequestedAt != Instant{}});
    answer(ListLag, listed);
  }

  auto operator()(ConnectPeer const &What) const -> void {
    auto &peer = Fleet.find(What.Peer);
    if (!peer.Current || peer.IsPaused ||
        !Fleet.isReachable(From.Identity.Id, What.Peer))
      return answer(NetworkDelay, PeerDisconnected{What.Peer});
    Fleet.Links.insert({From.Identity.Id, What.Peer});
    answer(NetworkDelay, PeerConnected{What.Peer, peer.Identity.Run});
    Fleet.deliver(What.Peer, peer.Identity.Run,
                  PeerConnected{From.Identity.Id, run()});
  }

  auto operator()(DisconnectPeer const &What) const -> void {
    Fleet.Links.erase({From.Identity.Id, What.Peer});
    answer(Duration{}, PeerDisconnected{What.Peer});
    auto &peer = Fleet.find(What.Peer);
    if (Fleet.isReachable(From.Identity.Id, What.Peer))
      Fleet.deliver(What.Peer, peer.Identity.Run,
                    PeerDisconnected{From.Identity.Id});
  }

  auto operator()(SendPeer const &What) const -> void {
    auto link = std::set<InstanceId>{From.Identity.Id, What.Peer};
    if (!Fleet.Links.contains(link) ||
        !Fleet.isReachable(From.Identity.Id, What.Peer))
      return;
    auto peerRun = Fleet.find(What.Peer).Identity.Run;
    Fleet.schedule(NetworkDelay, [*this, What, peerRun,
                                  sender = From.Identity.Id, own = run()] {
      std::visit(
          [&](auto const &Message) {
            receive(What.Peer, peerRun, sender, own, Message);
          },
          What.Message);
    });
  }

  auto receive(InstanceId const &To, Incarnation ToRun,
               InstanceId const &Sender, Incarnation /*SenderRun*/,
               PeerHeartbeat const &Message) const -> void {
    Fleet.deliver(To, ToRun, PeerHeartbeatReceived{Sender, Message});
  }

  auto receive(InstanceId const &To, Incarnation ToRun,
               InstanceId const &Sender, Incarnation /*SenderRun*/,
               ConfigurationRequest const & /*Message*/) const -> void {
    Fleet.deliver(To, ToRun, ConfigurationRequested{Sender});
  }

  auto receive(InstanceId const &To, Incarnation ToRun,
               InstanceId const & /*Sender*/, Incarnation /*SenderRun*/,
               ConfigurationOffer const &Message) const -> void {
    Fleet.deliver(To, ToRun,
                  ConfigurationReceived{FleetConfiguration::compile(
                      Message.Text, Message.Number)});
  }

  auto receive(InstanceId const &To, Incarnation ToRun,
               InstanceId const &Sender, Incarnation SenderRun,
               ForwardedCall const &Message) const -> void {
    auto request = CallRequest{};
    request.Kind = CallKind::Service;
    request.Caller = Message.Caller;
    request.Body = std::make_shared<std::string const>(Message.Body);
    request.Service = Message.Service;
    request.Method = Message.Method;
    request.Path = Message.Path;
    request.Key = Message.Key;
    request.RequestedDeadline = Message.TimeLeft;
    auto origin = ForwardOrigin{Sender, SenderRun, Message.Call, Message.Home};
    Fleet.deliver(To, ToRun,
                  CallArrived{Fleet.find(To).NextCall++, request, origin});
  }

  auto receive(InstanceId const &To, Incarnation ToRun,
               InstanceId const &Sender, Incarnation /*SenderRun*/,
               ForwardedAnswer const &Message) const -> void {
    Fleet.deliver(To, ToRun, ForwardedAnswerReceived{Sender, Message});
  }

  auto receive(InstanceId const & /*To*/, Incarnation /*ToRun*/,
               InstanceId const & /*Sender*/, Incarnation /*SenderRun*/,
               PeerHello const & /*Message*/) const -> void {}

  auto operator()(StopProcess const & /*What*/) const -> void {
    Fleet.schedule({}, [&fleet = Fleet, id = From.Identity.Id, run = run()] {
      auto &node = fleet.find(id);
      if (node.Identity.Run == run && node.Current)
        fleet.kill(std::stoi(id.text().substr(1)));
    });
  }

  auto operator()(AbandonOrder const & /*What*/) const -> void {}
  auto operator()(AnswerSteering const & /*What*/) const -> void {}
  auto operator()(ObserveDuration const & /*What*/) const -> void {}
  auto operator()(CountOne const & /*What*/) const -> void {}
  auto operator()(WriteLog const & /*What*/) const -> void {}
};

FakeFleet::FakeFleet(FleetShape Shape)
    : Shape(Shape), Now(Instant{} + 1h), Random(Shape.Seed) {
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
  schedule({},
           [this, id, run = node.Identity.Run] { deliver(id, run, Tick{}); });
}

auto FakeFleet::clockOf(Node const &Target) const -> Instant {
  return Instant{} +
         fromSeconds(toSeconds(Now.time_since_epoch()) * Target.ClockRate);
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
    carryOut(node, it);
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
  AnswersToLose = 0;
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

auto FakeFleet::apiAnswers(Node const &From) const -> bool {
  return !IsOutage && !From.IsApiCut;
}

auto FakeFleet::schedule(Duration After, std::function<void()> Action) -> void {
  Agenda.push({Now + After, NextSequence++, std::move(Action)});
}

auto FakeFleet::advance(Duration Span) -> void {
  auto end = Now + Span;
  while (!Agenda.empty() && Agenda.top().At <= end) {
    auto next = Agenda.top();
    Agenda.pop();
    Now = std::max(Now, next.At);
    next.Action();
  }
  Now = end;
}

auto FakeFleet::deliver(InstanceId const &To, Incarnation Run,
                        EventBody Happened) -> void {
  auto &node = Nodes[To];
  if (!node.Current || node.Identity.Run != Run)
    return;
  if (std::holds_alternative<Tick>(Happened))
    schedule(TickInterval, [this, To, Run] { deliver(To, Run, Tick{}); });
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
    violate("configuration went back at " + Target.Identity.Id.text());
  Target.HighestRevision = revision;
  for (auto &it : effects) {
    if (Target.PausesBeforeSending && mustPauseBefore(Target, it)) {
      Target.PausesBeforeSending = false;
      Target.IsPaused = true;
    }
    if (Target.IsPaused)
      Target.Held.push_back(std::move(it));
    else
      carryOut(Target, it);
  }
}

auto FakeFleet::mustPauseBefore(Node const & /*From*/, Effect const &What) const
    -> bool {
  if (std::holds_alternative<SendOrder>(What))
    return true;
  auto const *attempt = std::get_if<SendAttempt>(&What);
  return attempt != nullptr && attempt->Kind == CallKind::Service;
}

auto FakeFleet::carryOut(Node &From, Effect &What) -> void {
  std::visit(Carrier{*this, From}, What);
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
  Calls.push_back({node.Identity.Id, request, {}, {}, Now, {}});
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
  Calls.push_back({node.Identity.Id, request, {}, {}, Now, {}});
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
  schedule(DecodeTime, [=, this] {
    streamTokens(Engine, What, From, Run, EngineRun, Index + 1);
  });
}

auto FakeFleet::executeOrder(SendOrder const &What, Incarnation /*Sender*/)
    -> OrderAnswer {
  auto &engine = Engines[What.Engine];
  if (engine.IsDown)
    return OrderAnswer::Lost;
  if (engine.ChecksFencing && What.Fencing < engine.Report.HighestFencing)
    return OrderAnswer::RefusedStaleFencing;
  if (engine.ChecksFencing)
    engine.Report.HighestFencing = What.Fencing;
  auto isChanging = engine.CurrentOrder != 0;
  if (What.Order ==
      (isChanging ? engine.CurrentOrder : engine.Report.LastOrder))
    return OrderAnswer::Accepted;
  if (engine.Report.Running > 0 || isChanging)
    return OrderAnswer::RefusedBusy;
  auto const &record = Shards[What.Shard].Body;
  auto recorded = record.Orders.find(What.Engine);
  auto isRecorded = recorded != record.Orders.end() &&
                    recorded->second == OrderRecord{What.Order, What.State};
  if (!isRecorded)
    violate(fmt::format("engine {} obeyed an order that is not recorded",
                        What.Engine.text()));
  ++OrdersExecuted;
  engine.Report.IsChanging = true;
  engine.CurrentOrder = What.Order;
  schedule(RoleChangeTime,
           [this, id = What.Engine, What] { finishOrder(id, What); });
  return OrderAnswer::Accepted;
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

auto FakeFleet::violate(std::string What) -> void {
  Violations.push_back(fmt::format(
      "at {} ms: {}", toMilliseconds(Now.time_since_epoch()), What));
}

auto FakeFleet::checkAnswer(SubmittedCall const &Told) -> void {
  auto const &answer = Told.Answers.back().Answer;
  if (Told.Answers.size() > 1)
    violate("a call got two final answers");
  if (answer.Result == Outcome::NotRun)
    checkNotRun(Told);
  if (Told.Request.Kind == CallKind::Service) {
    if (answer.Result == Outcome::Completed &&
        answer.Body != *Told.Request.Body)
      violate("a booking got the answer to another one");
    return;
  }
  auto isWhole = Told.Tokens.size() == Told.Request.MaximumTokens;
  if (answer.Result == Outcome::Completed && !isWhole)
    violate("a completed answer is not whole");
  for (auto n = std::size_t{0}; n < Told.Tokens.size(); ++n)
    if (Told.Tokens[n] !=
        tokenText(*Told.Request.Body, static_cast<std::uint32_t>(n + 1)))
      violate("a token is missing, repeated or another call's");
}

auto FakeFleet::checkNotRun(SubmittedCall const &Told) -> void {
  auto const &key = Told.Request.Key.text();
  if (Told.Request.Kind != CallKind::Service)
    return;
  if (executions(key) > 0 || BookingsUnderWay[key] > 0)
    violate("not-run was said of a booking that ran: " + key);
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
           showsState(Item.second.Report, *wanted);
  });
}

} // namespace dotterel::test
