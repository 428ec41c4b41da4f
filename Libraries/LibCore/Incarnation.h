/// \file
/// Generates the number that distinguishes the runs of an instance.
#pragma once

#include "LibCore/Identifier.h"

namespace dotterel {

/// Returns a random number other than zero. Thread safety: safe from any
/// thread.
[[nodiscard]] auto generateIncarnation() -> Incarnation;

} // namespace dotterel
