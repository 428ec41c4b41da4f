/// \file
/// Estimates the time of day while the clock of the machine may jump.
#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstddef>

namespace dotterel {

/// Estimates the time since the start of 1970 from the machine's clock. The
/// difference between that clock and the time since boot is constant until the
/// clock is set, so the median of the last differences ignores jumps that last
/// less than half of the observed time. Thread safety: none.
class TrueTime {
public:
  /// Records readings of both clocks, taken at the same moment. Precondition:
  /// \p SinceBoot does not decrease.
  auto observe(Duration SinceEpoch, Duration SinceBoot) -> void;

  /// Returns the estimate at \p SinceBoot, or zero before the first reading.
  [[nodiscard]] auto at(Duration SinceBoot) const -> Duration;

private:
  static constexpr auto SampleCount = std::size_t{31};
  static constexpr auto SampleInterval = Duration{1s};

  std::array<Duration, SampleCount> Samples{};
  std::size_t Recorded = 0;
  Duration LastSampleAt{};
  Duration Offset{};
};

} // namespace dotterel
