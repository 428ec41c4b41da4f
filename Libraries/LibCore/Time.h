/// \file
/// The monotonic time that events carry.
#pragma once

#include <chrono>

namespace dotterel {

using Duration = std::chrono::nanoseconds;
/// A point on this process's monotonic clock.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

/// Converts a span of time to seconds.
[[nodiscard]] constexpr auto toSeconds(Duration Span) -> double {
  return std::chrono::duration<double>(Span).count();
}

/// Converts seconds to a span of time.
[[nodiscard]] constexpr auto fromSeconds(double Seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

/// Returns \p Span multiplied by \p Factor.
[[nodiscard]] constexpr auto scaled(Duration Span, double Factor) -> Duration {
  return fromSeconds(toSeconds(Span) * Factor);
}

/// Converts a span of time to whole milliseconds, rounded down.
[[nodiscard]] constexpr auto toMilliseconds(Duration Span) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

} // namespace dotterel
