/// \file
/// The decisions of one relaying instance: a function from state and event to
/// effects.
#pragma once

#include "LibRelay/Effect.h"
#include "LibRelay/State.h"

namespace dotterel::relay {

/// Returns the state of an instance that has just started at \p Now.
[[nodiscard]] auto makeState(Identity Self, Options Given, Instant Now)
    -> State;

/// Applies \p Happened to \p Subject and returns what is to be done, in order.
/// Does no I/O and reads no clock: equal states and events give equal effects.
/// Precondition: \p Happened is not earlier than any event before it.
/// Thread safety: none.
[[nodiscard]] auto reduce(State &CurrentState, Event const &Event) -> Effects;

} // namespace dotterel::relay
