#include "LibRelay/Admission.h"
#include "LibRelay/Placement.h"
#include "LibRelay/RelayNode.h"

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

auto sharedHash(std::vector<PromptSegment> const &Parts) -> std::uint64_t {
  auto request = Request{};
  request.PromptSegments = Parts;
  return sharedPrefixes(request).back().Hash;
}

/// Makes a server hold a prompt's shared beginning.
auto cacheAt(RelayNode &Node, std::string const &Server,
             std::vector<PromptSegment> const &Parts) -> void {
  auto key = Node.CurrentState.Servers.find(Server)->Key;
  Node.CurrentState.Prefixes.record(sharedHash(Parts), key, Node.Now);
}

} // namespace

// Load: many prompts with few beginnings. Reading a beginning anew costs more
// than any wait that a single request causes.
Test(RelayPlacement, PromptGoesWhereItsBeginningIsCached) {
  for (auto const *holder : {"f0", "f1"}) {
    auto node = RelayNode();
    auto parts = prompt(5, 13000, 3000);
    cacheAt(node, holder, parts);
    auto number = node.request(RouteKind::Stream, parts);
    cr_assert(node.currentAttempt(number)->Server == holder);
    cr_assert_eq(node.currentAttempt(number)->PromptTokens, 3000);
  }
}

// Load: one beginning is asked for far more often than the rest.
Test(RelayPlacement, OverloadedHolderIsCopiedFrom) {
  auto node = RelayNode();
  auto parts = prompt(5, 13000, 3000);
  cacheAt(node, "f0", parts);
  node.CurrentState.Servers.find("f0")->OwnLoad.PromptTokens = 60000;
  auto number = node.request(RouteKind::Stream, parts);
  auto const *attempt = node.currentAttempt(number);
  cr_assert(attempt->Server != "f0");
  cr_assert(attempt->CacheSource ==
            node.CurrentState.Servers.find("f0")->Description.Address);
  cr_assert_eq(attempt->PromptTokens, 3000);
}

// Load: streams run at all engines that make tokens while long prompts come.
Test(RelayPlacement, RunningStreamsAreNotPausedByReading) {
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

// Load: all instances start at once and have to find what engines keep.
Test(RelayPlacement, InstancesThatKnowNothingDealBeginningsAlike) {
  for (auto n = 0U; n < 20; ++n) {
    auto parts = prompt(300 + n, 13000, 500);
    auto chosen = std::set<std::string>{};
    for (auto const *name : {"i0", "i1", "i2", "i3"}) {
      auto node = RelayNode(name);
      // Instances do not see the same loads.
      node.CurrentState.Servers.find(name[1] % 2 == 0 ? "f0" : "f1")
          ->PeerLoad.PromptTokens = 3000;
      chosen.insert(
          node.currentAttempt(node.request(RouteKind::Stream, parts))->Server);
    }
    cr_assert_eq(chosen.size(), 1);
  }
}

// Load: long prompts while streams run at all engines that make tokens.
Test(RelayPlacement, PromptsWaitRatherThanPauseStreams) {
  auto node = RelayNode();
  for (auto const *it : {"d0", "d1", "d2"})
    node.CurrentState.Servers.find(it)->OwnLoad.Requests = 4;
  // A queue of two seconds at an engine that reads 40,000 tokens per second.
  for (auto const *it : {"f0", "f1"})
    node.CurrentState.Servers.find(it)->PeerLoad.PromptTokens = 80000;
  auto call = InFlightRequest{};
  call.Config = node.CurrentState.Config;
  call.MatchedRoute = node.CurrentState.Config->findRoute("h", "/stream/");
  call.Service = "model";
  auto request = Request{};
  request.PromptTokens = 8000;
  call.Content = std::make_shared<Request const>(request);
  auto chosen = Placement(node.CurrentState).choose(1, call);
  cr_assert(chosen && chosen->IsPrefill);
}

Test(RelayPlacement, ReadPromptContinuesWithItsHandle) {
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

// Load: engines crash while they read prompts, and streams run at all engines
// that make tokens. Reading there would pause the streams.
Test(RelayPlacement, PromptIsReadAtAnotherEngineAfterAFailure) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(5, 13000, 3000));
  (void)node.connect(number);
  auto first = node.currentAttempt(number)->Server;
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert(node.currentAttempt(number)->IsPrefill);
  cr_assert(node.currentAttempt(number)->Server != first);
  // The second reading counts as a server, so the next must make the tokens.
  (void)node.connect(number);
  cr_assert_eq(node.CurrentState.Requests.at(number).ServersUsed, 1);
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert_not(node.currentAttempt(number)->IsPrefill);
}

Test(RelayPlacement, StreamThatItsCallerResumesIsReadApart) {
  auto node = RelayNode();
  auto parts = prompt(5, 13000, 3000);
  auto number = node.request(RouteKind::Stream, parts, std::nullopt, 14);
  auto reading = node.connect(number);
  cr_assert(reading->Parameters.IsPrefill);
  node.feed(AttemptPrefilled{node.attemptId(number), "h1"});
  auto resumed = node.connect(number);
  cr_assert(resumed->Parameters.PrefillHandle == "h1");
  cr_assert_eq(resumed->Parameters.LastEventId, 14);
}

Test(RelayPlacement, LeavingMisplacedAndChangingServersAreLeftOut) {
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

// Load: one server fails half of its requests while it looks healthy.
Test(RelayPlacement, FailingServerGetsLess) {
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
    auto answer = ServerResponse{};
    answer.Status = 200;
    node.feed(AttemptResponded{node.attemptId(number), answer});
  }
  cr_assert_lt(counts["p0"], 60);
}

// Load beyond what the engines can read: the queue stays short, because what
// would wait longer than callers aim for is refused at once.
Test(RelayAdmission, RefusesAtOnceWithATimeToComeBack) {
  auto node = RelayNode();
  auto refused = 0;
  for (auto n = 0U; n < 200; ++n) {
    (void)node.request(RouteKind::Stream, prompt(1000 + n, 100, 8000));
    auto const *answer = effect<SendErrorResponse>(node.LastEffects);
    if (answer == nullptr)
      continue;
    ++refused;
    cr_assert_eq(describe(answer->Code).HttpStatus, 503);
    cr_assert(answer->RetryAfter && *answer->RetryAfter >= 200ms);
  }
  cr_assert_gt(refused, 100);
  cr_assert_gt(200 - refused, 5);
}

Test(RelayAdmission, LessUrgentIsRefusedFirst) {
  auto call = InFlightRequest{};
  auto route = Route{};
  route.TargetLatency = 1s;
  call.Deadline = Instant{} + 10s;
  call.MatchedRoute = &route;
  auto choice = Choice{};
  choice.Wait = 900ms;
  choice.Forecast = 1s;
  route.Priority = 0;
  cr_assert_not(checkAdmission(call, choice, Instant{}).has_value());
  route.Priority = 2;
  cr_assert(checkAdmission(call, choice, Instant{}).has_value());
}

Test(RelayAdmission, LargePromptIsNotRefusedForItsOwnSize) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(5, 13000, 40000));
  cr_assert_not_null(node.currentAttempt(number));
}

} // namespace dotterel::relay::test
