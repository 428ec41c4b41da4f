/// \file
/// The event loop of one instance.
#pragma once

#include "LibControl/Reducer.h"
#include "LibCore/ReducerLoop.h"

namespace dotterel {

/// Applies LibControl's reducer to the state of one instance.
/// Thread safety: none.
using ControlLoop = ReducerLoop<State, Event, Effect, &reduce>;

} // namespace dotterel
