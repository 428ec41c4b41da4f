/// \file
/// The event loop of the relay reducer.
#pragma once

#include "LibCore/ReducerLoop.h"
#include "LibRelay/Reducer.h"

namespace dotterel {

/// Thread safety: none.
using RelayLoop =
    ReducerLoop<relay::State, relay::Event, relay::Effect, &relay::reduce>;

} // namespace dotterel
