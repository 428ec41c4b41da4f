/// \file
/// Measures the load that requests place on the engines of one service.
#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstdint>

namespace dotterel::relay {

/// Demand in prompt tokens, or in prompt tokens per second where it is a rate.
struct EngineDemand {
  /// Prompt tokens outside of the shared prefix: what remains to be prefilled
  /// once shared prefixes are cached.
  double UnsharedTokens = 0;
  /// All prompt tokens. Their KV cache is transferred if the prompt is
  /// prefilled at another engine.
  double PromptTokens = 0;

  auto add(EngineDemand const &Other) -> void;
};

/// Averages demand over a sliding window of six seconds, long enough to smooth
/// bursts and short compared to the lifetime of a deployment. Thread safety:
/// none.
class DemandMeter {
public:
  auto record(EngineDemand const &Demand, Instant Now) -> void;

  /// Returns the demand per second over the window that ends at \p Now.
  [[nodiscard]] auto perSecond(Instant Now) const -> EngineDemand;

private:
  static constexpr auto BucketSpan = Duration{500ms};
  static constexpr auto BucketCount = std::size_t{12};

  struct Bucket {
    std::int64_t Number = -1;
    EngineDemand Sum;
  };

  [[nodiscard]] static auto bucketNumber(Instant Now) -> std::int64_t;

  std::array<Bucket, BucketCount> Buckets;
  std::int64_t FirstBucket = -1;
};

} // namespace dotterel::relay
