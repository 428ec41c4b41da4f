/// \file
/// How much work requests ask of the engines of one service.
#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstdint>

namespace dotterel::relay {

/// Work per second.
struct EngineDemand {
  /// Prompt tokens that only the request itself has: its share of reading once
  /// the shared beginnings are cached.
  double UnsharedTokens = 0;
  /// All prompt tokens, which move if the prompt is read elsewhere.
  double PromptTokens = 0;

  auto add(EngineDemand const &Other) -> void;
};

/// Averages demand over a few seconds, long enough to even out bursts and
/// short against the life of a deployment. Thread safety: none.
class DemandMeter {
public:
  /// Records a request at \p Now.
  auto record(EngineDemand const &Work, Instant Now) -> void;

  /// Returns the work per second over the last Window.
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
