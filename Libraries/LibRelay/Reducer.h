/// \file
/// The reducer of a relaying instance: a function from state and event to
/// effects.
#pragma once

#include "LibRelay/Effect.h"
#include "LibRelay/State.h"

namespace dotterel::relay {

/// Returns the initial state of an instance that starts at \p Now.
[[nodiscard]] auto makeState(Identity Self, Options Options, Instant Now)
    -> State;

/// Applies \p Event to \p CurrentState and returns the effects to execute, in
/// order. Performs no I/O and reads no clock: equal states and events give
/// equal effects. Precondition: \p Event is not earlier than any previous
/// event. Thread safety: none.
[[nodiscard]] auto reduce(State &CurrentState, Event const &Event) -> Effects;

} // namespace dotterel::relay
