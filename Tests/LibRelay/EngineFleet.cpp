#include "LibRelay/EngineFleetImplementation.h"

#include "LibRelay/RelayNode.h"

#include <algorithm>
#include <fmt/format.h>

namespace dotterel::relay::test {

namespace {

constexpr auto TickInterval = Duration{50ms};
constexpr auto ReportDelay = Duration{2ms};

} // namespace

auto makeRequest(FleetCall const &Call) -> Request {
  auto content = Request{};
  content.Method = "POST";
  content.Target = pathPrefix(Call.Route) + Call.Item + Call.Query;
  content.Host = "h";
  content.CallerAddress = Call.CallerAddress;
  content.TimeLimit = 4s;
  content.Model = "m";
  for (auto const &it : Call.Segments)
    content.PromptTokens += it.Tokens;
  content.PromptSegments = Call.Segments;
  return content;
}

EngineFleet::Implementation::Implementation(EngineFleetOptions Options)
    : Options(Options), Random(Options.Seed) {
  for (auto n = 0U; n < Options.PrefillEngines + Options.DecodeEngines; ++n) {
    auto stage =
        n < Options.PrefillEngines ? EngineStage::Prefill : EngineStage::Decode;
    auto engine = Engine{};
    engine.Description = describeServer(fmt::format("e{}", n), "model", stage);
    Engines.push_back(std::move(engine));
  }
  for (auto n = 0U; n < Options.PlainServers; ++n) {
    auto server = Engine{};
    server.Description = describeServer(fmt::format("p{}", n), "plain");
    Engines.push_back(std::move(server));
  }
  for (auto const &it : Engines)
    Addresses[it.Description.Id] = it.Description.Address;
  Nodes.resize(Options.Instances);
  for (auto n = 0U; n < Options.Instances; ++n)
    startInstance(n);
}

auto EngineFleet::Implementation::startInstance(unsigned Instance) -> void {
  auto &node = Nodes[Instance];
  auto self = Identity{};
  self.Instance = fmt::format("i{}", Instance);
  self.Incarnation = ++Incarnations;
  self.Domain = "a";
  self.CallerAddress = "c-" + self.Instance;
  self.PeerAddress = "p-" + self.Instance;
  auto options = relay::Options{};
  options.Retries = Options.Retries;
  node.Incarnation = self.Incarnation;
  node.IsUp = true;
  node.CurrentState = makeState(self, options, Clock.now());
  feed(Instance, StoreReachabilityObserved{true, ""});
  feed(Instance, ConfigurationReceived{makeConfiguration(1), atRevision(1)});
  feed(Instance, ConfigurationConfirmed{atRevision(Revision)});
  auto listed = ServersListed{{}, atRevision(Revision)};
  for (auto const &it : Engines) {
    if (it.IsUp)
      listed.Servers.push_back(it.Description);
  }
  feed(Instance, std::move(listed));
  auto peers = PeersListed{};
  for (auto n = 0U; n < Options.Instances; ++n)
    peers.Peers.push_back({fmt::format("i{}", n), fmt::format("p-i{}", n)});
  feed(Instance, std::move(peers));
  feed(Instance,
       QuarantineListed{{StoredSuspects.begin(), StoredSuspects.end()}});
  tick(Instance, node.Incarnation);
}

auto EngineFleet::Implementation::tick(unsigned Instance,
                                       std::uint64_t Incarnation) -> void {
  if (!isCurrent(Instance, Incarnation))
    return;
  if (Clock.now() >= Nodes[Instance].FrozenUntil) {
    feed(Instance, StoreReachabilityObserved{true, ""});
    feed(Instance, Tick{});
  }
  Clock.schedule(TickInterval, [=, this] { tick(Instance, Incarnation); });
}

auto EngineFleet::Implementation::isCurrent(unsigned Instance,
                                            std::uint64_t Incarnation) const
    -> bool {
  return Nodes[Instance].IsUp && Nodes[Instance].Incarnation == Incarnation;
}

auto EngineFleet::Implementation::feed(unsigned Instance, EventBody Body)
    -> void {
  auto effects =
      reduce(Nodes[Instance].CurrentState, Event{Clock.now(), std::move(Body)});
  for (auto &it : effects)
    std::visit([&](auto &Effect) { carryOut(Instance, Effect); }, it);
}

auto EngineFleet::Implementation::feedLater(Duration After, unsigned Instance,
                                            EventBody Body) -> void {
  auto incarnation = Nodes[Instance].Incarnation;
  Clock.schedule(After, [=, this, body = std::move(Body)] {
    if (!isCurrent(Instance, incarnation))
      return;
    auto frozen = Nodes[Instance].FrozenUntil - Clock.now();
    if (frozen > Duration{})
      feedLater(frozen, Instance, body);
    else
      feed(Instance, body);
  });
}

auto EngineFleet::Implementation::carryOut(unsigned Instance,
                                           ConnectAttempt &Effect) -> void {
  auto const *engine = findEngine(Effect.Address);
  if (engine != nullptr && engine->IsUp)
    feedLater(NetworkDelay, Instance, AttemptConnected{Effect.Attempt});
  else
    feedLater(NetworkDelay, Instance,
              AttemptUnreachable{Effect.Attempt, "connection failed"});
}

auto EngineFleet::Implementation::carryOut(unsigned Instance,
                                           SendAttempt &Effect) -> void {
  auto request = Nodes[Instance].Callers.at(Effect.Attempt.Request);
  auto run = Run{Instance,
                 Nodes[Instance].Incarnation,
                 Effect.Attempt,
                 request,
                 Effect.Parameters.IsPrefill,
                 Record.Requests[request].CrashesEngines};
  auto server = Effect.Parameters.ExpectedServer;
  Clock.schedule(NetworkDelay, [=, this] { arrive(server, run); });
}

auto EngineFleet::Implementation::carryOut(unsigned /*Instance*/,
                                           StoreQuarantine &Effect) -> void {
  StoredSuspects.push_back(Effect.Suspect);
}

auto EngineFleet::Implementation::carryOut(unsigned /*Instance*/,
                                           DeleteQuarantine &Effect) -> void {
  std::erase_if(StoredSuspects,
                [&](Suspect const &it) { return it.Key == Effect.Key; });
}

auto EngineFleet::Implementation::carryOut(unsigned Instance,
                                           CancelAttempt &Effect) -> void {
  for (auto &engine : Engines)
    std::erase_if(engine.Runs, [&](auto const &it) {
      return it.second.Instance == Instance &&
             it.second.Incarnation == Nodes[Instance].Incarnation &&
             it.second.Attempt == Effect.Attempt;
    });
}

auto EngineFleet::Implementation::carryOut(unsigned Instance,
                                           SendPeerReport &Effect) -> void {
  auto report = *decodePeerReport(encodePeerReport(Effect.Report));
  report.PeerAddress = Nodes[Instance].CurrentState.Self.PeerAddress;
  auto recipients = std::set<std::string_view>(Effect.Addresses.begin(),
                                               Effect.Addresses.end());
  for (auto n = 0U; n < Nodes.size(); ++n) {
    auto isLost =
        std::uniform_real_distribution<double>()(Random) < Options.ReportLoss;
    if (!Nodes[n].IsUp || isLost || isCut(Instance, n) ||
        !recipients.contains(Nodes[n].CurrentState.Self.PeerAddress))
      continue;
    feedLater(ReportDelay, n, PeerReported{report});
  }
}

auto EngineFleet::Implementation::carryOut(unsigned Instance,
                                           SendPermitRequest &Effect) -> void {
  deliver(Instance, Effect.Address,
          PermitRequested{Nodes[Instance].CurrentState.Self.PeerAddress,
                          std::get<PermitRequest>(*decodePermitMessage(
                              encodePermitMessage(Effect.Request)))});
}

auto EngineFleet::Implementation::carryOut(unsigned Instance,
                                           SendPermitResponse &Effect) -> void {
  deliver(Instance, Effect.Address,
          PermitAnswered{std::get<PermitResponse>(
              *decodePermitMessage(encodePermitMessage(Effect.Response)))});
}

auto EngineFleet::Implementation::deliver(unsigned Sender,
                                          std::string const &Address,
                                          EventBody Body) -> void {
  auto it = std::ranges::find(Nodes, Address, [](Node const &Target) {
    return Target.CurrentState.Self.PeerAddress;
  });
  auto receiver = static_cast<unsigned>(it - Nodes.begin());
  auto isLost =
      std::uniform_real_distribution<double>()(Random) < Options.ReportLoss;
  if (it != Nodes.end() && it->IsUp && !isLost && !isCut(Sender, receiver))
    feedLater(ReportDelay, receiver, std::move(Body));
}

auto EngineFleet::Implementation::excuse(unsigned Instance, Duration Span)
    -> void {
  auto &until = Nodes[Instance].ExcusedUntil;
  until = std::max(until, Clock.now() + Span + ContactTime);
}

auto EngineFleet::Implementation::isCut(unsigned Left, unsigned Right) const
    -> bool {
  auto isSplit = Clock.now() < PartitionedUntil &&
                 (Left < PartitionSize) != (Right < PartitionSize);
  return isSplit || Clock.now() < Nodes[Left].CutUntil ||
         Clock.now() < Nodes[Right].CutUntil;
}

auto EngineFleet::Implementation::carryOut(unsigned Instance,
                                           ForwardResponse &Effect) -> void {
  (void)endCall(Instance, Effect.Number);
}

auto EngineFleet::Implementation::carryOut(unsigned Instance, EndStream &Effect)
    -> void {
  (void)endCall(Instance, Effect.Number);
}

auto EngineFleet::Implementation::carryOut(unsigned Instance,
                                           AbortStream &Effect) -> void {
  auto request = endCall(Instance, Effect.Number);
  if (request && Calls[*request].Route == RouteKind::Stream)
    retryLater(*request, {});
}

auto EngineFleet::Implementation::carryOut(unsigned Instance,
                                           SendErrorResponse &Effect) -> void {
  auto request = endCall(Instance, Effect.Number);
  if (!request)
    return;
  auto const route = Calls[*request].Route;
  Record.Requests[*request].IsQuarantined =
      Effect.Code == ResultCode::PromptQuarantined ||
      Effect.Code == ResultCode::RequestQuarantined;
  // Callers repeat other requests only if they did not run.
  if (route == RouteKind::Lookup || route == RouteKind::Stream ||
      impliesNotExecuted(describe(Effect.Code).HttpStatus))
    retryLater(*request, Effect.RetryAfter.value_or(Duration{}));
}

auto EngineFleet::Implementation::endCall(unsigned Instance,
                                          RequestNumber Number)
    -> std::optional<std::uint64_t> {
  auto node = Nodes[Instance].Callers.extract(Number);
  return node.empty() ? std::nullopt : std::optional(node.mapped());
}

auto EngineFleet::Implementation::retryLater(std::uint64_t Request,
                                             Duration After) -> void {
  if (Record.Requests[Request].IsCallerRetry)
    return;
  // Callers honour a time up to a third of what they have left.
  Clock.schedule(std::min<Duration>(After, 1s) + NetworkDelay,
                 [=, this] { send(FleetCall(Calls[Request]), true); });
}

auto EngineFleet::Implementation::send(FleetCall const &Call,
                                       bool IsCallerRetry) -> void {
  auto up = std::vector<unsigned>{};
  for (auto n = 0U; n < Nodes.size(); ++n) {
    if (Nodes[n].IsUp && Nodes[n].CurrentState.isReady() &&
        Clock.now() >= Nodes[n].FrozenUntil)
      up.push_back(n);
  }
  auto request = Record.Requests.size();
  Record.Requests.push_back({Clock.now(), isCrashing(Call), false,
                             IsCallerRetry, false, findCrashingCall(Call)});
  Calls.push_back(Call);
  if (up.empty())
    return;
  auto isUneven =
      Options.UnevenShare > 0 &&
      std::uniform_real_distribution<double>()(Random) < Options.UnevenShare;
  auto last = isUneven ? std::min<std::size_t>(up.size(), 2) : up.size();
  auto instance =
      up[std::uniform_int_distribution<std::size_t>(0, last - 1)(Random)];
  auto content = makeRequest(Call);
  content.Id = fmt::format("r{}", request);
  auto number = ++Nodes[instance].LastNumber;
  Nodes[instance].Callers[number] = request;
  feed(instance, RequestArrived{number, std::make_shared<relay::Request const>(
                                            std::move(content))});
}

EngineFleet::EngineFleet(EngineFleetOptions Options)
    : Impl(std::make_unique<Implementation>(Options)) {}

EngineFleet::~EngineFleet() = default;

auto EngineFleet::setCrashingSegment(std::uint64_t Hash) -> void {
  Impl->CrashingSegment = Hash;
}

auto EngineFleet::addCrashingCall(FleetCall Call) -> void {
  Impl->CrashingCalls.push_back(std::move(Call));
}

auto EngineFleet::send(FleetCall const &Call) -> void {
  Impl->send(Call, false);
}

auto EngineFleet::crashServer(std::string const &Service) -> void {
  auto up = std::vector<Implementation::Engine *>{};
  for (auto &it : Impl->Engines) {
    if (it.IsUp && it.Description.Service == Service)
      up.push_back(&it);
  }
  if (!up.empty())
    Impl->crash(*up[std::uniform_int_distribution<std::size_t>(
        0, up.size() - 1)(Impl->Random)]);
}

auto EngineFleet::schedule(Duration After, std::function<void()> Action)
    -> void {
  Impl->Clock.schedule(After, std::move(Action));
}

auto EngineFleet::run(Duration Span) -> void {
  Impl->Clock.runUntil(Impl->Clock.now() + Span);
}

auto EngineFleet::now() const -> Instant { return Impl->Clock.now(); }

auto EngineFleet::restartInstances(Duration Downtime) -> void {
  for (auto n = 0U; n < Impl->Nodes.size(); ++n) {
    Impl->Nodes[n].IsUp = false;
    Impl->Nodes[n].Callers.clear();
    Impl->Clock.schedule(Downtime, [this, n] { Impl->startInstance(n); });
  }
  for (auto &it : Impl->Engines)
    it.Runs.clear();
}

auto EngineFleet::restartInstance(unsigned Instance, Duration Downtime)
    -> void {
  auto &node = Impl->Nodes[Instance];
  if (!node.IsUp)
    return;
  Impl->excuse(Instance, Downtime);
  node.IsUp = false;
  node.Callers.clear();
  for (auto &engine : Impl->Engines)
    std::erase_if(engine.Runs, [&](auto const &it) {
      return it.second.Instance == Instance;
    });
  Impl->Clock.schedule(Downtime,
                       [this, Instance] { Impl->startInstance(Instance); });
}

auto EngineFleet::freezeInstance(unsigned Instance, Duration Span) -> void {
  Impl->excuse(Instance, Span);
  Impl->Nodes[Instance].FrozenUntil = Impl->Clock.now() + Span;
}

auto EngineFleet::cutInstance(unsigned Instance, Duration Span) -> void {
  Impl->excuse(Instance, Span);
  Impl->Nodes[Instance].CutUntil = Impl->Clock.now() + Span;
}

auto EngineFleet::partition(unsigned Count, Duration Span) -> void {
  Impl->PartitionSize = Count;
  Impl->PartitionedUntil = Impl->Clock.now() + Span;
}

auto EngineFleet::record() const -> FleetRecord const & { return Impl->Record; }

auto EngineFleet::setLimit(std::string const &Server,
                           std::optional<double> PerSecond) -> void {
  Impl->findById(Server)->RequestLimit = PerSecond;
}

auto EngineFleet::size() const -> unsigned { return Impl->Options.Instances; }

auto EngineFleet::state(unsigned Instance) const -> State const & {
  return Impl->Nodes[Instance].CurrentState;
}

} // namespace dotterel::relay::test
