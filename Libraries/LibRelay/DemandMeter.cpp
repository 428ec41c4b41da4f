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

auto DemandMeter::record(EngineDemand const &Demand, Instant Now) -> void {
  auto bucketIndex = bucketNumber(Now);
  if (FirstBucket < 0)
    FirstBucket = bucketIndex;
  auto &bucket = Buckets[static_cast<std::size_t>(bucketIndex) % BucketCount];
  if (bucket.Number != bucketIndex)
    bucket = {bucketIndex, {}};
  bucket.Sum.add(Demand);
}

auto DemandMeter::perSecond(Instant Now) const -> EngineDemand {
  auto bucketIndex = bucketNumber(Now);
  if (FirstBucket < 0)
    return {};
  auto sum = EngineDemand{};
  for (auto const &it : Buckets) {
    if (it.Number > bucketIndex - static_cast<std::int64_t>(BucketCount))
      sum.add(it.Sum);
  }
  auto elapsedBuckets = std::clamp<std::int64_t>(
      bucketIndex - FirstBucket + 1, 1, static_cast<std::int64_t>(BucketCount));
  auto seconds = toSeconds(BucketSpan * elapsedBuckets);
  return {sum.UnsharedTokens / seconds, sum.PromptTokens / seconds};
}

} // namespace dotterel::relay
