// How an instance treats prompts with a segment in quarantine.
#include "LibRelay/RelayNode.h"

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

auto quarantineReport(std::uint64_t Number) -> PeerReport {
  auto message = report("i1", Number);
  message.Quarantine.Quarantined = {segmentKey()};
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
  cr_assert_eq(node.CurrentState.Quarantine.size(), 0);
  // The peer repeats its report and is told.
  node.feed(PeerReported{quarantineReport(2)});
  cr_assert_eq(node.CurrentState.Quarantine.size(), 0);
  auto const effects = node.advance(200ms);
  auto const *sent = effect<SendPeerReport>(effects);
  cr_assert_eq(sent->Report.Quarantine.Completed.at(0).Segment, segmentKey());
  // What the store still lists is out of date.
  node.feed(QuarantineListed{{segmentKey()}});
  cr_assert_eq(node.CurrentState.Quarantine.size(), 0);
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
  node.feed(QuarantineListed{{segmentKey()}});
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
  node.feed(QuarantineListed{{segmentKey()}});
  node.feed(Tick{});
  node.Now += 1h;
  node.feed(Tick{});
  auto const *deleted = effect<DeleteQuarantine>(node.LastEffects);
  cr_assert(deleted != nullptr && deleted->Segment == segmentKey());
}

Test(RelayQuarantine, ReportSurvivesTheDatagram) {
  auto message = report("i1", 1);
  message.Quarantine = {{{3, 4, {5, 6}}}, {{7, 1500ms}}, {8, 9}};
  auto decoded = decodePeerReport(encodePeerReport(message));
  cr_assert(decoded.has_value());
  auto const &read = decoded->Quarantine;
  cr_assert(read.Interrupted == message.Quarantine.Interrupted);
  cr_assert_eq(read.Completed.at(0).Segment, 7);
  cr_assert(read.Completed.at(0).Age == 1500ms);
  cr_assert(read.Quarantined == message.Quarantine.Quarantined);
}

} // namespace dotterel::relay::test
