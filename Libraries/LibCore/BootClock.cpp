#include "LibCore/BootClock.h"

#include <ctime>

namespace dotterel {

auto bootTime() -> Duration {
  auto now = timespec{};
  // Cannot fail: every supported kernel has CLOCK_BOOTTIME.
  (void)::clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

} // namespace dotterel
