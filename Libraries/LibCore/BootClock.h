/// \file
/// A clock that also advances while the machine is suspended.
#pragma once

#include "LibCore/Time.h"

namespace dotterel {

/// Returns the time since boot, including time spent in suspend. Leases and
/// other rights that expire must be checked against this clock, because the
/// steady clock stops while the machine is suspended.
/// Thread safety: safe from any thread.
[[nodiscard]] auto bootTime() -> Duration;

} // namespace dotterel
