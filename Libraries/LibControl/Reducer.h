/// \file
/// The decision logic of one instance: a function from state and event to
/// effects.
#pragma once

#include "LibControl/Effect.h"
#include "LibControl/State.h"

namespace dotterel {

/// Returns the state of an instance that has just started at \p Now.
[[nodiscard]] auto makeState(InstanceIdentity Self, ControlOptions Options,
                             Instant Now) -> State;

/// Applies \p Event to \p CurrentState and returns the effects in order. Does
/// no I/O and reads no clock: equal states and events give equal effects.
/// Precondition: \p Event is not earlier than any event before it.
/// Thread safety: none.
[[nodiscard]] auto reduce(State &CurrentState, Event const &Event) -> Effects;

} // namespace dotterel
