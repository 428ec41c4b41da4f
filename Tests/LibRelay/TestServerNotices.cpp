// What servers say about themselves in responses: that they are leaving, and
// that they want a pause.
#include "LibRelay/RelayNode.h"

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

constexpr auto Requests = 30;

auto respond(RelayNode &Node, RequestNumber Number, unsigned Status,
             ServerNotice const &Notice) -> void {
  auto response = ServerResponse{};
  response.Status = Status;
  response.IsNotExecuted = Status == 503;
  response.Notice = Notice;
  Node.feed(AttemptResponded{Node.attemptId(Number), response});
}

auto refuseWithPause(RelayNode &Node, RequestNumber Number, Duration Pause)
    -> void {
  respond(Node, Number, 503, {false, Pause});
}

/// Returns whether new lookups reach \p Server.
auto isUsed(RelayNode &Node, std::string const &Server) -> bool {
  for (auto n = 0; n < Requests; ++n) {
    auto number = Node.request(RouteKind::Lookup);
    auto const *attempt = Node.currentAttempt(number);
    auto isChosen = attempt != nullptr && attempt->Server == Server;
    Node.feed(CallerDisconnected{number});
    if (isChosen)
      return true;
  }
  return false;
}

/// Lets a lookup complete with a notice, and returns its server.
auto completeLookup(RelayNode &Node, ServerNotice const &Notice)
    -> std::string {
  auto number = Node.request(RouteKind::Lookup);
  (void)Node.connect(number);
  auto server = Node.currentAttempt(number)->Server;
  respond(Node, number, 200, Notice);
  return server;
}

/// Lets a server refuse a booking with a pause, and returns the server.
auto pauseOneServer(RelayNode &Node, Duration Pause) -> std::string {
  auto number = Node.request(RouteKind::Booking);
  (void)Node.connect(number);
  auto server = Node.currentAttempt(number)->Server;
  refuseWithPause(Node, number, Pause);
  return server;
}

auto relist(RelayNode &Node, std::string const &Server, std::uint64_t Revision,
            std::uint64_t StartedAt = 1) -> void {
  auto entry = describeServer(Server, "plain");
  entry.Version = atRevision(Revision);
  entry.StartedAt = StartedAt;
  Node.feed(ServersUpdated{{{Server, entry.Version, entry}}, entry.Version});
}

/// Checks that a server is not used after its entry was removed and listed
/// again, but is used in its next run.
auto assertUnusedUntilNextRun(RelayNode &Node, std::string const &Server)
    -> void {
  Node.feed(
      ServersUpdated{{{Server, atRevision(5), std::nullopt}}, atRevision(5)});
  relist(Node, Server, 6);
  cr_assert_not(isUsed(Node, Server));
  relist(Node, Server, 7, 2);
  cr_assert(isUsed(Node, Server));
}

} // namespace

Test(RelayLeaving, ServerThatSaysItLeavesGetsNoRequest) {
  auto node = RelayNode();
  auto server = completeLookup(node, {true, std::nullopt});
  cr_assert_not_null(effect<CloseIdleConnections>(node.LastEffects));
  cr_assert_not(isUsed(node, server));
  // The listing still says that it is ready, and says so again.
  relist(node, server, 9);
  cr_assert_not(isUsed(node, server));
}

Test(RelayLeaving, RefusalAndStreamHeaderCount) {
  for (auto isStream : {false, true}) {
    auto node = RelayNode();
    auto number = node.request(RouteKind::Stream);
    (void)node.connect(number);
    auto server = node.currentAttempt(number)->Server;
    if (isStream) {
      auto header = ServerResponse{};
      header.Status = 200;
      header.Notice.IsLeaving = true;
      node.feed(AttemptStreamStarted{node.attemptId(number), header});
    } else {
      respond(node, number, 503, {true, std::nullopt});
    }
    cr_assert(node.CurrentState.Servers.find(server)->isLeaving());
  }
}

Test(RelayLeaving, StreamInProgressContinues) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream);
  (void)node.connect(number);
  auto header = ServerResponse{};
  header.Status = 200;
  header.Notice.IsLeaving = true;
  node.feed(AttemptStreamStarted{node.attemptId(number), header});
  cr_assert_null(effect<CancelAttempt>(node.LastEffects));
  node.feed(
      AttemptEventsReceived{node.attemptId(number), {{1, true, "id: 1\n\n"}}});
  cr_assert_not_null(effect<ForwardBytes>(node.LastEffects));
  node.feed(AttemptStreamEnded{node.attemptId(number), ""});
  cr_assert_not_null(effect<EndStream>(node.LastEffects));
}

Test(RelayLeaving, StreamIsResumedElsewhere) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream);
  (void)node.connect(number);
  auto first = node.currentAttempt(number)->Server;
  auto header = ServerResponse{};
  header.Status = 200;
  header.Notice.IsLeaving = true;
  node.feed(AttemptStreamStarted{node.attemptId(number), header});
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert(node.currentAttempt(number)->Server != first);
}

Test(RelayLeaving, PrefilledPromptIsNotDecodedAtALeavingEngine) {
  auto node = RelayNode();
  for (auto const *it : {"d0", "d1"})
    node.feed(PeerReported{[&] {
      auto message = report("i1", it[1] - '0' + 1U);
      message.Leaving = {node.CurrentState.Servers.find(it)->Key};
      return message;
    }()});
  auto number = node.request(RouteKind::Stream, prompt(5, 13000, 3000));
  (void)node.connect(number);
  auto prefill = node.currentAttempt(number)->Server;
  node.feed(
      AttemptPrefilled{node.attemptId(number), "h1", {true, std::nullopt}});
  cr_assert(node.currentAttempt(number)->Server == "d2");
  cr_assert(node.CurrentState.Servers.find(prefill)->isLeaving());
  // The handle stays valid: engines transfer KV caches among themselves.
  cr_assert(node.connect(number)->Parameters.PrefillHandle == "h1");
}

Test(RelayLeaving, RequestThatWaitsForAConnectionGoesElsewhere) {
  auto node = RelayNode();
  auto waiting = node.request(RouteKind::Booking);
  auto server = node.currentAttempt(waiting)->Server;
  auto key = node.CurrentState.Servers.find(server)->Key;
  auto message = report("i1", 1);
  message.Leaving = {key};
  node.feed(PeerReported{message});
  cr_assert_not(node.connect(waiting).has_value());
  cr_assert(node.currentAttempt(waiting)->Server != server);
}

Test(RelayLeaving, PeersLearnOfLeavingServers) {
  auto node = RelayNode();
  node.feed(PeersListed{{{"i1", "p-i1"}}});
  auto server = completeLookup(node, {true, std::nullopt});
  auto key = node.CurrentState.Servers.find(server)->Key;
  auto effects = node.advance(200ms);
  cr_assert(effect<SendPeerReport>(effects)->Report.Leaving ==
            std::vector{key});
  auto peer = RelayNode("i9");
  auto message = report("i0", 1);
  message.Leaving = {key};
  peer.feed(PeerReported{message});
  cr_assert_not(isUsed(peer, server));
}

Test(RelayLeaving, KnownBeforeItsEntryIsListed) {
  auto node = RelayNode();
  auto late = describeServer("p7", "plain");
  late.Version = atRevision(9);
  auto message = report("i1", 1);
  message.Leaving = {late.key()};
  node.feed(PeerReported{message});
  node.feed(ServersUpdated{{{"p7", late.Version, late}}, late.Version});
  cr_assert_not(isUsed(node, "p7"));
}

Test(RelayLeaving, OutlivesRemovalAndEndsWithTheRun) {
  auto node = RelayNode();
  auto server = completeLookup(node, {true, std::nullopt});
  assertUnusedUntilNextRun(node, server);
}

Test(RelayLeaving, MisdirectedResponseSaysNothingAboutTheServer) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Lookup);
  (void)node.connect(number);
  auto server = node.currentAttempt(number)->Server;
  auto response = ServerResponse{};
  response.Status = 421;
  response.IsMisdirected = true;
  response.Notice.IsLeaving = true;
  node.feed(AttemptResponded{node.attemptId(number), response});
  cr_assert_not(node.CurrentState.Servers.find(server)->HasAnnouncedLeaving);
}

// Load: a server is overloaded and asks for a pause.
Test(RelayPause, PausedServerGetsNothingUntilTheEnd) {
  auto node = RelayNode();
  auto server = pauseOneServer(node, 3s);
  node.advance(2900ms);
  cr_assert_not(isUsed(node, server));
  node.advance(200ms);
  cr_assert(isUsed(node, server));
}

Test(RelayPause, RequestThatWaitsForAConnectionGoesElsewhere) {
  auto node = RelayNode();
  auto waiting = std::vector<RequestNumber>{};
  for (auto n = 0; n < Requests; ++n)
    waiting.push_back(node.request(RouteKind::Booking));
  auto first = waiting.front();
  (void)node.connect(first);
  auto server = node.currentAttempt(first)->Server;
  refuseWithPause(node, first, 3s);
  for (auto it : waiting) {
    if (it == first || node.currentAttempt(it)->Server != server)
      continue;
    cr_assert_not(node.connect(it).has_value());
    cr_assert(node.currentAttempt(it)->Server != server);
  }
}

Test(RelayPause, LastsBeyondRemovalButNotForOtherInstances) {
  auto node = RelayNode();
  node.feed(PeersListed{{{"i1", "p-i1"}}});
  auto server = pauseOneServer(node, 30s);
  auto sent = effect<SendPeerReport>(node.advance(200ms))->Report;
  cr_assert(sent.Unreachable.empty() && sent.Leaving.empty());
  assertUnusedUntilNextRun(node, server);
}

Test(RelayPause, ShorterPauseDoesNotEndALongerOne) {
  auto node = RelayNode();
  auto server = pauseOneServer(node, 5s);
  auto &target = *node.CurrentState.Servers.find(server);
  cr_assert(target.PausedUntil == node.Now + 5s);
  // A response that was on the way.
  node.feed(OrderResultReceived{
      server, OrderResult::Refused, 503, {false, Duration{1s}}});
  cr_assert(target.PausedUntil == node.Now + 5s);
}

// Load: all servers of a service are overloaded. Requests are refused at once
// and told when the first server takes requests again.
Test(RelayPause, RefusesAtOnceIfAllServersArePaused) {
  auto node = RelayNode();
  auto pause = Duration{2s};
  for (auto n = 0; n < 3; ++n) {
    (void)pauseOneServer(node, pause);
    pause += 1s;
  }
  node.advance(500ms);
  auto number = node.request(RouteKind::Booking);
  cr_assert_null(node.currentAttempt(number));
  auto const *refused = effect<SendErrorResponse>(node.LastEffects);
  cr_assert_not_null(refused);
  cr_assert_eq(describe(refused->Code).HttpStatus, 503);
  cr_assert(refused->RetryAfter == Duration{1500ms});
}

Test(RelayPause, CallerIsNotToldThePauseOfOneServer) {
  auto node = RelayNode();
  (void)pauseOneServer(node, 1h);
  auto const *refused = effect<SendErrorResponse>(node.LastEffects);
  cr_assert_not_null(refused);
  cr_assert(*refused->RetryAfter < 1s);
}

Test(RelayPause, HandleAtAPausedEngineIsLeftToExpire) {
  for (auto isPaused : {false, true}) {
    auto node = RelayNode();
    auto number = node.request(RouteKind::Stream, prompt(5, 13000, 3000));
    (void)node.connect(number);
    auto prefill = node.currentAttempt(number)->Server;
    node.feed(AttemptPrefilled{node.attemptId(number), "h1", {}});
    if (isPaused)
      node.CurrentState.Servers.find(prefill)->PausedUntil = node.Now + 3s;
    node.feed(CallerDisconnected{number});
    cr_assert_eq(countEffects<ReleasePrefill>(node.LastEffects),
                 isPaused ? 0 : 1);
  }
}

Test(RelayHistory, ForgetsTheOldestRunsFirst) {
  auto history = ServerHistory{};
  for (auto n = ServerKey{0}; n < ServerHistory::MaximumRuns + 5; ++n)
    history.at(n).HasAnnouncedLeaving = true;
  cr_assert_eq(history.size(), ServerHistory::MaximumRuns);
  cr_assert_null(history.find(4));
  cr_assert_not_null(history.find(5));
}

} // namespace dotterel::relay::test
