#include "LibRelay/QueueOrder.h"
#include "LibRelay/RelayNode.h"

#include <algorithm>
#include <random>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

constexpr auto TokensPerSecond = 50000.0;
constexpr auto TargetLatency = Duration{600ms};

struct Prompt {
  Instant ArrivedAt;
  Duration PrefillTime;
  std::uint32_t Rank = 0;
};

/// Serves \p Waiting at one engine, the lowest rank first, and returns how many
/// prompts miss their target.
auto countLate(std::vector<Prompt> Waiting) -> unsigned {
  auto now = Instant{};
  auto late = 0U;
  while (!Waiting.empty()) {
    auto next = Waiting.end();
    for (auto it = Waiting.begin(); it != Waiting.end(); ++it) {
      if (it->ArrivedAt <= now &&
          (next == Waiting.end() || it->Rank < next->Rank))
        next = it;
    }
    if (next == Waiting.end()) {
      now = Waiting.front().ArrivedAt;
      continue;
    }
    now += next->PrefillTime;
    late += now - next->ArrivedAt > TargetLatency ? 1 : 0;
    Waiting.erase(next);
  }
  return late;
}

} // namespace

Test(RelayQueueOrder, RankRisesAsThePrefillTimeDoubles) {
  cr_assert_eq(queueRank(Duration{0}), 0);
  cr_assert_eq(queueRank(5ms), 0);
  cr_assert_eq(queueRank(6ms), 1);
  cr_assert_eq(queueRank(80ms), 4);
  cr_assert_eq(queueRank(160ms), 5);
  cr_assert_eq(queueRank(1h), 9);
}

// Load: an engine whose caches are empty after a crash gets more prompts than
// it can prefill for a while; a third of them has no cached prefix.
Test(RelayQueueOrder, FewerPromptsAreLateThanInOrderOfArrival) {
  for (auto seed = 1U; seed <= 20; ++seed) {
    auto random = std::mt19937(seed);
    auto gap = std::exponential_distribution<double>(12);
    auto isCold = std::bernoulli_distribution(0.33);
    auto arrived = Instant{};
    auto prompts = std::vector<Prompt>{};
    for (auto n = 0; n < 60; ++n) {
      arrived += fromSeconds(gap(random));
      auto tokens = isCold(random) ? 17000 : 3000;
      prompts.push_back({arrived, fromSeconds(tokens / TokensPerSecond), 0});
    }
    auto inOrder = countLate(prompts);
    for (auto &it : prompts)
      it.Rank = queueRank(it.PrefillTime);
    cr_assert_lt(countLate(prompts), inOrder, "seed %u", seed);
  }
}

Test(RelayQueueOrder, PromptsAreSentWithTheirRank) {
  auto node = RelayNode();
  auto rankOf = [&](std::uint32_t Tokens) {
    auto number = node.request(RouteKind::Stream, prompt(Tokens, 100, Tokens));
    auto send = node.connect(number);
    cr_assert(send->Parameters.IsPrefill);
    return *send->Parameters.QueueRank;
  };
  cr_assert_lt(rankOf(3000), rankOf(17000));
  // Requests of plain services have no rank.
  auto plain = node.connect(node.request(RouteKind::Lookup));
  cr_assert_not(plain->Parameters.QueueRank.has_value());
}

} // namespace dotterel::relay::test
