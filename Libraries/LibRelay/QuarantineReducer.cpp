#include "LibRelay/QuarantineReducer.h"

#include "LibRelay/RequestReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Report intervals until the peers' reports of a crash have arrived. One
/// report may be lost.
constexpr auto PropagationIntervals = 2;

} // namespace

auto QuarantineReducer::observeInterruption(InFlightRequest const &Request)
    -> void {
  auto const &attempt = *Request.CurrentAttempt;
  if (attempt.IsSent && !Request.SharedSegments.empty())
    CurrentState.Quarantine.recordOwnInterruption(
        describeInterruption(*Request.Content, attempt.Key), now());
}

auto QuarantineReducer::observeCompletion(InFlightRequest const &Request)
    -> void {
  for (auto it :
       CurrentState.Quarantine.recordCompletion(Request.SharedSegments, now()))
    release(it, "prompt completed");
}

auto QuarantineReducer::on(PeerReported const &Event) -> void {
  auto const &report = Event.Report.Quarantine;
  auto &quarantine = CurrentState.Quarantine;
  if (Event.Report.PeerAddress == CurrentState.Self.PeerAddress)
    return;
  for (auto const &it : report.Completed) {
    if (quarantine.recordCompletedSegment(it, now()))
      release(it.Segment, "prompt completed at a peer");
  }
  for (auto const &it : report.Interrupted)
    quarantine.recordInterruption(it, now());
  for (auto it : report.Quarantined) {
    if (quarantine.quarantine(it, now()))
      apply(it, Event.Report.PeerAddress, 0, 0);
  }
}

auto QuarantineReducer::on(QuarantineListed const &Event) -> void {
  for (auto it : Event.Segments) {
    if (CurrentState.Quarantine.quarantine(it, now()))
      apply(it, "store", 0, 0);
    CurrentState.Quarantine.markStored(it);
    // A prompt with the segment was completed recently.
    if (!CurrentState.Quarantine.findQuarantined({&it, 1}))
      emit(DeleteQuarantine{it});
  }
}

auto QuarantineReducer::on(Tick const & /*Event*/) -> void {
  auto &quarantine = CurrentState.Quarantine;
  for (auto it : quarantine.expire(now()))
    release(it, "time passed");
  auto propagationTime =
      PropagationIntervals * CurrentState.Peers.reportInterval();
  for (auto const &it : quarantine.evaluate(propagationTime, now()))
    apply(it.Segment, "evidence", it.Crashes, it.Prompts);
  // Watchers write on behalf of their peers.
  if (!CurrentState.StoreWatch.IsWatcher)
    return;
  for (auto it : quarantine.takeUnstored())
    emit(StoreQuarantine{it});
}

auto QuarantineReducer::apply(SuspectKey Segment, std::string_view Source,
                              std::size_t Crashes, std::size_t Prompts)
    -> void {
  log(LogLevel::Warning, "segment-quarantined",
      "segment={:016x} from={} crashes={} prompts={}", Segment,
      quoteLogValue(Source), Crashes, Prompts);
  CurrentState.NextReportAt = now();
  auto affected = std::vector<RequestNumber>{};
  for (auto const &it : CurrentState.Requests) {
    auto const &request = it.second;
    auto const &segments = request.SharedSegments;
    auto isDecoded = request.CurrentAttempt &&
                     !request.CurrentAttempt->IsPrefill &&
                     request.CurrentAttempt->HasFirstPart;
    if (!isDecoded && std::ranges::find(segments, Segment) != segments.end())
      affected.push_back(it.first);
  }
  for (auto it : affected) {
    auto code = find(it)->MayHaveRun ? ResultCode::AnswerLost
                                     : ResultCode::PromptQuarantined;
    RequestReducer(CurrentState, Output)
        .fail(it, code, CurrentState.Quarantine.timeLeft(Segment, now()));
  }
}

auto QuarantineReducer::release(SuspectKey Segment, std::string_view Reason)
    -> void {
  log(LogLevel::Warning, "segment-released", "segment={:016x} reason={}",
      Segment, quoteLogValue(Reason));
  CurrentState.NextReportAt = now();
  if (CurrentState.StoreWatch.IsWatcher)
    emit(DeleteQuarantine{Segment});
}

} // namespace dotterel::relay
