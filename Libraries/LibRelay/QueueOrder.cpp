#include "LibRelay/QueueOrder.h"

namespace dotterel::relay {

namespace {

constexpr auto LastRank = 9U;
/// Prefill time up to which a prompt has the first rank. The last rank is for
/// prompts that take more than 1.28 s.
constexpr auto FirstRankTime = Duration{5ms};

} // namespace

auto queueRank(Duration PrefillTime) -> std::uint32_t {
  auto rank = 0U;
  for (auto limit = FirstRankTime; PrefillTime > limit && rank < LastRank;
       limit *= 2)
    ++rank;
  return rank;
}

} // namespace dotterel::relay
