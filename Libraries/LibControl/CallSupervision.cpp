/// \file
/// Supervision of attempts in progress: connect timeouts, stalls and drains.
#include "LibControl/CallReducer.h"

#include "LibControl/Placement.h"

namespace dotterel {

namespace {

using AttemptPhase = AttemptLifecycle::Phase;

constexpr auto ConnectTimeout = Duration{1s};
/// Time without tokens after which an attempt at an unreachable engine fails.
constexpr auto UnreachableStallTimeout = Duration{1s};
/// Minimum time without tokens after which an attempt at an engine that still
/// reports fails. It is longer because such an engine is usually slow under
/// load rather than stuck.
constexpr auto ReportingStallTimeout = Duration{10s};
/// Multiple of the forecast first-token time after which an attempt at an
/// engine that still reports fails, if that is longer than
/// ReportingStallTimeout.
constexpr auto StallFactor = 4;
/// Time for which a stream may continue at a draining engine before it is
/// resumed at another one.
constexpr auto DrainMigrationDelay = Duration{5s};

} // namespace

auto CallReducer::checkAttempt(CallId Id) -> void {
  auto &call = *find(Id);
  auto const &attempt = *call.Current;
  auto id = AttemptId{Id, attempt.Number};
  auto phase = attempt.Lifecycle.phase();
  if (phase == AttemptPhase::Connecting) {
    if (now() - attempt.ConnectStarted < ConnectTimeout)
      return;
    emit(CancelAttempt{id});
    return on(AttemptUnreachable{id});
  }
  if (call.Request.Kind != CallKind::Completion)
    return;
  if (CurrentState.Backends.Drains.contains(attempt.Engine))
    return migrateFromDrainingEngine(Id, call);
  auto engine = CurrentState.Backends.Engines.find(attempt.Engine);
  if (engine == CurrentState.Backends.Engines.end())
    return;
  auto work = EngineWork{attempt.QueuedPrefillTokens, attempt.PrefillTokens, 0,
                         attempt.BatchSize, 0};
  auto expected = phase == AttemptPhase::Responding
                      ? Duration{}
                      : CurrentState.Backends.Model.forecast(work).FirstToken;
  auto limit = isUnreachable(engine->second)
                   ? UnreachableStallTimeout
                   : std::max(ReportingStallTimeout, expected * StallFactor);
  if (now() - std::max(attempt.SentAt, call.LastToken) < limit)
    return;
  emit(CancelAttempt{id});
  on(AttemptInterrupted{id});
}

auto CallReducer::migrateFromDrainingEngine(CallId Id, Call &Target) -> void {
  auto const &drain = CurrentState.Backends.Drains.at(Target.Current->Engine);
  if (now() - drain.StartedAt < DrainMigrationDelay)
    return;
  if (!Placement(CurrentState).chooseEngine(Id, Target))
    return;
  emit(CancelAttempt{{Id, Target.Current->Number}});
  endAttempt(Target);
  place(Id);
}

} // namespace dotterel
