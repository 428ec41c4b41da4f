// Responses whose bodies are too large to be held.
#include "LibRelay/RelayNode.h"

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

auto startBody(RelayNode &Node, RequestNumber Number, unsigned Status = 200)
    -> void {
  auto response = ServerResponse{};
  response.Status = Status;
  response.Body = "first";
  response.Length = 11;
  Node.feed(AttemptBodyStarted{Node.attemptId(Number), response});
}

} // namespace

Test(RelayLargeBodies, PartsArePassedOn) {
  auto node = RelayNode();
  auto const number = node.request(RouteKind::Booking);
  (void)node.connect(number);
  startBody(node, number);
  cr_assert(effect<BeginStream>(node.LastEffects)->Header.Length == 11);
  cr_assert(effect<ForwardBytes>(node.LastEffects)->Bytes == "first");
  node.feed(AttemptBodyReceived{node.attemptId(number), "second"});
  cr_assert(effect<ForwardBytes>(node.LastEffects)->Bytes == "second");
  node.feed(AttemptBodyEnded{node.attemptId(number)});
  cr_assert_not_null(effect<EndStream>(node.LastEffects));
  cr_assert(node.CurrentState.Requests.empty());
  cr_assert_eq(node.CurrentState.Servers.find("p0")->load().Requests, 0);
}

// The caller has a part of this response, so no other one can complete it.
Test(RelayLargeBodies, TruncatedOneIsNeitherRetriedNorEnded) {
  auto node = RelayNode();
  auto const number = node.request(RouteKind::Lookup);
  (void)node.connect(number);
  startBody(node, number);
  node.feed(AttemptInterrupted{node.attemptId(number), "response truncated"});
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
  cr_assert_null(effect<EndStream>(node.LastEffects));
  cr_assert_not_null(effect<AbortStream>(node.LastEffects));
}

Test(RelayLargeBodies, LargeErrorIsRetried) {
  auto node = RelayNode();
  auto const number = node.request(RouteKind::Lookup);
  (void)node.connect(number);
  startBody(node, number, 500);
  cr_assert_null(effect<BeginStream>(node.LastEffects));
  cr_assert_not_null(effect<ConnectAttempt>(node.LastEffects));
  cr_assert_not_null(effect<CancelAttempt>(node.LastEffects));
}

// The route's time limit is four seconds.
Test(RelayLargeBodies, CallerThatStillReadsAtItsDeadlineGetsTheRest) {
  auto node = RelayNode();
  auto const number = node.request(RouteKind::Lookup);
  (void)node.connect(number);
  startBody(node, number);
  for (auto n = 0; n < 12; ++n) {
    node.feed(AttemptBodyReceived{node.attemptId(number), "part"});
    cr_assert_null(effect<AbortStream>(node.advance(500ms)));
  }
  // Nothing moves any more.
  cr_assert_not_null(effect<AbortStream>(node.advance(1s)));
}

} // namespace dotterel::relay::test
