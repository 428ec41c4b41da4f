#include "LibRelay/RelayNode.h"

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

/// Returns the kind of send that the last event caused, or an empty view.
auto sentKind(RelayNode const &Node) -> std::string_view {
  for (auto const &it : Node.LastEffects) {
    auto const *counter = std::get_if<IncrementCounter>(&it);
    if (counter != nullptr && counter->Metric == CounterMetric::Sends)
      return counter->Label;
  }
  return {};
}

} // namespace

Test(RelaySends, AreCountedByKind) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(1, 1000, 500));
  (void)node.connect(number);
  cr_assert(sentKind(node) == "prefill");
  node.feed(AttemptPrefilled{node.attemptId(number), "handle"});
  (void)node.connect(number);
  cr_assert(sentKind(node) == "first");
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  (void)node.connect(number);
  cr_assert(sentKind(node) == "repeat");
}

Test(RelaySends, FailedAttemptNamesTheSegmentsOfItsPrompt) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(0xabc, 1000, 500));
  (void)node.connect(number);
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  auto const *line = effect<WriteLog>(node.LastEffects);
  cr_assert(line != nullptr && line->Event == "attempt-failed");
  cr_assert(line->Pairs.find("segments=0000000000000abc,") !=
            std::string::npos);
  cr_assert(line->Pairs.find("sent=true") != std::string::npos);
}

Test(RelaySends, PrefillThatAServerRefusedIsChargedOnce) {
  auto node = RelayNode();
  node.CurrentState.Options.Retries = {0, 0, 10s};
  auto number = node.request(RouteKind::Stream, prompt(1, 20000, 5000));
  (void)node.connect(number);
  auto refusal = ServerResponse{};
  refusal.Status = 503;
  refusal.IsNotExecuted = true;
  // A new budget holds one retry.
  node.feed(AttemptResponded{node.attemptId(number), refusal});
  cr_assert(node.connect(number)->Parameters.IsPrefill);
  node.feed(AttemptPrefilled{node.attemptId(number), "handle"});
  cr_assert(node.connect(number).has_value());
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
}

Test(RelaySends, PrefilledPromptIsKeptIfTheEngineCannotBeReached) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(1, 20000, 5000));
  (void)node.connect(number);
  node.feed(AttemptPrefilled{node.attemptId(number), "handle"});
  auto first = node.currentAttempt(number)->Server;
  node.feed(AttemptUnreachable{node.attemptId(number), "connection failed"});
  cr_assert_null(effect<ReleasePrefill>(node.LastEffects));
  auto send = node.connect(number);
  cr_assert(send.has_value());
  cr_assert(send->Parameters.PrefillHandle == "handle");
  cr_assert(node.currentAttempt(number)->Server != first);
}

Test(RelaySends, PrefilledPromptIsReleasedIfNoEngineCanBeReached) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(1, 20000, 5000));
  (void)node.connect(number);
  node.feed(AttemptPrefilled{node.attemptId(number), "handle"});
  while (node.currentAttempt(number) != nullptr)
    node.feed(AttemptUnreachable{node.attemptId(number), "connection failed"});
  cr_assert_eq(countEffects<ReleasePrefill>(node.LastEffects), 1);
  cr_assert_eq(
      describe(effect<SendErrorResponse>(node.LastEffects)->Code).HttpStatus,
      503);
}

} // namespace dotterel::relay::test
