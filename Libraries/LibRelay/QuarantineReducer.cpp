#include "LibRelay/QuarantineReducer.h"

#include "LibRelay/Coordinator.h"
#include "LibRelay/RequestReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Report intervals until the peers' reports of a crash have arrived. One
/// report tells of an interruption, one clears its suspects; one of each may be
/// lost.
constexpr auto PropagationIntervals = 4;
/// Time after which to come back with an ambiguous request; the trial of the
/// cause usually clears the others within seconds.
constexpr auto RetryAfterAmbiguity = Duration{1s};

} // namespace

auto QuarantineReducer::observeInterruption(InFlightRequest const &Request)
    -> void {
  auto const &attempt = *Request.CurrentAttempt;
  if (attempt.IsSent)
    CurrentState.Quarantine.recordOwnInterruption(
        {attempt.Key, Request.Identity, Request.SharedSegments, {}}, now());
}

auto QuarantineReducer::observeCompletion(InFlightRequest const &Request)
    -> void {
  for (auto it :
       CurrentState.Quarantine.recordCompletion(Request.suspectKeys(), now()))
    release(it, "request completed");
}

auto QuarantineReducer::observeCrash(ServerKey Key) -> void {
  CurrentState.Quarantine.recordCrash(Key, now());
  for (auto const &it : CurrentState.Requests) {
    auto const &attempt = it.second.CurrentAttempt;
    if (attempt && attempt->Key == Key)
      observeInterruption(it.second);
  }
}

auto QuarantineReducer::observeDisappearance(ServerKey Key) -> void {
  auto inProgress =
      std::ranges::count_if(CurrentState.Requests, [Key](auto const &it) {
        return it.second.CurrentAttempt && it.second.CurrentAttempt->Key == Key;
      });
  log(LogLevel::Info, "server-disappeared", "key={} in_progress={}", Key,
      inProgress);
  CurrentState.Quarantine.recordCrash(Key, now());
}

auto QuarantineReducer::observeAnswer(ServerKey Key) -> void {
  if (CurrentState.Quarantine.withdrawCrash(Key))
    log(LogLevel::Info, "server-not-crashed", "key={}", Key);
}

auto QuarantineReducer::admitTrial(Suspect const &Target,
                                   std::span<SuspectKey const> Keys) -> bool {
  // Until it knows its peers well, each instance takes itself for the
  // coordinator.
  if (!isAmbiguous(Target.Kind) ||
      !CurrentState.Quarantine.isDistinctive(Keys) ||
      now() - CurrentState.StartedAt < PeerListTimeout ||
      findCoordinator(CurrentState, Target.Key) !=
          CurrentState.Self.PeerAddress ||
      !CurrentState.Quarantine.startTrial(Target.Key))
    return false;
  log(LogLevel::Warning, "suspect-tried", "suspect={:016x}", Target.Key);
  return true;
}

auto QuarantineReducer::endTrial(InFlightRequest const &Request) -> void {
  if (Request.TrialOf && Request.PrefillsSent + Request.DecodesSent == 0)
    CurrentState.Quarantine.withdrawTrial(*Request.TrialOf);
}

auto QuarantineReducer::refusal(Suspect const &Target) const -> Refusal {
  auto code = isSegment(Target.Kind) ? ResultCode::PromptQuarantined
                                     : ResultCode::RequestQuarantined;
  auto retryAfter = isAmbiguous(Target.Kind)
                        ? RetryAfterAmbiguity
                        : CurrentState.Quarantine.timeLeft(Target.Key, now());
  return {code, retryAfter};
}

auto QuarantineReducer::on(PeerReported const &Event) -> void {
  auto const &report = Event.Report.Quarantine;
  auto &quarantine = CurrentState.Quarantine;
  if (Event.Report.PeerAddress == CurrentState.Self.PeerAddress)
    return;
  for (auto const &it : report.Cleared) {
    if (quarantine.recordCleared(it, now()))
      release(it.Key, "cleared by a peer");
  }
  for (auto const &it : report.Interrupted)
    quarantine.recordInterruption(it, now());
  for (auto const &it : report.Quarantined) {
    if (quarantine.quarantine(it.Suspect, now() - it.CrashAge, now()))
      apply(it.Suspect, Event.Report.PeerAddress, 0, 0);
  }
}

auto QuarantineReducer::on(QuarantineListed const &Event) -> void {
  for (auto const &it : Event.Suspects) {
    if (CurrentState.Quarantine.quarantine(it, CurrentState.StartedAt, now()))
      apply(it, "store", 0, 0);
    CurrentState.Quarantine.markStored(it.Key);
    // It was shown to be harmless recently.
    if (!CurrentState.Quarantine.find({&it.Key, 1}))
      emit(DeleteQuarantine{it.Key});
  }
}

auto QuarantineReducer::on(Tick const & /*Event*/) -> void {
  auto &quarantine = CurrentState.Quarantine;
  for (auto it : quarantine.expire(now()))
    release(it, "time passed");
  auto propagationTime =
      PropagationIntervals * CurrentState.Peers.reportInterval();
  auto const changes = quarantine.evaluate(propagationTime, now());
  for (auto const &it : changes.Added)
    apply(it.Suspect, "evidence", it.Crashes, it.Requests);
  for (auto it : changes.Cleared)
    release(it, "another suspect is the cause");
  // Watchers write on behalf of their peers.
  if (!CurrentState.StoreWatch.IsWatcher)
    return;
  for (auto const &it : quarantine.takeUnstored())
    emit(StoreQuarantine{it});
}

auto QuarantineReducer::apply(Suspect const &Target, std::string_view Source,
                              std::size_t Crashes, std::size_t Requests)
    -> void {
  log(LogLevel::Warning, "suspect-quarantined",
      "suspect={:016x} kind={} from={} crashes={} requests={}", Target.Key,
      toString(Target.Kind), quoteLogValue(Source), Crashes, Requests);
  CurrentState.NextReportAt = now();
  auto affected = std::vector<RequestNumber>{};
  for (auto const &it : CurrentState.Requests) {
    auto const &request = it.second;
    auto const keys = request.suspectKeys();
    auto const &attempt = request.CurrentAttempt;
    // Most requests with an ambiguous suspect are sound, and those that reached
    // their server show it.
    auto continues = attempt && !attempt->IsPrefill &&
                     (attempt->HasFirstPart ||
                      (isAmbiguous(Target.Kind) && attempt->IsSent));
    if (!continues && std::ranges::find(keys, Target.Key) != keys.end())
      affected.push_back(it.first);
  }
  for (auto it : affected) {
    auto const reason = refusal(Target);
    auto code = find(it)->MayHaveRun ? ResultCode::AnswerLost : reason.Code;
    RequestReducer(CurrentState, Output).fail(it, code, reason.RetryAfter);
  }
}

auto QuarantineReducer::release(SuspectKey Key, std::string_view Reason)
    -> void {
  log(LogLevel::Warning, "suspect-released", "suspect={:016x} reason={}", Key,
      quoteLogValue(Reason));
  CurrentState.NextReportAt = now();
  if (CurrentState.StoreWatch.IsWatcher)
    emit(DeleteQuarantine{Key});
}

} // namespace dotterel::relay
