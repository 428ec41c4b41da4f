#include "LibRelay/EngineFleet.h"

#include "LibRelay/RelayNode.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <random>
#include <set>

namespace dotterel::relay::test {

namespace {

constexpr auto TickInterval = Duration{50ms};
constexpr auto NetworkDelay = Duration{1ms};
constexpr auto ReportDelay = Duration{2ms};
constexpr auto PrefillTime = Duration{20ms};
/// Time from the arrival at an engine until it begins to decode.
constexpr auto DecodeDelay = Duration{15ms};
/// Time from the begin of decoding until the engine crashes.
constexpr auto CrashDelay = Duration{50ms};
constexpr auto StreamTime = Duration{300ms};
constexpr auto LookupTime = Duration{60ms};
/// The store removes the entry of a silent server after three heartbeats.
constexpr auto EntryLifetime = Duration{3600ms};
constexpr auto StoreDelay = Duration{20ms};
constexpr auto MisdirectedStatus = 421U;

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

struct EngineFleet::Implementation {
  /// An attempt at an engine.
  struct Run {
    unsigned Instance = 0;
    std::uint64_t Incarnation = 0;
    AttemptId Attempt;
    std::uint64_t Request = 0;
    bool IsPrefill = false;
    bool CrashesEngine = false;
  };

  struct Engine {
    ServerDescription Description;
    bool IsUp = true;
    std::uint64_t NextRun = 0;
    std::map<std::uint64_t, Run> Runs;
    std::optional<double> RequestLimit;

    [[nodiscard]] auto notice() const -> ServerNotice {
      auto notice = ServerNotice{};
      notice.RequestLimit = RequestLimit;
      notice.NamesLimit = RequestLimit.has_value();
      return notice;
    }
  };

  struct Node {
    State CurrentState;
    bool IsUp = false;
    Instant FrozenUntil;
    Instant CutUntil;
    /// The rules do not count what the instance sends until then.
    Instant ExcusedUntil;
    std::uint64_t Incarnation = 0;
    RequestNumber LastNumber = 0;
    /// The callers' requests that have not ended, by number at the instance.
    std::map<RequestNumber, std::uint64_t> Callers;
  };

  explicit Implementation(EngineFleetOptions Options)
      : Options(Options), Random(Options.Seed) {
    for (auto n = 0U; n < Options.PrefillEngines + Options.DecodeEngines; ++n) {
      auto stage = n < Options.PrefillEngines ? EngineStage::Prefill
                                              : EngineStage::Decode;
      auto engine = Engine{};
      engine.Description =
          describeServer(fmt::format("e{}", n), "model", stage);
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

  auto startInstance(unsigned Instance) -> void {
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

  auto tick(unsigned Instance, std::uint64_t Incarnation) -> void {
    if (!isCurrent(Instance, Incarnation))
      return;
    if (Clock.now() >= Nodes[Instance].FrozenUntil) {
      feed(Instance, StoreReachabilityObserved{true, ""});
      feed(Instance, Tick{});
    }
    Clock.schedule(TickInterval, [=, this] { tick(Instance, Incarnation); });
  }

  [[nodiscard]] auto isCurrent(unsigned Instance,
                               std::uint64_t Incarnation) const -> bool {
    return Nodes[Instance].IsUp && Nodes[Instance].Incarnation == Incarnation;
  }

  auto feed(unsigned Instance, EventBody Body) -> void {
    auto effects = reduce(Nodes[Instance].CurrentState,
                          Event{Clock.now(), std::move(Body)});
    for (auto &it : effects)
      std::visit([&](auto &Effect) { carryOut(Instance, Effect); }, it);
  }

  /// Feeds an event later if the instance has not restarted by then.
  auto feedLater(Duration After, unsigned Instance, EventBody Body) -> void {
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

  template <typename T>
  auto carryOut(unsigned /*Instance*/, T & /*Effect*/) -> void {}

  auto carryOut(unsigned Instance, ConnectAttempt &Effect) -> void {
    auto const *engine = findEngine(Effect.Address);
    if (engine != nullptr && engine->IsUp)
      feedLater(NetworkDelay, Instance, AttemptConnected{Effect.Attempt});
    else
      feedLater(NetworkDelay, Instance,
                AttemptUnreachable{Effect.Attempt, "connection failed"});
  }

  auto carryOut(unsigned Instance, SendAttempt &Effect) -> void {
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

  /// Returns whether another server runs at the address that \p Server had.
  auto isReplaced(std::string const &Server) -> bool {
    auto it = Addresses.find(Server);
    auto const *current =
        it == Addresses.end() ? nullptr : findEngine(it->second);
    return current != nullptr && current->IsUp &&
           current->Description.Id != Server;
  }

  auto arrive(std::string const &Server, Run const &Arrived) -> void {
    auto it = std::ranges::find(Engines, Server, [](Engine const &Target) {
      return Target.Description.Id;
    });
    Record.Arrivals.push_back(
        {Clock.now(), Arrived.Request, Arrived.CrashesEngine, false, Server,
         Clock.now() < Nodes[Arrived.Instance].ExcusedUntil});
    if (isReplaced(Server)) {
      auto response = ServerResponse{};
      response.Status = MisdirectedStatus;
      response.IsMisdirected = true;
      return feedRun(Arrived, AttemptResponded{Arrived.Attempt, response});
    }
    if (it == Engines.end() || !it->IsUp)
      return interrupt(Arrived, "no response");
    auto number = ++it->NextRun;
    it->Runs[number] = Arrived;
    if (Arrived.IsPrefill) {
      Record.Arrivals.back().IsFirstPrefill =
          Prefilled.insert(Arrived.Request).second;
      Clock.schedule(PrefillTime, [=, this] {
        if (auto run = take(Server, number))
          feedRun(*run, AttemptPrefilled{run->Attempt, "handle",
                                         findById(Server)->notice()});
      });
      return;
    }
    if (it->Description.Stage == EngineStage::Any)
      return Clock.schedule(LookupTime, [=, this] { respond(Server, number); });
    Clock.schedule(DecodeDelay, [=, this] { begin(Server, number); });
  }

  /// Completes a lookup at a server of the plain service.
  auto respond(std::string const &Server, std::uint64_t Number) -> void {
    auto *target = findById(Server);
    if (target != nullptr && target->Runs.contains(Number) &&
        target->Runs.at(Number).CrashesEngine) {
      recordCrash(target->Runs.at(Number).Request);
      return crash(*target);
    }
    auto run = take(Server, Number);
    if (!run)
      return;
    Record.Requests[run->Request].HasBegun = true;
    auto response = ServerResponse{};
    response.Status = 200;
    response.Notice = findById(Server)->notice();
    feedRun(*run, AttemptResponded{run->Attempt, response});
  }

  auto begin(std::string const &Server, std::uint64_t Number) -> void {
    auto *engine = findById(Server);
    if (engine == nullptr || !engine->Runs.contains(Number))
      return;
    auto run = engine->Runs.at(Number);
    Record.Requests[run.Request].HasBegun = true;
    auto header = ServerResponse{};
    header.Status = 200;
    header.Framing = BodyFraming::Chunked;
    header.Notice = engine->notice();
    feedRun(run, AttemptStreamStarted{run.Attempt, header});
    if (run.CrashesEngine) {
      Clock.schedule(CrashDelay, [=, this] {
        auto *target = findById(Server);
        if (target == nullptr || !target->Runs.contains(Number))
          return;
        recordCrash(target->Runs.at(Number).Request);
        crash(*target);
      });
      return;
    }
    feedRun(run, AttemptEventsReceived{run.Attempt,
                                       {{1, true, "id: 1\ndata: x\n\n"}}});
    Clock.schedule(StreamTime, [=, this] {
      if (auto ended = take(Server, Number))
        feedRun(*ended, AttemptStreamEnded{ended->Attempt, ""});
    });
  }

  /// Removes a run from its engine, if it is still there.
  auto take(std::string const &Server, std::uint64_t Number)
      -> std::optional<Run> {
    auto *engine = findById(Server);
    if (engine == nullptr)
      return std::nullopt;
    auto node = engine->Runs.extract(Number);
    return node.empty() ? std::nullopt : std::optional(node.mapped());
  }

  auto feedRun(Run const &Target, EventBody Body) -> void {
    if (isCurrent(Target.Instance, Target.Incarnation))
      feedLater(NetworkDelay, Target.Instance, std::move(Body));
  }

  auto interrupt(Run const &Target, std::string Reason) -> void {
    feedRun(Target, AttemptInterrupted{Target.Attempt, std::move(Reason)});
  }

  auto crash(Engine &Target) -> void {
    if (!Target.IsUp)
      return;
    Target.IsUp = false;
    for (auto const &it : Target.Runs)
      interrupt(it.second, "stream truncated");
    Target.Runs.clear();
    auto id = Target.Description.Id;
    Clock.schedule(EntryLifetime, [=, this] { publish(id, std::nullopt); });
    Clock.schedule(Options.RestartTime, [&Target, this] {
      Target.Description.Id = fmt::format("r{}", ++Restarts);
      ++Target.Description.StartedAt;
      Addresses[Target.Description.Id] = Target.Description.Address;
      Target.IsUp = true;
      publish(Target.Description.Id, Target.Description);
    });
  }

  /// Writes a server's entry in the store, which all instances watch.
  auto publish(std::string const &Id, std::optional<ServerDescription> Entry)
      -> void {
    auto version = atRevision(++Revision);
    if (Entry)
      Entry->Version = version;
    for (auto n = 0U; n < Nodes.size(); ++n) {
      if (Nodes[n].IsUp)
        feedLater(StoreDelay, n,
                  ServersUpdated{{{Id, version, Entry}}, version});
    }
  }

  auto carryOut(unsigned /*Instance*/, StoreQuarantine &Effect) -> void {
    StoredSuspects.push_back(Effect.Suspect);
  }
  auto carryOut(unsigned /*Instance*/, DeleteQuarantine &Effect) -> void {
    std::erase_if(StoredSuspects,
                  [&](Suspect const &it) { return it.Key == Effect.Key; });
  }

  auto carryOut(unsigned Instance, CancelAttempt &Effect) -> void {
    for (auto &engine : Engines)
      std::erase_if(engine.Runs, [&](auto const &it) {
        return it.second.Instance == Instance &&
               it.second.Incarnation == Nodes[Instance].Incarnation &&
               it.second.Attempt == Effect.Attempt;
      });
  }

  auto carryOut(unsigned Instance, SendPeerReport &Effect) -> void {
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

  auto carryOut(unsigned Instance, SendPermitRequest &Effect) -> void {
    deliver(Instance, Effect.Address,
            PermitRequested{Nodes[Instance].CurrentState.Self.PeerAddress,
                            std::get<PermitRequest>(*decodePermitMessage(
                                encodePermitMessage(Effect.Request)))});
  }
  auto carryOut(unsigned Instance, SendPermitResponse &Effect) -> void {
    deliver(Instance, Effect.Address,
            PermitAnswered{std::get<PermitResponse>(
                *decodePermitMessage(encodePermitMessage(Effect.Response)))});
  }

  /// Delivers a datagram to the instance at \p Address, or loses it.
  auto deliver(unsigned Sender, std::string const &Address, EventBody Body)
      -> void {
    auto it = std::ranges::find(Nodes, Address, [](Node const &Target) {
      return Target.CurrentState.Self.PeerAddress;
    });
    auto receiver = static_cast<unsigned>(it - Nodes.begin());
    auto isLost =
        std::uniform_real_distribution<double>()(Random) < Options.ReportLoss;
    if (it != Nodes.end() && it->IsUp && !isLost && !isCut(Sender, receiver))
      feedLater(ReportDelay, receiver, std::move(Body));
  }

  /// Excuses an instance that fails for \p Span, until it is in contact again.
  auto excuse(unsigned Instance, Duration Span) -> void {
    auto &until = Nodes[Instance].ExcusedUntil;
    until = std::max(until, Clock.now() + Span + ContactTime);
  }

  /// Returns whether datagrams between two instances are lost.
  [[nodiscard]] auto isCut(unsigned Left, unsigned Right) const -> bool {
    auto isSplit = Clock.now() < PartitionedUntil &&
                   (Left < PartitionSize) != (Right < PartitionSize);
    return isSplit || Clock.now() < Nodes[Left].CutUntil ||
           Clock.now() < Nodes[Right].CutUntil;
  }

  auto carryOut(unsigned Instance, ForwardResponse &Effect) -> void {
    (void)endCall(Instance, Effect.Number);
  }
  auto carryOut(unsigned Instance, EndStream &Effect) -> void {
    (void)endCall(Instance, Effect.Number);
  }
  auto carryOut(unsigned Instance, AbortStream &Effect) -> void {
    auto request = endCall(Instance, Effect.Number);
    if (request && Calls[*request].Route == RouteKind::Stream)
      retryLater(*request, {});
  }
  auto carryOut(unsigned Instance, SendErrorResponse &Effect) -> void {
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

  /// Ends a caller's request and returns its index, unless it has ended.
  auto endCall(unsigned Instance, RequestNumber Number)
      -> std::optional<std::uint64_t> {
    auto node = Nodes[Instance].Callers.extract(Number);
    return node.empty() ? std::nullopt : std::optional(node.mapped());
  }

  /// Lets the caller repeat a request that failed, once.
  auto retryLater(std::uint64_t Request, Duration After) -> void {
    if (Record.Requests[Request].IsCallerRetry)
      return;
    // Callers honour a time up to a third of what they have left.
    Clock.schedule(std::min<Duration>(After, 1s) + NetworkDelay,
                   [=, this] { send(FleetCall(Calls[Request]), true); });
  }

  [[nodiscard]] auto isCrashing(FleetCall const &Call) const -> bool {
    auto isSegment = [this](auto const &it) {
      return it.Hash == CrashingSegment;
    };
    return std::ranges::any_of(Call.Segments, isSegment) ||
           findCrashingCall(Call) < CrashingCalls.size();
  }

  /// Returns the index of a crashing call, or the number of them.
  [[nodiscard]] auto findCrashingCall(FleetCall const &Call) const
      -> std::size_t {
    auto it = std::ranges::find_if(CrashingCalls, [&](FleetCall const &Known) {
      return Call.Route == Known.Route && Call.Item == Known.Item &&
             Call.CallerAddress == Known.CallerAddress;
    });
    return static_cast<std::size_t>(it - CrashingCalls.begin());
  }

  auto recordCrash(std::uint64_t Request) -> void {
    Record.Crashes.push_back(
        {Clock.now(), Record.Requests[Request].CrashingCall});
  }

  auto send(FleetCall const &Call, bool IsCallerRetry) -> void {
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
    feed(instance,
         RequestArrived{number, std::make_shared<relay::Request const>(
                                    std::move(content))});
  }

  auto findEngine(std::string const &Address) -> Engine * {
    auto it = std::ranges::find(Engines, Address, [](Engine const &Target) {
      return Target.Description.Address;
    });
    return it == Engines.end() ? nullptr : &*it;
  }

  auto findById(std::string const &Id) -> Engine * {
    auto it = std::ranges::find(Engines, Id, [](Engine const &Target) {
      return Target.Description.Id;
    });
    return it == Engines.end() || !it->IsUp ? nullptr : &*it;
  }

  EngineFleetOptions Options;
  std::mt19937_64 Random;
  VirtualScheduler Clock{Instant{} + 1h};
  std::vector<Engine> Engines;
  /// Addresses of all servers that ever ran, by id.
  std::map<std::string, std::string> Addresses;
  std::deque<Node> Nodes;
  /// The first instances lose contact with the others until then.
  unsigned PartitionSize = 0;
  Instant PartitionedUntil;
  std::uint64_t Incarnations = 0;
  std::uint64_t Revision = 2;
  unsigned Restarts = 0;
  std::uint64_t CrashingSegment = 0;
  std::vector<FleetCall> CrashingCalls;
  /// The suspects in quarantine that the store has.
  std::vector<Suspect> StoredSuspects;
  FleetRecord Record;
  std::vector<FleetCall> Calls;
  std::set<std::uint64_t> Prefilled;
};

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
