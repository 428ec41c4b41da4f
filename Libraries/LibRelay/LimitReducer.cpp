#include "LibRelay/LimitReducer.h"

#include "LibRelay/Coordinator.h"
#include "LibRelay/RequestReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

constexpr auto FirstSuccessStatus = 200U;
constexpr auto FirstRedirectStatus = 300U;
/// Issuers answer within a few milliseconds, on a busy machine within tens.
constexpr auto PermitTimeout = Duration{150ms};
/// Time after which to ask again if no instance issues permits: instances learn
/// of each other with their reports.
constexpr auto NoIssuerBackoff = Duration{200ms};
/// Upper bound on the time that an issuer can ask to wait.
constexpr auto MaximumPermitWait = Duration{2s};

} // namespace

auto LimitReducer::logChange(ServerKey Key, LimitChange Change,
                             std::string_view Source) -> void {
  if (Change == LimitChange::None)
    return;
  auto const *server = CurrentState.Servers.findByKey(Key);
  log(LogLevel::Info, "server-limit-changed",
      "server={} key={} named={} per_second={} from={}",
      server == nullptr ? "-" : server->Description.Id, Key,
      Change == LimitChange::Named, CurrentState.Limits.find(Key).value_or(0),
      quoteLogValue(Source));
}

auto LimitReducer::observeResponse(Server const &Target, unsigned Status,
                                   ServerNotice const &Notice, Instant SentAt)
    -> void {
  // An error may come from a part of the server that does not know the limit.
  auto isSuccess = Status >= FirstSuccessStatus && Status < FirstRedirectStatus;
  if (!Notice.RequestLimit && (Notice.NamesLimit || !isSuccess))
    return;
  auto change = CurrentState.Limits.observe(Target.Key, Notice.RequestLimit,
                                            SentAt, now());
  logChange(Target.Key, change, CurrentState.Self.Instance);
}

auto LimitReducer::adopt(LimitReport const &Report, std::string_view Source)
    -> void {
  logChange(Report.Server, CurrentState.Limits.adopt(Report, now()), Source);
}

auto LimitReducer::fleetShare() const -> double {
  auto heard = 1U;
  auto known = 1U;
  for (auto const &it : CurrentState.Peers.all()) {
    heard += it.second.LastReport ? 1 : 0;
    known += isKnownWell(CurrentState, it.second) ? 1 : 0;
  }
  return static_cast<double>(known) / heard;
}

auto LimitReducer::issue(ServerKey Key) -> std::optional<Duration> {
  if (findCoordinator(CurrentState, Key) != CurrentState.Self.PeerAddress)
    return NoIssuerBackoff;
  // The limit may have ended since the other instance observed it.
  if (!CurrentState.Limits.find(Key))
    return std::nullopt;
  return CurrentState.Limits.takePermit(Key, fleetShare(), now());
}

auto LimitReducer::countPermit(std::string_view Outcome) -> void {
  emit(IncrementCounter{CounterMetric::Permits, {}, std::string(Outcome)});
}

auto LimitReducer::acquire(Server const &Target, AttemptId Attempt)
    -> PermitStatus {
  auto &limits = CurrentState.Limits;
  auto perSecond = limits.find(Target.Key);
  if (!perSecond)
    return PermitStatus::Granted;
  auto issuer = findCoordinator(CurrentState, Target.Key);
  if (issuer && *issuer != CurrentState.Self.PeerAddress) {
    emit(SendPermitRequest{*issuer,
                           {Target.Key, Attempt, CurrentState.Self.Incarnation,
                            *perSecond, limits.age(Target.Key, now())}});
    return PermitStatus::Pending;
  }
  auto wait = issue(Target.Key);
  countPermit(wait ? "denied" : "granted");
  if (!wait)
    return PermitStatus::Granted;
  limits.block(Target.Key, now() + *wait);
  return PermitStatus::Denied;
}

auto LimitReducer::on(PermitRequested const &Event) -> void {
  auto const &request = Event.Request;
  adopt({request.Server, request.PerSecond, request.Age}, Event.PeerAddress);
  auto wait = issue(request.Server);
  emit(SendPermitResponse{Event.PeerAddress,
                          {request.Server, request.Attempt, request.Incarnation,
                           !wait, wait.value_or(Duration{})}});
}

auto LimitReducer::on(PermitAnswered const &Event) -> void {
  auto const &response = Event.Response;
  auto *request = find(response.Attempt.Request);
  // Answers to an earlier incarnation, or to an attempt that no longer waits,
  // are dropped.
  if (response.Incarnation != CurrentState.Self.Incarnation ||
      request == nullptr || !request->CurrentAttempt ||
      request->CurrentAttempt->Number != response.Attempt.Number ||
      !request->CurrentAttempt->PermitRequestedAt)
    return;
  // A permit is for now: one that was delayed may meet those of a later time.
  if (now() - *request->CurrentAttempt->PermitRequestedAt >= PermitTimeout)
    return timeOut(response.Attempt.Request);
  if (!response.IsGranted)
    return deny(response.Attempt.Request, response.Server,
                std::min(response.Wait, MaximumPermitWait), "denied");
  countPermit("granted");
  RequestReducer(CurrentState, Output).connectAttempt(response.Attempt.Request);
}

auto LimitReducer::timeOut(RequestNumber Number) -> void {
  auto const &attempt = *find(Number)->CurrentAttempt;
  if (now() - *attempt.PermitRequestedAt >= PermitTimeout)
    deny(Number, attempt.Key, NoIssuerBackoff, "unanswered");
}

auto LimitReducer::deny(RequestNumber Number, ServerKey Key, Duration Wait,
                        std::string_view Outcome) -> void {
  auto const &request = *find(Number);
  log(LogLevel::Info, "permit-denied",
      "id={} attempt={} server={} outcome={} wait_ms={}",
      quoteLogValue(request.Content->Id), request.CurrentAttempt->Number,
      request.CurrentAttempt->Server, Outcome, toMilliseconds(Wait));
  countPermit(Outcome);
  CurrentState.Limits.block(Key, now() + Wait);
  RequestReducer(CurrentState, Output).placeElsewhere(Number);
}

} // namespace dotterel::relay
