#include "LibRelay/Admission.h"
#include "LibRelay/Placement.h"
#include "LibRelay/RelayNode.h"

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

auto sharedHash(std::vector<PromptSegment> const &Segments) -> std::uint64_t {
  auto request = Request{};
  request.PromptSegments = Segments;
  return sharedPrefixes(request).back().Hash;
}

/// Records that a server has a prompt's shared prefix cached.
auto cacheAt(RelayNode &Node, std::string const &Server,
             std::vector<PromptSegment> const &Segments) -> void {
  auto key = Node.CurrentState.Servers.find(Server)->Key;
  Node.CurrentState.Prefixes.record(sharedHash(Segments), key, Node.Now);
}

} // namespace

// Load: many prompts with few shared prefixes. Prefilling a prefix again costs
// more than any wait that a single request causes.
Test(RelayPlacement, PromptIsPlacedWhereItsPrefixIsCached) {
  for (auto const *holder : {"f0", "f1"}) {
    auto node = RelayNode();
    auto segments = prompt(5, 13000, 3000);
    cacheAt(node, holder, segments);
    auto number = node.request(RouteKind::Stream, segments);
    cr_assert(node.currentAttempt(number)->Server == holder);
    cr_assert_eq(node.currentAttempt(number)->PromptTokens, 3000);
  }
}

// Load: one prefix is requested far more often than the others.
Test(RelayPlacement, PrefixIsCopiedFromAnOverloadedHolder) {
  auto node = RelayNode();
  auto segments = prompt(5, 13000, 3000);
  cacheAt(node, "f0", segments);
  node.CurrentState.Servers.find("f0")->OwnLoad.PromptTokens = 60000;
  auto number = node.request(RouteKind::Stream, segments);
  auto const *attempt = node.currentAttempt(number);
  cr_assert(attempt->Server != "f0");
  cr_assert(attempt->CacheSource ==
            node.CurrentState.Servers.find("f0")->Description.Address);
  cr_assert_eq(attempt->PromptTokens, 3000);
}

// Load: streams run at all engines that decode while long prompts arrive.
Test(RelayPlacement, PrefillDoesNotPauseRunningStreams) {
  auto node = RelayNode();
  for (auto const *it : {"d0", "d1", "d2"})
    node.CurrentState.Servers.find(it)->OwnLoad.Requests = 4;
  auto admitted = 0;
  for (auto n = 0U; n < 20; ++n) {
    auto number = node.request(RouteKind::Stream, prompt(100 + n, 2000, 1500));
    auto const *attempt = node.currentAttempt(number);
    if (attempt == nullptr)
      continue;
    ++admitted;
    cr_assert(attempt->IsPrefill);
  }
  cr_assert_gt(admitted, 5);
}

// Load: all instances start at once, without knowledge of the engines' caches.
Test(RelayPlacement, NewInstancesAssignPrefixesAlike) {
  for (auto n = 0U; n < 20; ++n) {
    auto segments = prompt(300 + n, 13000, 500);
    auto chosen = std::set<std::string>{};
    for (auto const *name : {"i0", "i1", "i2", "i3"}) {
      auto node = RelayNode(name);
      // The instances observe different loads.
      node.CurrentState.Servers.find(name[1] % 2 == 0 ? "f0" : "f1")
          ->PeerLoad.PromptTokens = 3000;
      chosen.insert(
          node.currentAttempt(node.request(RouteKind::Stream, segments))
              ->Server);
    }
    cr_assert_eq(chosen.size(), 1);
  }
}

// Load: long prompts while streams run at all engines that decode.
Test(RelayPlacement, PromptsWaitRatherThanPauseStreams) {
  auto node = RelayNode();
  for (auto const *it : {"d0", "d1", "d2"})
    node.CurrentState.Servers.find(it)->OwnLoad.Requests = 4;
  // A queue of two seconds at an engine that prefills 40,000 tokens per second.
  for (auto const *it : {"f0", "f1"})
    node.CurrentState.Servers.find(it)->PeerLoad.PromptTokens = 80000;
  auto inFlight = InFlightRequest{};
  inFlight.Config = node.CurrentState.Config;
  inFlight.MatchedRoute = node.CurrentState.Config->findRoute("h", "/stream/");
  inFlight.Service = "model";
  auto request = Request{};
  request.PromptTokens = 8000;
  inFlight.Content = std::make_shared<Request const>(request);
  auto chosen = Placement(node.CurrentState).choose(1, inFlight);
  cr_assert(chosen && chosen->IsPrefill);
}

Test(RelayPlacement, PrefilledPromptIsDecodedWithItsHandle) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(5, 13000, 3000));
  auto first = node.connect(number);
  cr_assert(first->Parameters.IsPrefill);
  auto address = node.currentAttempt(number)->Address;
  node.feed(AttemptPrefilled{node.attemptId(number), "h1"});
  auto second = node.connect(number);
  cr_assert_not(second->Parameters.IsPrefill);
  cr_assert(second->Parameters.PrefillAddress == address);
  cr_assert(second->Parameters.PrefillHandle == "h1");
  cr_assert(second->IsStream);
}

// Load: engines crash during prefill while streams run at all engines that
// decode. Prefill there would pause the streams.
Test(RelayPlacement, PromptIsPrefilledAtAnotherEngineAfterAFailure) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(5, 13000, 3000));
  (void)node.connect(number);
  auto first = node.currentAttempt(number)->Server;
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert(node.currentAttempt(number)->IsPrefill);
  cr_assert(node.currentAttempt(number)->Server != first);
  // The second prefill counts towards the limit on servers, so the next attempt
  // must run at an engine that decodes.
  (void)node.connect(number);
  cr_assert_eq(node.CurrentState.Requests.at(number).ServersUsed, 1);
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert_not(node.currentAttempt(number)->IsPrefill);
}

Test(RelayPlacement, ResumedStreamUsesSeparatePrefill) {
  auto node = RelayNode();
  auto segments = prompt(5, 13000, 3000);
  auto number = node.request(RouteKind::Stream, segments, std::nullopt, 14);
  auto prefill = node.connect(number);
  cr_assert(prefill->Parameters.IsPrefill);
  node.feed(AttemptPrefilled{node.attemptId(number), "h1"});
  auto resumed = node.connect(number);
  cr_assert(resumed->Parameters.PrefillHandle == "h1");
  cr_assert_eq(resumed->Parameters.LastEventId, 14);
}

Test(RelayPlacement, DrainingStaleAndChangingServersAreSkipped) {
  auto node = RelayNode();
  node.CurrentState.Servers.find("p0")->Description.IsDraining = true;
  node.CurrentState.Servers.find("p1")->HasStaleAddress = true;
  for (auto n = 0; n < 20; ++n) {
    auto number = node.request(RouteKind::Lookup);
    cr_assert(node.currentAttempt(number)->Server == "p2");
  }
  node.CurrentState.Servers.find("p2")->ChangingUntil = node.Now + 1s;
  (void)node.request(RouteKind::Lookup);
  auto const *refused = effect<SendErrorResponse>(node.LastEffects);
  cr_assert_not_null(refused);
  cr_assert_eq(describe(refused->Code).HttpStatus, 503);
}

// Load: hundreds of instances share the requests, so that each has few for any
// one server.
Test(RelayPlacement, IdleConnectionsAreReused) {
  constexpr auto RequestCount = 60;
  constexpr auto IdlePeriod = Duration{3s};
  auto node = RelayNode();
  auto reused = 0;
  auto last = std::string{};
  for (auto n = 0; n < RequestCount; ++n) {
    auto number = node.request(RouteKind::Lookup);
    auto server = node.currentAttempt(number)->Server;
    reused += server == last ? 1 : 0;
    last = server;
    (void)node.connect(number);
    node.feed(
        ConnectionReleased{node.attemptId(number), node.Now + IdlePeriod});
    auto response = ServerResponse{};
    response.Status = 200;
    node.feed(AttemptResponded{node.attemptId(number), response});
    node.advance(500ms);
  }
  cr_assert_gt(reused, RequestCount * 3 / 4);
}

Test(RelayPlacement, LoadWeighsMoreThanAnIdleConnection) {
  auto node = RelayNode();
  auto &busy = *node.CurrentState.Servers.find("p0");
  busy.IdleConnections.assign(50, node.Now + 3s);
  busy.OwnLoad.Requests = 5;
  for (auto n = 0; n < 20; ++n) {
    auto number = node.request(RouteKind::Lookup);
    cr_assert(node.currentAttempt(number)->Server != "p0");
    node.feed(CallerDisconnected{number});
  }
}

// Load: one server fails half of its requests but accepts connections.
Test(RelayPlacement, FailingServerGetsFewerRequests) {
  auto node = RelayNode();
  auto counts = std::map<std::string, int>{};
  for (auto n = 0; n < 300; ++n) {
    auto number = node.request(RouteKind::Lookup);
    auto server = node.currentAttempt(number)->Server;
    ++counts[server];
    (void)node.connect(number);
    if (server == "p0" && n % 2 == 0) {
      node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
      node.feed(CallerDisconnected{number});
      continue;
    }
    auto response = ServerResponse{};
    response.Status = 200;
    node.feed(AttemptResponded{node.attemptId(number), response});
  }
  cr_assert_lt(counts["p0"], 60);
}

// Load beyond the prefill capacity of the engines: the queue stays short,
// because requests that would exceed their target latency are refused at once.
Test(RelayAdmission, RefusesAtOnceWithRetryAfter) {
  auto node = RelayNode();
  auto refused = 0;
  for (auto n = 0U; n < 200; ++n) {
    (void)node.request(RouteKind::Stream, prompt(1000 + n, 100, 8000));
    auto const *response = effect<SendErrorResponse>(node.LastEffects);
    if (response == nullptr)
      continue;
    ++refused;
    cr_assert_eq(describe(response->Code).HttpStatus, 503);
    cr_assert(response->RetryAfter && *response->RetryAfter >= 200ms);
  }
  cr_assert_gt(refused, 100);
  cr_assert_gt(200 - refused, 5);
}

Test(RelayAdmission, LowerPriorityIsRefusedFirst) {
  auto inFlight = InFlightRequest{};
  auto route = Route{};
  route.TargetLatency = 1s;
  inFlight.Deadline = Instant{} + 10s;
  inFlight.MatchedRoute = &route;
  auto choice = Choice{};
  choice.Wait = 900ms;
  choice.Forecast = 1s;
  route.Priority = 0;
  cr_assert_not(checkAdmission(inFlight, choice, Instant{}).has_value());
  route.Priority = 2;
  cr_assert(checkAdmission(inFlight, choice, Instant{}).has_value());
}

Test(RelayAdmission, LargePromptIsNotRefusedForItsSize) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(5, 13000, 40000));
  cr_assert_not_null(node.currentAttempt(number));
}

} // namespace dotterel::relay::test
