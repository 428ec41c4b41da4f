#include "LibRelay/DemandMeter.h"

#include <algorithm>

namespace dotterel::relay {

auto EngineDemand::add(EngineDemand const &Other) -> void {
  UnsharedTokens += Other.UnsharedTokens;
  PromptTokens += Other.PromptTokens;
}

auto DemandMeter::bucketNumber(Instant Now) -> std::int64_t {
  return Now.time_since_epoch() / BucketSpan;
}

auto DemandMeter::record(EngineDemand const &Work, Instant Now) -> void {
  auto number = bucketNumber(Now);
  if (FirstBucket < 0)
    FirstBucket = number;
  auto &bucket = Buckets[static_cast<std::size_t>(number) % BucketCount];
  if (bucket.Number != number)
    bucket = {number, {}};
  bucket.Sum.add(Work);
}

auto DemandMeter::perSecond(Instant Now) const -> EngineDemand {
  auto number = bucketNumber(Now);
  if (FirstBucket < 0)
    return {};
  auto sum = EngineDemand{};
  for (auto const &it : Buckets) {
    if (it.Number > number - static_cast<std::int64_t>(BucketCount))
      sum.add(it.Sum);
  }
  auto buckets = std::clamp<std::int64_t>(
      number - FirstBucket + 1, 1, static_cast<std::int64_t>(BucketCount));
  auto seconds = toSeconds(BucketSpan * buckets);
  return {sum.UnsharedTokens / seconds, sum.PromptTokens / seconds};
}

} // namespace dotterel::relay
