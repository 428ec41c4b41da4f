/// \file
/// The reducer of one instance with its state.
#pragma once

#include "LibControl/Reducer.h"
#include "LibCore/ReducerLoop.h"

namespace dotterel {

/// Thread safety: none.
using Core = ReducerLoop<State, Event, Effect, &reduce>;

} // namespace dotterel
