#include "LibCore/TrueTime.h"

#include <algorithm>

namespace dotterel {

auto TrueTime::observe(Duration SinceEpoch, Duration SinceBoot) -> void {
  if (Recorded > 0 && SinceBoot - LastSampleAt < SampleInterval)
    return;
  LastSampleAt = SinceBoot;
  Samples[Recorded % SampleCount] = SinceEpoch - SinceBoot;
  ++Recorded;
  auto sorted = Samples;
  auto const n = std::min(Recorded, SampleCount);
  auto const middle = sorted.begin() + static_cast<std::ptrdiff_t>(n / 2);
  std::nth_element(sorted.begin(), middle,
                   sorted.begin() + static_cast<std::ptrdiff_t>(n));
  Offset = *middle;
}

auto TrueTime::at(Duration SinceBoot) const -> Duration {
  return Recorded == 0 ? Duration{} : SinceBoot + Offset;
}

} // namespace dotterel
