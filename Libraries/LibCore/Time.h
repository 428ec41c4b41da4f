/// \file
/// Durations, and the monotonic timestamps of events.
#pragma once

#include <chrono>

namespace dotterel {

using Duration = std::chrono::nanoseconds;
/// A point in time on the monotonic clock of this process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

[[nodiscard]] constexpr auto toSeconds(Duration Span) -> double {
  return std::chrono::duration<double>(Span).count();
}

[[nodiscard]] constexpr auto fromSeconds(double Seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

[[nodiscard]] constexpr auto scaled(Duration Span, double Factor) -> Duration {
  return fromSeconds(toSeconds(Span) * Factor);
}

/// Converts to whole milliseconds, rounded towards zero.
[[nodiscard]] constexpr auto toMilliseconds(Duration Span) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

} // namespace dotterel
