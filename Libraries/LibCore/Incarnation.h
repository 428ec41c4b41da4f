/// \file
/// Draws the number that tells two runs of an instance apart.
#pragma once

#include "LibCore/Identifier.h"

namespace dotterel {

/// Returns a random number other than zero. Thread safety: safe from any
/// thread.
[[nodiscard]] auto generateIncarnation() -> Incarnation;

} // namespace dotterel
