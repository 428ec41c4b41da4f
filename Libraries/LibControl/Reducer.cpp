#include "LibControl/Reducer.h"

#include "LibControl/AuthorityReducer.h"
#include "LibControl/BackendReducer.h"
#include "LibControl/CallReducer.h"
#include "LibControl/ConfigurationReducer.h"
#include "LibControl/KeyReducer.h"
#include "LibControl/LifecycleReducer.h"
#include "LibControl/MembershipReducer.h"
#include "LibControl/OrderReducer.h"
#include "LibControl/SteeringReducer.h"

#include <utility>

namespace dotterel {

namespace {

template <typename Handler, typename Event>
concept Handles = requires(Handler &Target, Event const &Happened) {
  Target.on(Happened);
};

/// Passes an event to each sub-reducer that handles its type, in the order of
/// the list.
template <typename... Handlers> class Dispatcher {
public:
  Dispatcher(State &Subject, Effects &Out) : Subject(Subject), Out(Out) {}

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

  State &Subject; // NOLINT: lives for one event
  Effects &Out;   // NOLINT
};

using AllHandlers =
    Dispatcher<MembershipReducer, ConfigurationReducer, BackendReducer,
               AuthorityReducer, OrderReducer, KeyReducer, CallReducer,
               SteeringReducer, LifecycleReducer>;

} // namespace

auto makeState(InstanceIdentity Self, ControlOptions Options, Instant Now)
    -> State {
  auto state = State{};
  state.Self = std::move(Self);
  state.Options = std::move(Options);
  state.Started = Now;
  state.Now = Now;
  state.Calls.Keys.advance(Now, Now);
  return state;
}

auto reduce(State &Subject, Event const &Happened) -> Effects {
  auto effects = Effects{};
  Subject.Now = Happened.At;
  Subject.Calls.Keys.advance(Subject.Now, Subject.Started);
  std::visit(AllHandlers(Subject, effects), Happened.Body);
  return effects;
}

} // namespace dotterel
