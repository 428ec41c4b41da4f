#include "LibRelay/PermitBucket.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Permits per second for a server that takes fewer requests or none: only a
/// response shows that a limit has ended.
constexpr auto MinimumPermitsPerSecond = 0.5;
constexpr auto CapacitySeconds = 1.0;
constexpr auto MinimumCapacity = 1.0;
/// A wait that is rounded to nothing would be asked for again at once.
constexpr auto MinimumWait = Duration{1ms};

} // namespace

auto PermitBucket::take(double PerSecond, Instant Now)
    -> std::optional<Duration> {
  auto rate = std::max(PerSecond, MinimumPermitsPerSecond);
  auto capacity = std::max(MinimumCapacity, rate * CapacitySeconds);
  auto elapsed = RefilledAt ? toSeconds(Now - *RefilledAt) : 0;
  Permits = std::min(capacity, Permits + rate * elapsed);
  RefilledAt = Now;
  if (Permits < 1)
    return std::max(MinimumWait, fromSeconds((1 - Permits) / rate));
  Permits -= 1;
  return std::nullopt;
}

} // namespace dotterel::relay
