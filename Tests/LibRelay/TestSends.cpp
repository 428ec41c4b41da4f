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

} // namespace dotterel::relay::test
