#include "LibRelay/EventFramer.h"
#include "LibRelay/RelayNode.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

auto event(std::uint64_t Id) -> StreamEvent {
  return {Id, true, fmt::format("id: {}\ndata: x\n\n", Id)};
}

auto header(BodyFraming Framing = BodyFraming::Chunked) -> ServerResponse {
  auto response = ServerResponse{};
  response.Status = 200;
  response.Framing = Framing;
  return response;
}

/// Advances a request past prefill to the engine that decodes.
auto reachDecode(RelayNode &Node, RequestNumber Number,
                 BodyFraming Framing = BodyFraming::Chunked) -> void {
  while (Node.currentAttempt(Number)->IsPrefill) {
    (void)Node.connect(Number);
    Node.feed(AttemptPrefilled{Node.attemptId(Number), "handle"});
  }
  (void)Node.connect(Number);
  Node.feed(AttemptStreamStarted{Node.attemptId(Number), header(Framing)});
}

/// Starts a stream and lets event 7 arrive.
auto startStream(RelayNode &Node, RouteKind Route) -> RequestNumber {
  auto number = Node.request(Route, prompt(1, 1000, 500));
  reachDecode(Node, number);
  Node.feed(AttemptEventsReceived{Node.attemptId(number), {event(7)}});
  return number;
}

} // namespace

Test(RelayStreams, HeaderWaitsForTheFirstEvent) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(1, 1000, 500));
  reachDecode(node, number);
  cr_assert_null(effect<BeginStream>(node.LastEffects));
  node.feed(AttemptEventsReceived{node.attemptId(number), {event(7)}});
  cr_assert_not_null(effect<BeginStream>(node.LastEffects));
  cr_assert_not_null(effect<ForwardBytes>(node.LastEffects));
}

Test(RelayStreams, InterruptedStreamIsResumedAfterTheLastEvent) {
  auto node = RelayNode();
  auto number = startStream(node, RouteKind::Stream);
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert_null(effect<AbortStream>(node.LastEffects));
  auto send = node.connect(number);
  cr_assert(send.has_value());
  cr_assert_eq(send->Parameters.LastEventId, 7);
  node.feed(AttemptStreamStarted{node.attemptId(number), header()});
  // The server repeats an event that the caller already has.
  node.feed(
      AttemptEventsReceived{node.attemptId(number), {event(7), event(14)}});
  cr_assert_null(effect<BeginStream>(node.LastEffects));
  auto const *bytes = effect<ForwardBytes>(node.LastEffects);
  cr_assert_not_null(bytes);
  cr_assert(bytes->Bytes == event(14).Bytes);
  node.feed(AttemptStreamEnded{node.attemptId(number), ""});
  cr_assert_not_null(effect<EndStream>(node.LastEffects));
}

Test(RelayStreams, EndIsLoggedWithItsFraming) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(1, 1000, 500));
  reachDecode(node, number, BodyFraming::UntilClose);
  node.feed(AttemptEventsReceived{node.attemptId(number), {event(7)}});
  node.feed(AttemptStreamEnded{node.attemptId(number), ""});
  auto const *line = effect<WriteLog>(node.LastEffects);
  cr_assert(line->Event == "stream-ended");
  cr_assert(line->Pairs.ends_with(
      "framing=until-close remainder_bytes=0 last_event=7"));
  auto const *counter = effect<IncrementCounter>(node.LastEffects);
  cr_assert_eq(counter->Metric, CounterMetric::StreamEnds);
  cr_assert(counter->Label == "until-close");
}

Test(RelayStreams, StreamThatEndsInsideAnEventIsResumed) {
  auto node = RelayNode();
  auto number = startStream(node, RouteKind::Stream);
  auto first = node.currentAttempt(number)->Server;
  node.feed(AttemptStreamEnded{node.attemptId(number), "id: 14\ndat"});
  cr_assert_null(effect<EndStream>(node.LastEffects));
  cr_assert_null(effect<ForwardBytes>(node.LastEffects));
  auto send = node.connect(number);
  cr_assert(send.has_value());
  cr_assert_eq(send->Parameters.LastEventId, 7);
  cr_assert(node.currentAttempt(number)->Server != first);
}

Test(RelayStreams, StreamThatEndsInsideAnEventIsAbortedIfItCannotBeResumed) {
  auto node = RelayNode();
  auto number = startStream(node, RouteKind::PlainStream);
  node.feed(AttemptStreamEnded{node.attemptId(number), "id: 14\ndat"});
  cr_assert_null(effect<EndStream>(node.LastEffects));
  cr_assert_null(effect<ForwardBytes>(node.LastEffects));
  cr_assert_not_null(effect<AbortStream>(node.LastEffects));
}

// Without a length or chunks, a server that fails before its first event looks
// like one that ends an empty stream.
Test(RelayStreams, UnframedStreamWithoutEventsIsNotComplete) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::PlainStream, prompt(1, 1000, 500));
  reachDecode(node, number, BodyFraming::UntilClose);
  node.feed(AttemptStreamEnded{node.attemptId(number), ""});
  cr_assert_null(effect<EndStream>(node.LastEffects));
  auto const *error = effect<SendErrorResponse>(node.LastEffects);
  cr_assert_not_null(error);
  cr_assert_eq(error->Code, ResultCode::AnswerLost);
}

// Blank lines and comments after the last event are not part of an event.
Test(RelayStreams, BytesBetweenEventsAtTheEndAreForwarded) {
  for (auto const *it : {"\n", "\r\n", ": done\n", ": do"}) {
    auto node = RelayNode();
    auto number = startStream(node, RouteKind::Stream);
    node.feed(AttemptStreamEnded{node.attemptId(number), it});
    cr_assert_not_null(effect<EndStream>(node.LastEffects), "%s", it);
    cr_assert(effect<ForwardBytes>(node.LastEffects)->Bytes == it);
  }
}

Test(RelayStreams, NonResumableStreamIsAborted) {
  auto node = RelayNode();
  auto number = startStream(node, RouteKind::PlainStream);
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert_not_null(effect<AbortStream>(node.LastEffects));
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
}

Test(RelayStreams, StalledStreamIsResumedAtAnotherServer) {
  auto node = RelayNode();
  auto number = startStream(node, RouteKind::Stream);
  auto first = node.currentAttempt(number)->Server;
  auto effects = node.advance(1200ms);
  cr_assert_not_null(effect<CancelAttempt>(effects));
  cr_assert(node.currentAttempt(number)->Server != first);
}

Test(RelayStreams, PrefilledPromptIsReleasedIfTheCallerDisconnects) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(1, 9000, 4000));
  cr_assert(node.currentAttempt(number)->IsPrefill);
  (void)node.connect(number);
  node.feed(AttemptPrefilled{node.attemptId(number), "handle"});
  node.feed(CallerDisconnected{number});
  auto const *freed = effect<ReleasePrefill>(node.LastEffects);
  cr_assert_not_null(freed);
  cr_assert(freed->Handle == "handle");
}

Test(RelayStreams, FailedPrefillDoesNotCountAsExecution) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::PlainStream, prompt(1, 9000, 4000));
  cr_assert(node.currentAttempt(number)->IsPrefill);
  (void)node.connect(number);
  cr_assert_not(node.CurrentState.Requests.at(number).MayHaveRun);
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert_not_null(effect<ConnectAttempt>(node.LastEffects));
  cr_assert_not(node.currentAttempt(number)->IsPrefill);
}

Test(RelayStreams, EventsHaveAMaximumLength) {
  auto framer = EventFramer{};
  cr_assert(framer.add(std::string(1U << 20U, 'x')).empty());
  cr_assert_not(framer.isOverlong());
  cr_assert(framer.add("x").empty());
  cr_assert(framer.isOverlong());
  cr_assert_eq(framer.add("\n\n").size(), 1);
  cr_assert_not(framer.isOverlong());
}

Test(RelayStreams, FramerSplitsAtAnyByte) {
  auto text = std::string{"id: 7\ndata: a\n\nid: 14\r\ndata: b\r\n\r\n"
                          "data: no id\n\n"};
  for (auto cut = std::size_t{0}; cut <= text.size(); ++cut) {
    auto framer = EventFramer{};
    auto events = framer.add(text.substr(0, cut));
    for (auto &it : framer.add(text.substr(cut)))
      events.push_back(it);
    cr_assert_eq(events.size(), 3, "cut at %zu", cut);
    cr_assert_eq(events[0].Id, 7);
    cr_assert_eq(events[1].Id, 14);
    cr_assert_not(events[2].HasId);
    cr_assert(framer.remainder().empty());
    auto whole = std::string{};
    for (auto const &it : events)
      whole += it.Bytes;
    cr_assert(whole == text);
  }
}

} // namespace dotterel::relay::test
