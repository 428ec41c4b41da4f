/// \file
/// Pauses between repeated calls of the store.
#pragma once

#include "LibCore/Time.h"

#include <algorithm>
#include <random>

namespace dotterel {

/// Exponential backoff with jitter. Thread safety: none.
class Backoff {
public:
  /// Returns the next pause, which is at most \p Maximum.
  auto next(Duration Maximum) -> Duration {
    auto spread = std::uniform_real_distribution<double>(0.5, 1.0);
    auto span = scaled(Current, spread(Random));
    Current = std::min(2 * Current, Maximum);
    return span;
  }

  /// Starts again with the shortest pause, after a call that succeeded.
  auto reset() -> void { Current = Minimum; }

private:
  /// The store refuses callers that exceed its rate limit.
  static constexpr auto Minimum = Duration{100ms};

  Duration Current = Minimum;
  std::mt19937 Random{std::random_device{}()};
};

} // namespace dotterel
