/// \file
/// Passes an event to each sub-reducer that handles its type.
#pragma once

namespace dotterel {

template <typename Handler, typename Event>
concept Handles = requires(Handler &Target, Event const &Happened) {
  Target.on(Happened);
};

/// Visitor over a reducer's events; tries \p Handlers in the order of the list.
template <typename StateType, typename EffectsType, typename... Handlers>
class Dispatcher {
public:
  Dispatcher(StateType &Subject, EffectsType &Out)
      : Subject(Subject), Out(Out) {}

  template <typename Event> auto operator()(Event const &Happened) -> void {
    static_assert((Handles<Handlers, Event> || ...),
                  "every event needs a handler");
    (pass<Handlers>(Happened), ...);
  }

private:
  template <typename Handler, typename Event>
  auto pass(Event const &Happened) -> void {
    if constexpr (Handles<Handler, Event>)
      Handler(Subject, Out).on(Happened);
  }

  StateType &Subject; // NOLINT: lives for one event
  EffectsType &Out;   // NOLINT
};

} // namespace dotterel
