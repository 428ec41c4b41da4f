// How an instance treats prompts with a segment in quarantine.
#include "LibRelay/RelayNode.h"

#include "LibCore/Hash.h"

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

constexpr auto Segment = std::uint64_t{0xbad};

auto crashingPrompt() -> std::vector<PromptSegment> {
  return prompt(Segment, 1000, 500);
}

/// Returns the key of the segment as the instance computes it.
auto segmentKey() -> SuspectKey {
  auto request = Request{};
  request.PromptSegments = crashingPrompt();
  return sharedSegments(request).at(0);
}

/// Returns the identity of the lookups that RelayNode sends.
auto lookupIdentity() -> RequestIdentity {
  auto request = Request{};
  request.Method = "POST";
  request.Target = pathPrefix(RouteKind::Lookup) + "x";
  request.Host = "h";
  return identify(request);
}

auto quarantineReport(std::uint64_t Number) -> PeerReport {
  auto message = report("i1", Number);
  message.Quarantine.Quarantined = {{{segmentKey(), SuspectKind::Segment}, {}}};
  return message;
}

auto advanceToDecode(RelayNode &Node, RequestNumber Number) -> void {
  while (Node.currentAttempt(Number)->IsPrefill) {
    (void)Node.connect(Number);
    Node.feed(AttemptPrefilled{Node.attemptId(Number), "handle"});
  }
  (void)Node.connect(Number);
}

/// Starts a stream of a prompt with the segment and lets an event arrive.
auto startStream(RelayNode &Node) -> RequestNumber {
  auto number = Node.request(RouteKind::Stream, crashingPrompt());
  advanceToDecode(Node, number);
  auto header = ServerResponse{};
  header.Status = 200;
  header.Framing = BodyFraming::Chunked;
  Node.feed(AttemptStreamStarted{Node.attemptId(number), header});
  Node.feed(AttemptEventsReceived{Node.attemptId(number),
                                  {{7, true, "id: 7\ndata: x\n\n"}}});
  return number;
}

auto removeEntry(RelayNode &Node, std::string const &Server,
                 std::uint64_t Revision) -> void {
  Node.feed(ServersUpdated{{{Server, atRevision(Revision), std::nullopt}},
                           atRevision(Revision)});
}

auto respond(RelayNode &Node, RequestNumber Number) -> void {
  auto response = ServerResponse{};
  response.Status = 200;
  Node.feed(AttemptResponded{Node.attemptId(Number), response});
}

/// Lets the engine of a stream send its only event and end the stream.
auto endStream(RelayNode &Node, RequestNumber Number) -> void {
  auto header = ServerResponse{};
  header.Status = 200;
  header.Framing = BodyFraming::Chunked;
  Node.feed(AttemptStreamStarted{Node.attemptId(Number), header});
  Node.feed(AttemptEventsReceived{Node.attemptId(Number),
                                  {{1, true, "id: 1\ndata: x\n\n"}}});
  Node.feed(AttemptStreamEnded{Node.attemptId(Number), ""});
}

/// Reports that a server crashed with a prompt in progress.
auto crashWith(RelayNode &Node, ServerKey Server,
               std::vector<PromptSegment> Segments) -> void {
  auto request = Request{};
  request.PromptSegments = std::move(Segments);
  auto &quarantine = Node.CurrentState.Quarantine;
  quarantine.recordInterruption(
      {Server, identify(request), sharedSegments(request), {}}, Node.Now);
  quarantine.recordCrash(Server, Node.Now);
}

} // namespace

Test(RelayQuarantine, RequestIsRefusedAtOnceWithTheTimeLeft) {
  auto node = RelayNode();
  node.feed(PeerReported{quarantineReport(1)});
  node.advance(1s);
  node.request(RouteKind::Stream, crashingPrompt());
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
  auto const *refused = effect<SendErrorResponse>(node.LastEffects);
  cr_assert(refused->Code == ResultCode::PromptQuarantined);
  cr_assert(*refused->RetryAfter == 1h - 1s);
  cr_assert(node.CurrentState.Requests.empty());
  node.request(RouteKind::Stream, prompt(1, 1000, 500));
  cr_assert_not_null(effect<ConnectAttempt>(node.LastEffects));
}

Test(RelayQuarantine, RequestsInProgressEndAndAreNotRetried) {
  auto node = RelayNode();
  auto unsent = node.request(RouteKind::Stream, crashingPrompt());
  auto sent = node.request(RouteKind::Stream, crashingPrompt());
  advanceToDecode(node, sent);
  auto statuses = std::map<RequestNumber, unsigned>{};
  node.feed(PeerReported{quarantineReport(1)});
  for (auto const &it : node.LastEffects) {
    if (auto const *refused = std::get_if<SendErrorResponse>(&it))
      statuses[refused->Number] = describe(refused->Code).HttpStatus;
  }
  cr_assert_eq(statuses[unsent], 503);
  // The engine may have begun to decode it.
  cr_assert_eq(statuses[sent], 502);
  cr_assert_geq(countEffects<CancelAttempt>(node.LastEffects), 1);
  cr_assert(node.CurrentState.Requests.empty());
}

Test(RelayQuarantine, StreamThatHasBegunGoesOnButIsNotResumed) {
  auto node = RelayNode();
  auto number = startStream(node);
  node.feed(PeerReported{quarantineReport(1)});
  cr_assert(node.CurrentState.Requests.contains(number));
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
  cr_assert_not_null(effect<AbortStream>(node.LastEffects));
}

Test(RelayQuarantine, CompletedStreamReleasesTheSegment) {
  auto node = RelayNode();
  auto number = startStream(node);
  node.feed(PeerReported{quarantineReport(1)});
  node.feed(AttemptStreamEnded{node.attemptId(number), ""});
  cr_assert_eq(node.CurrentState.Quarantine.segmentCount(), 0);
  // The peer repeats its report and is told.
  node.feed(PeerReported{quarantineReport(2)});
  cr_assert_eq(node.CurrentState.Quarantine.segmentCount(), 0);
  auto const effects = node.advance(200ms);
  auto const *sent = effect<SendPeerReport>(effects);
  cr_assert_eq(sent->Report.Quarantine.Cleared.at(0).Key, segmentKey());
  // What the store still lists is out of date.
  node.feed(QuarantineListed{{{segmentKey(), SuspectKind::Segment}}});
  cr_assert_eq(node.CurrentState.Quarantine.segmentCount(), 0);
  cr_assert_not_null(effect<DeleteQuarantine>(node.LastEffects));
}

Test(RelayQuarantine, OnlyWatchersWriteToTheStore) {
  for (auto isWatcher : {false, true}) {
    auto node = RelayNode();
    // An instance watches the store once it knows its peers.
    if (isWatcher)
      node.feed(PeersListed{});
    node.feed(PeerReported{quarantineReport(1)});
    node.feed(Tick{});
    cr_assert_eq(countEffects<StoreQuarantine>(node.LastEffects),
                 isWatcher ? 1 : 0);
  }
}

// The era may first be seen by a peer.
Test(RelayQuarantine, IsWrittenAgainInANewEraOfTheStore) {
  auto node = RelayNode();
  node.feed(PeersListed{});
  node.feed(QuarantineListed{{{segmentKey(), SuspectKind::Segment}}});
  node.feed(Tick{});
  cr_assert_eq(countEffects<StoreQuarantine>(node.LastEffects), 0);
  auto message = report("i1", 1);
  message.Watch.emplace().AsOf = {1, 5};
  node.feed(PeerReported{message});
  node.feed(Tick{});
  cr_assert_eq(countEffects<StoreQuarantine>(node.LastEffects), 1);
}

Test(RelayQuarantine, EndedQuarantineIsDeletedFromTheStore) {
  auto node = RelayNode();
  node.feed(PeersListed{});
  node.feed(QuarantineListed{{{segmentKey(), SuspectKind::Segment}}});
  node.feed(Tick{});
  node.Now += 1h;
  node.feed(Tick{});
  auto const *deleted = effect<DeleteQuarantine>(node.LastEffects);
  cr_assert(deleted != nullptr && deleted->Key == segmentKey());
}

Test(RelayQuarantine, ReportSurvivesTheDatagram) {
  auto message = report("i1", 1);
  message.Quarantine = {{{3, {14, 10, 11, 4, 15, 16}, {5, 6}, 20ms}},
                        {{7, 1500ms}},
                        {{{8, SuspectKind::Segment}, {}},
                         {{9, SuspectKind::Segment}, {}},
                         {{12, SuspectKind::Request}, 30ms},
                         {{13, SuspectKind::AmbiguousRequest}, 40ms},
                         {{17, SuspectKind::AmbiguousSegment}, 50ms}}};
  auto decoded = decodePeerReport(encodePeerReport(message));
  cr_assert(decoded.has_value());
  auto const &read = decoded->Quarantine;
  cr_assert(read.Interrupted == message.Quarantine.Interrupted);
  cr_assert_eq(read.Cleared.at(0).Key, 7);
  cr_assert(read.Cleared.at(0).Age == 1500ms);
  cr_assert(read.Quarantined == message.Quarantine.Quarantined);
}

Test(RelayQuarantine, RequestWithoutPromptIsRefusedAtOnce) {
  auto node = RelayNode();
  auto message = report("i1", 1);
  message.Quarantine.Quarantined = {
      {{lookupIdentity().Caller, SuspectKind::Request}, {}}};
  auto pending = node.request(RouteKind::Lookup);
  (void)node.connect(pending);
  node.feed(PeerReported{message});
  // The one in progress may have run.
  auto const *ended = effect<SendErrorResponse>(node.LastEffects);
  cr_assert(ended != nullptr && ended->Code == ResultCode::AnswerLost);
  node.request(RouteKind::Lookup);
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
  auto const *refused = effect<SendErrorResponse>(node.LastEffects);
  cr_assert(refused->Code == ResultCode::RequestQuarantined);
  cr_assert(*refused->RetryAfter == 1h);
  node.request(RouteKind::Booking);
  cr_assert_not_null(effect<ConnectAttempt>(node.LastEffects));
}

Test(RelayQuarantine, AnswerReleasesARequest) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Lookup);
  (void)node.connect(number);
  auto response = ServerResponse{};
  response.Status = 200;
  node.feed(AttemptResponded{node.attemptId(number), response});
  auto message = report("i1", 1);
  message.Quarantine.Quarantined = {
      {{lookupIdentity().Exact, SuspectKind::Request}, {}}};
  node.feed(PeerReported{message});
  cr_assert_eq(node.CurrentState.Quarantine.requestCount(), 0);
}

// A server that fails requests does not show that they are harmless.
Test(RelayQuarantine, ErrorOfAServerDoesNotReleaseARequest) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Lookup);
  (void)node.connect(number);
  auto response = ServerResponse{};
  response.Status = 500;
  node.feed(AttemptResponded{node.attemptId(number), response});
  auto message = report("i1", 1);
  message.Quarantine.Quarantined = {
      {{lookupIdentity().Exact, SuspectKind::Request}, {}}};
  node.feed(PeerReported{message});
  cr_assert_eq(node.CurrentState.Quarantine.requestCount(), 1);
}

// A trial is not sent to a second server; what comes after two of them is
// refused.
Test(RelayQuarantine, AmbiguousRequestIsTriedOnce) {
  auto node = RelayNode();
  node.feed(PeersListed{});
  node.advance(2s);
  auto message = report("i1", 1);
  message.Quarantine.Quarantined = {
      {{lookupIdentity().Exact, SuspectKind::AmbiguousRequest}, {}}};
  node.feed(PeerReported{message});
  auto number = node.request(RouteKind::Lookup);
  cr_assert(node.connect(number).has_value());
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
  node.request(RouteKind::Lookup);
  auto const *refused = effect<SendErrorResponse>(node.LastEffects);
  cr_assert(refused->Code == ResultCode::RequestQuarantined);
  cr_assert(*refused->RetryAfter == 1s);
}

// A trial that reaches no server does not count.
// Regression test: the trial was sent to one engine for the prefill and to
// another one to decode.
Test(RelayQuarantine, TrialOfAStreamReachesOneEngine) {
  auto node = RelayNode();
  node.feed(PeersListed{});
  node.advance(2s);
  auto const segments = prompt(1, 1000, 500);
  auto number = node.request(RouteKind::Stream, segments);
  cr_assert(node.currentAttempt(number)->IsPrefill);
  auto const key = node.CurrentState.Requests.at(number).Identity.Exact;
  node.feed(CallerDisconnected{number});
  auto message = report("i1", 1);
  message.Quarantine.Quarantined = {{{key, SuspectKind::AmbiguousRequest}, {}}};
  node.feed(PeerReported{message});
  number = node.request(RouteKind::Stream, segments);
  cr_assert_not(node.currentAttempt(number)->IsPrefill);
}

Test(RelayQuarantine, UnsentTrialIsRepeated) {
  auto node = RelayNode();
  node.feed(PeersListed{});
  node.advance(2s);
  auto message = report("i1", 1);
  message.Quarantine.Quarantined = {
      {{lookupIdentity().Exact, SuspectKind::AmbiguousRequest}, {}}};
  node.feed(PeerReported{message});
  for (auto n = 0; n < 4; ++n) {
    auto number = node.request(RouteKind::Lookup);
    cr_assert_not_null(effect<ConnectAttempt>(node.LastEffects));
    node.feed(CallerDisconnected{number});
  }
}

// An instance that does not coordinate the trial refuses the request.
Test(RelayQuarantine, AmbiguousRequestIsRefusedElsewhere) {
  auto node = RelayNode();
  node.feed(PeersListed{});
  auto key = lookupIdentity().Exact;
  // A peer with a higher score for the request.
  auto name = std::string();
  for (auto n = 0; name.empty(); ++n) {
    auto const candidate = "other" + std::to_string(n);
    if (rendezvousScore(key, "p-" + candidate) >
        rendezvousScore(key, node.CurrentState.Self.PeerAddress))
      name = candidate;
  }
  for (auto n = 1U; n <= 40; ++n) {
    node.feed(PeerReported{report(name, n)});
    node.advance(100ms);
  }
  auto message = report(name, 41);
  message.Quarantine.Quarantined = {{{key, SuspectKind::AmbiguousRequest}, {}}};
  node.feed(PeerReported{message});
  node.request(RouteKind::Lookup);
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
}

// Regression tests: a run of a server that had ended counted only once two
// instances had failed to connect, or its entry had lapsed.
Test(RelayQuarantine, ServerWithASuccessorAtItsAddressHasCrashed) {
  auto node = RelayNode();
  for (auto n = 0; n < 3; ++n) {
    auto number = node.request(RouteKind::Lookup);
    (void)node.connect(number);
    auto const server = node.currentAttempt(number)->Server;
    auto successor = node.CurrentState.Servers.find(server)->Description;
    node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
    node.feed(CallerDisconnected{number});
    successor.Id = "next-" + server;
    successor.StartedAt += 1;
    successor.Version = atRevision(10 + n);
    node.feed(ServersUpdated{{{successor.Id, successor.Version, successor}},
                             successor.Version});
    node.feed(ServersUpdated{{{server, atRevision(20 + n), std::nullopt}},
                             atRevision(20 + n)});
  }
  node.advance(500ms);
  // The request, and the same one with another query.
  cr_assert_eq(node.CurrentState.Quarantine.requestCount(), 2);
}

Test(RelayQuarantine, AbandonedAttemptCountsIfItsServerCrashed) {
  auto node = RelayNode();
  for (auto n = 0; n < 3; ++n) {
    auto number = node.request(RouteKind::Lookup);
    (void)node.connect(number);
    auto const server = node.currentAttempt(number)->Server;
    // The server loses power: nothing resets the connection.
    node.feed(ServersUpdated{{{server, atRevision(20 + n), std::nullopt}},
                             atRevision(20 + n)});
    node.feed(CallerDisconnected{number});
  }
  node.advance(500ms);
  // The request, and the same one with another query.
  cr_assert_eq(node.CurrentState.Quarantine.requestCount(), 2);
}

// Regression test: a request that another server at the address refused counted
// as in progress when the expected server crashed.
Test(RelayQuarantine, MisdirectedRequestWasNotInProgress) {
  auto node = RelayNode();
  for (auto n = 0; n < 3; ++n) {
    auto number = node.request(RouteKind::Lookup);
    (void)node.connect(number);
    auto response = ServerResponse{};
    response.Status = 421;
    response.IsMisdirected = true;
    node.feed(AttemptResponded{node.attemptId(number), response});
    node.feed(CallerDisconnected{number});
  }
  node.advance(500ms);
  cr_assert_eq(node.CurrentState.Quarantine.requestCount(), 0);
}

// Regression test: servers that left as planned, without a notice, counted as
// crashed with all requests in progress. These were ended, and their path was
// refused for an hour.
Test(RelayQuarantine, ServersThatLeaveWithoutNoticeHaveNotCrashed) {
  auto node = RelayNode();
  auto numbers = std::vector<RequestNumber>{};
  for (auto n = 0; n < 6; ++n) {
    numbers.push_back(node.request(RouteKind::Lookup));
    (void)node.connect(numbers.back());
  }
  for (auto n = 0; n < 3; ++n)
    removeEntry(node, "p" + std::to_string(n), 20 + n);
  node.advance(500ms);
  cr_assert_eq(node.CurrentState.Quarantine.requestCount(), 0);
  for (auto it : numbers)
    respond(node, it);
  cr_assert(node.CurrentState.Requests.empty());
}

// Regression test: as above, for callers that give up while their servers
// leave. A server that answers after its entry was removed has not crashed.
Test(RelayQuarantine, ServerThatAnswersAfterItsRemovalHasNotCrashed) {
  auto node = RelayNode();
  auto streams = std::vector<RequestNumber>{};
  for (auto n = 0; n < 3; ++n) {
    streams.push_back(startStream(node));
    auto const engine = node.currentAttempt(streams.back())->Server;
    auto const given = node.request(RouteKind::Stream, crashingPrompt());
    advanceToDecode(node, given);
    removeEntry(node, engine, 20 + n);
    node.feed(CallerDisconnected{given});
  }
  for (auto it : streams)
    node.feed(AttemptEventsReceived{node.attemptId(it),
                                    {{8, true, "id: 8\ndata: x\n\n"}}});
  node.advance(500ms);
  cr_assert_eq(node.CurrentState.Quarantine.requestCount(), 0);
  cr_assert_eq(node.CurrentState.Quarantine.segmentCount(), 0);
}

// Regression test: the segment that all prompts share was refused for an hour
// together with one beside it that crashes engines.
Test(RelayQuarantine, SoundSegmentBesideACrashingOneIsServedAgain) {
  constexpr auto Shared = std::uint64_t{0x500d};
  auto node = RelayNode();
  node.feed(PeersListed{});
  node.advance(2s);
  for (auto n = 0U; n < 5; ++n) {
    crashWith(node, 100 + n, {{Shared, 800}, {Segment, 410}, {200 + n, 250}});
    node.advance(100ms);
  }
  node.advance(2s);
  auto const sound = std::vector<PromptSegment>{{Shared, 800}, {300, 250}};
  auto number = node.request(RouteKind::Stream, sound);
  cr_assert_not_null(node.currentAttempt(number), "no prompt is tried");
  advanceToDecode(node, number);
  // Until its end, others are refused for a moment.
  node.request(RouteKind::Stream, sound);
  auto const *refused = effect<SendErrorResponse>(node.LastEffects);
  cr_assert(refused->Code == ResultCode::PromptQuarantined);
  cr_assert(*refused->RetryAfter == 1s);
  endStream(node, number);
  node.advance(100ms);
  cr_assert_eq(node.CurrentState.Quarantine.segmentCount(), 1);
  number = node.request(RouteKind::Stream, sound);
  cr_assert_not_null(node.currentAttempt(number));
  // The other one is the cause now.
  node.request(RouteKind::Stream, {{Segment, 410}, {301, 250}});
  refused = effect<SendErrorResponse>(node.LastEffects);
  cr_assert(refused->Code == ResultCode::PromptQuarantined);
  cr_assert(*refused->RetryAfter > 50min);
}

// Regression test: servers that lost power together after a quiet time put
// what their requests had in common into quarantine for an hour.
Test(RelayQuarantine, RequestsOfServersThatFailTogetherAreTriedAgain) {
  auto node = RelayNode();
  node.feed(PeersListed{});
  node.advance(6s);
  for (auto n = 0; n < 3; ++n) {
    auto const number = node.request(RouteKind::Booking);
    (void)node.connect(number);
    auto const server = node.currentAttempt(number)->Server;
    node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
    removeEntry(node, server, 20 + n);
  }
  for (auto n = 0U; n < 3; ++n)
    crashWith(node, 100 + n, {{Segment, 410}, {200 + n, 250}});
  node.advance(2s);
  auto const server = describeServer("p9", "plain");
  node.feed(
      ServersUpdated{{{server.Id, atRevision(30), server}}, atRevision(30)});
  auto number = node.request(RouteKind::Booking);
  cr_assert_not_null(node.currentAttempt(number));
  (void)node.connect(number);
  respond(node, number);
  number = node.request(RouteKind::Stream, crashingPrompt());
  cr_assert_not_null(node.currentAttempt(number));
  advanceToDecode(node, number);
  endStream(node, number);
  cr_assert_eq(node.CurrentState.Quarantine.requestCount(), 0);
  cr_assert_eq(node.CurrentState.Quarantine.segmentCount(), 0);
}

} // namespace dotterel::relay::test
