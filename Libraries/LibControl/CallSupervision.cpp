/// \file
/// Watches attempts in progress: connect timeouts, stalls and drains.
#include "LibControl/CallReducer.h"

#include "LibControl/Placement.h"

namespace dotterel {

namespace {

using AttemptPhase = AttemptLifecycle::Phase;

constexpr auto ConnectTimeout = Duration{1s};
/// Silence after which an engine that does not report either is given up.
constexpr auto UnreachableStall = Duration{1s};
/// Silence after which an engine is given up although it reports: it is slow
/// under load far more often than it is stuck.
constexpr auto ReportingStall = Duration{10s};
/// Factor over the forecast first token at which a silent engine is given up.
constexpr auto StallFactor = 4;
/// Time that a stream may go on at a draining engine before it is resumed at
/// another one.
constexpr auto DrainPatience = Duration{5s};

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
  if (Subject.Backends.Drains.contains(attempt.Engine))
    return migrateFromDrain(Id, call);
  auto engine = Subject.Backends.Engines.find(attempt.Engine);
  if (engine == Subject.Backends.Engines.end())
    return;
  auto work = EngineWork{attempt.QueuedPrefillTokens, attempt.PrefillTokens, 0,
                         attempt.BatchSize, 0};
  auto expected = phase == AttemptPhase::Answering
                      ? Duration{}
                      : Subject.Backends.Model.forecast(work).FirstToken;
  auto limit = isUnreachable(engine->second)
                   ? UnreachableStall
                   : std::max(ReportingStall, expected * StallFactor);
  if (now() - std::max(attempt.SentAt, call.LastToken) < limit)
    return;
  emit(CancelAttempt{id});
  on(AttemptBroken{id});
}

auto CallReducer::migrateFromDrain(CallId Id, Call &Target) -> void {
  auto const &drain = Subject.Backends.Drains.at(Target.Current->Engine);
  if (now() - drain.Began < DrainPatience)
    return;
  if (!Placement(Subject).chooseEngine(Id, Target))
    return;
  emit(CancelAttempt{{Id, Target.Current->Number}});
  endAttempt(Target);
  place(Id);
}

} // namespace dotterel
