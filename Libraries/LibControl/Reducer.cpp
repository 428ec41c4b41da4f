#include "LibControl/Reducer.h"

#include "LibControl/BackendReducer.h"
#include "LibControl/CallReducer.h"
#include "LibControl/ConfigurationReducer.h"
#include "LibControl/KeyReducer.h"
#include "LibControl/LeaseReducer.h"
#include "LibControl/LifecycleReducer.h"
#include "LibControl/MembershipReducer.h"
#include "LibControl/OrderReducer.h"
#include "LibControl/SteeringReducer.h"
#include "LibCore/Dispatcher.h"

#include <utility>

namespace dotterel {

namespace {

using EventDispatcher =
    Dispatcher<State, Effects, MembershipReducer, ConfigurationReducer,
               BackendReducer, LeaseReducer, OrderReducer, KeyReducer,
               CallReducer, SteeringReducer, LifecycleReducer>;

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

auto reduce(State &CurrentState, Event const &Event) -> Effects {
  auto effects = Effects{};
  CurrentState.Now = Event.At;
  CurrentState.Calls.Keys.advance(CurrentState.Now, CurrentState.Started);
  std::visit(EventDispatcher(CurrentState, effects), Event.Body);
  return effects;
}

} // namespace dotterel
