/// \file
/// Dispatches an event to each sub-reducer that handles its type.
#pragma once

namespace dotterel {

template <typename Handler, typename EventType>
concept Handles = requires(Handler &Target, EventType const &Event) {
  Target.on(Event);
};

/// Visitor over a reducer's events. Constructs and calls the \p Handlers in the
/// order of the list.
template <typename StateType, typename EffectsType, typename... Handlers>
class Dispatcher {
public:
  Dispatcher(StateType &CurrentState, EffectsType &Out)
      : CurrentState(CurrentState), Out(Out) {}

  template <typename EventType>
  auto operator()(EventType const &Event) -> void {
    static_assert((Handles<Handlers, EventType> || ...),
                  "every event type needs a handler");
    (dispatch<Handlers>(Event), ...);
  }

private:
  template <typename Handler, typename EventType>
  auto dispatch(EventType const &Event) -> void {
    if constexpr (Handles<Handler, EventType>)
      Handler(CurrentState, Out).on(Event);
  }

  StateType &CurrentState; // NOLINT: used for one event only
  EffectsType &Out;        // NOLINT
};

} // namespace dotterel
