#include "LibRelay/SpeedModel.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Prompts below this say more about fixed costs than about the rate.
constexpr auto SmallestSample = std::uint64_t{1500};
/// Weight of a new sample; about the last thirty count.
constexpr auto SampleWeight = 0.03;
/// Bounds on the rate, in tokens per second.
constexpr auto SlowestRate = 2000.0;
constexpr auto FastestRate = 500000.0;
/// Bounds on the ratio of one sample to the rate.
constexpr auto SmallestRatio = 0.3;
constexpr auto LargestRatio = 3.0;
/// Shortest reading time that a rate is computed from.
constexpr auto ShortestReading = Duration{5ms};

} // namespace

auto SpeedModel::prefillTime(std::uint64_t Tokens, bool IsPrefillOnly) const
    -> Duration {
  auto rate = IsPrefillOnly ? PrefillRate : MixedRate;
  return fromSeconds(static_cast<double>(Tokens) / rate);
}

auto SpeedModel::observe(std::uint64_t Tokens, bool IsPrefillOnly,
                         Duration Taken) -> void {
  if (Tokens < SmallestSample)
    return;
  auto &rate = IsPrefillOnly ? PrefillRate : MixedRate;
  auto reading = std::max(Taken - BaseLatency, ShortestReading);
  auto sample = static_cast<double>(Tokens) / toSeconds(reading);
  sample = std::clamp(sample, rate * SmallestRatio, rate * LargestRatio);
  rate = std::clamp(rate + SampleWeight * (sample - rate), SlowestRate,
                    FastestRate);
}

} // namespace dotterel::relay
