/// \file
/// A clock that also counts the time for which the machine was suspended.
#pragma once

#include "LibCore/Time.h"

namespace dotterel {

/// Returns the time since the machine started, suspensions included. What is
/// valid for a time must be checked against this clock: the steady clock stands
/// still while the machine is suspended. Thread safety: safe from any thread.
[[nodiscard]] auto bootTime() -> Duration;

} // namespace dotterel
