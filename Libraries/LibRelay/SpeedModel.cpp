#include "LibRelay/SpeedModel.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Shorter prompts are dominated by fixed costs and are not used as samples.
constexpr auto MinimumSampleTokens = std::uint64_t{1500};
/// Weight of a new sample in the moving average; about the last thirty count.
constexpr auto SampleWeight = 0.03;
/// Bounds on the rate, in tokens per second.
constexpr auto MinimumRate = 2000.0;
constexpr auto MaximumRate = 500000.0;
/// Bounds on the ratio of one sample to the current rate.
constexpr auto MinimumSampleRatio = 0.3;
constexpr auto MaximumSampleRatio = 3.0;
/// Lower bound on the prefill time from which a sample of the rate is computed.
constexpr auto MinimumPrefillTime = Duration{5ms};

} // namespace

auto SpeedModel::prefillTime(std::uint64_t Tokens, bool IsPrefillOnly) const
    -> Duration {
  auto rate = IsPrefillOnly ? PrefillRate : MixedRate;
  return fromSeconds(static_cast<double>(Tokens) / rate);
}

auto SpeedModel::observe(std::uint64_t Tokens, bool IsPrefillOnly,
                         Duration Taken) -> void {
  if (Tokens < MinimumSampleTokens)
    return;
  auto &rate = IsPrefillOnly ? PrefillRate : MixedRate;
  auto prefillTime = std::max(Taken - BaseLatency, MinimumPrefillTime);
  auto sample = static_cast<double>(Tokens) / toSeconds(prefillTime);
  sample =
      std::clamp(sample, rate * MinimumSampleRatio, rate * MaximumSampleRatio);
  rate = std::clamp(rate + SampleWeight * (sample - rate), MinimumRate,
                    MaximumRate);
}

} // namespace dotterel::relay
