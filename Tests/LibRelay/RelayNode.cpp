#include "LibRelay/RelayNode.h"

#include <fmt/format.h>

namespace dotterel::relay::test {

namespace {

constexpr auto TickInterval = Duration{50ms};

auto makeRoute(std::string Name, std::string Prefix, std::string Service)
    -> Route {
  auto route = Route{};
  route.Name = std::move(Name);
  route.Host = "h";
  route.PathPrefix = std::move(Prefix);
  route.Timeout = 4s;
  route.TargetLatency = 600ms;
  route.TargetGap = 200ms;
  route.Services = {{std::move(Service), 1}};
  return route;
}

} // namespace

auto pathPrefix(RouteKind Route) -> std::string {
  switch (Route) {
  case RouteKind::Booking:
    return "/book/";
  case RouteKind::Lookup:
    return "/look/";
  case RouteKind::Stream:
    return "/stream/";
  case RouteKind::PlainStream:
    return "/once/";
  }
  return "/";
}

auto describeServer(std::string Id, std::string Service, EngineStage Stage)
    -> ServerDescription {
  auto server = ServerDescription{};
  server.Address = "10.0.0.1:" + Id;
  server.Id = std::move(Id);
  server.Service = std::move(Service);
  server.Domain = "a";
  server.Slots = Stage == EngineStage::Any ? 6 : 64;
  server.Stage = Stage;
  server.StartedAt = 1;
  server.Version = atRevision(2);
  return server;
}

auto makeConfiguration(std::uint64_t Version)
    -> std::shared_ptr<Configuration const> {
  auto booking = makeRoute("booking", "/book/", "plain");
  auto lookup = makeRoute("lookup", "/look/", "plain");
  lookup.IsIdempotent = true;
  lookup.MaximumServers = 2;
  auto stream = makeRoute("stream", "/stream/", "model");
  stream.IsStream = true;
  stream.IsResumable = true;
  stream.MaximumServers = 2;
  auto once = makeRoute("once", "/once/", "model");
  once.IsStream = true;
  auto engines = Service{"model", 800, EngineTraits{}};
  engines.Engine->Slots = 64;
  engines.Engine->KvCacheBytesPerToken = 163840;
  engines.Engine->LinkMegabitsPerSecond = 1600000;
  engines.Engine->SupportsCacheTransfer = true;
  return std::make_shared<Configuration const>(
      Version, std::vector<Route>{booking, lookup, stream, once},
      std::vector<Service>{{"plain", 200, std::nullopt}, engines},
      CallerLimits{});
}

auto addDecodeEngines(RelayNode &Node) -> void {
  for (auto n = 3; n < 12; ++n) {
    auto server =
        describeServer(fmt::format("d{}", n), "model", EngineStage::Decode);
    Node.feed(
        ServersUpdated{{{server.Id, server.Version, server}}, server.Version});
  }
}

auto report(std::string const &Name, std::uint64_t Number) -> PeerReport {
  auto message = PeerReport{};
  message.Instance = Name;
  message.Incarnation = 5;
  message.SequenceNumber = Number;
  message.CallerAddress = "c-" + Name;
  message.PeerAddress = "p-" + Name;
  message.IsReady = true;
  return message;
}

auto prompt(std::uint64_t Shared, std::uint32_t SharedTokens,
            std::uint32_t UnsharedTokens) -> std::vector<PromptSegment> {
  static auto nextHash = std::uint64_t{1000000};
  return {{Shared, SharedTokens}, {++nextHash, UnsharedTokens}};
}

RelayNode::RelayNode(std::string const &Instance) : Now(Instant{} + 1h) {
  auto self = Identity{};
  self.Instance = Instance;
  self.Incarnation = 7;
  self.Domain = "a";
  self.CallerAddress = "c-" + Instance;
  self.PeerAddress = "p-" + Instance;
  auto options = Options{};
  options.Retries.Slack = 100;
  CurrentState = makeState(self, options, Now);
  auto listed = ServersListed{{}, atRevision(2)};
  for (auto n = 0; n < 3; ++n) {
    listed.Servers.push_back(describeServer(fmt::format("p{}", n), "plain"));
    listed.Servers.push_back(
        describeServer(fmt::format("d{}", n), "model", EngineStage::Decode));
  }
  for (auto n = 0; n < 2; ++n)
    listed.Servers.push_back(
        describeServer(fmt::format("f{}", n), "model", EngineStage::Prefill));
  feed(StoreReachabilityObserved{true, ""});
  feed(ConfigurationReceived{makeConfiguration(1), atRevision(1)});
  feed(ConfigurationConfirmed{atRevision(2)});
  feed(listed);
  advance(3s);
}

auto RelayNode::feed(EventBody Body) -> Effects {
  LastEffects = reduce(CurrentState, Event{Now, std::move(Body)});
  return LastEffects;
}

auto RelayNode::advance(Duration Span) -> Effects {
  auto all = Effects{};
  for (auto elapsed = Duration{}; elapsed < Span; elapsed += TickInterval) {
    Now += TickInterval;
    if (HasStore)
      feed(StoreReachabilityObserved{true, ""});
    for (auto &it : feed(Tick{}))
      all.push_back(std::move(it));
  }
  LastEffects = all;
  return all;
}

auto RelayNode::request(RouteKind Route, std::vector<PromptSegment> Segments,
                        std::optional<Duration> TimeLimit,
                        std::uint64_t LastEvent) -> RequestNumber {
  auto content = Request{};
  content.Method = "POST";
  content.Target = pathPrefix(Route) + "x";
  content.Host = "h";
  content.Id = fmt::format("r{}", ++LastNumber);
  content.TimeLimit = TimeLimit;
  content.LastEventId = LastEvent;
  content.PromptSegments = std::move(Segments);
  for (auto const &it : content.PromptSegments)
    content.PromptTokens += it.Tokens;
  feed(RequestArrived{LastNumber,
                      std::make_shared<Request const>(std::move(content))});
  return LastNumber;
}

auto RelayNode::currentAttempt(RequestNumber Number) const -> Attempt const * {
  auto it = CurrentState.Requests.find(Number);
  if (it == CurrentState.Requests.end() || !it->second.CurrentAttempt)
    return nullptr;
  return &*it->second.CurrentAttempt;
}

auto RelayNode::attemptId(RequestNumber Number) const -> AttemptId {
  auto const *attempt = currentAttempt(Number);
  return {Number, attempt == nullptr ? 0 : attempt->Number};
}

auto RelayNode::connect(RequestNumber Number) -> std::optional<SendAttempt> {
  feed(AttemptConnected{attemptId(Number)});
  auto const *send = effect<SendAttempt>(LastEffects);
  return send == nullptr ? std::nullopt : std::optional(*send);
}

} // namespace dotterel::relay::test
