#include "LibRelay/Reducer.h"

#include "LibCore/Dispatcher.h"
#include "LibRelay/AttemptReducer.h"
#include "LibRelay/CustomerReducer.h"
#include "LibRelay/FleetReducer.h"
#include "LibRelay/LeaderReducer.h"
#include "LibRelay/LimitReducer.h"
#include "LibRelay/QuarantineReducer.h"
#include "LibRelay/RequestReducer.h"
#include "LibRelay/RoleReducer.h"
#include "LibRelay/ServerListReducer.h"
#include "LibRelay/ServerOrderReducer.h"
#include "LibRelay/StoreWatchReducer.h"
#include "LibRelay/UsageReportReducer.h"

namespace dotterel::relay {

namespace {

/// Ticks arrive many times more often than this, unless the process was
/// suspended.
constexpr auto SuspensionGap = Duration{600ms};

} // namespace

auto makeState(Identity Self, Options Options, Instant Now) -> State {
  auto state = State{};
  state.Self = std::move(Self);
  state.Options = Options;
  state.Quarantine = SuspectQuarantine(Options.entryRemovalTime());
  state.StartedAt = Now;
  state.Now = Now;
  return state;
}

auto reduce(State &CurrentState, Event const &Event) -> Effects {
  auto effects = Effects{};
  if (Event.At - CurrentState.Now > SuspensionGap)
    CurrentState.ResumedAt = Event.At;
  CurrentState.Now = Event.At;
  std::visit(Dispatcher<State, Effects, CustomerReducer, FleetReducer,
                        ServerListReducer, StoreWatchReducer, RoleReducer,
                        LeaderReducer, UsageReportReducer, ServerOrderReducer,
                        QuarantineReducer, LimitReducer, AttemptReducer,
                        RequestReducer>(CurrentState, effects),
             Event.Body);
  return effects;
}

} // namespace dotterel::relay
