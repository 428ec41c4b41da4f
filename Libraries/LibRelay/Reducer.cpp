#include "LibRelay/Reducer.h"

#include "LibCore/Dispatcher.h"
#include "LibRelay/AttemptReducer.h"
#include "LibRelay/FleetReducer.h"
#include "LibRelay/FollowReducer.h"
#include "LibRelay/RequestReducer.h"
#include "LibRelay/RoleReducer.h"

namespace dotterel::relay {

auto makeState(Identity Self, Options Given, Instant Now) -> State {
  auto state = State{};
  state.Self = std::move(Self);
  state.Given = Given;
  state.Started = Now;
  state.Now = Now;
  return state;
}

auto reduce(State &Subject, Event const &Happened) -> Effects {
  auto effects = Effects{};
  Subject.Now = Happened.At;
  std::visit(
      Dispatcher<State, Effects, FleetReducer, FollowReducer, RoleReducer,
                 AttemptReducer, RequestReducer>(Subject, effects),
      Happened.Body);
  return effects;
}

} // namespace dotterel::relay
