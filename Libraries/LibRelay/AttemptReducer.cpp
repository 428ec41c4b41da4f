#include "LibRelay/AttemptReducer.h"

#include "LibRelay/FleetReducer.h"
#include "LibRelay/RequestReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// A server that said it is full is avoided for about one of its requests.
constexpr auto AvoidFullServer = Duration{150ms};
/// Time after which a caller should come back to a full service.
constexpr auto ReturnToFullService = Duration{250ms};
/// A retry needs at least this part of the target to have a use.
constexpr auto SmallestTimeForRetry = 0.2;
constexpr auto FirstErrorStatus = 500U;

} // namespace

auto AttemptReducer::findCurrent(AttemptId const &Name) -> InFlightRequest * {
  auto *call = find(Name.Request);
  if (call == nullptr || !call->CurrentAttempt ||
      call->CurrentAttempt->Number != Name.Number)
    return nullptr;
  return call;
}

auto AttemptReducer::serverOf(InFlightRequest const &Target) -> Server * {
  return CurrentState.Servers.findByKey(Target.CurrentAttempt->Key);
}

auto AttemptReducer::on(AttemptConnected const &Event) -> void {
  auto *call = findCurrent(Event.Attempt);
  if (call == nullptr)
    return emit(CancelAttempt{Event.Attempt});
  auto &attempt = *call->CurrentAttempt;
  auto const *server = serverOf(*call);
  // The server may have begun to leave while the connection was made.
  if (server == nullptr || !server->isUsable(now())) {
    emit(CancelAttempt{Event.Attempt});
    if (!retry(Event.Attempt.Request, ResultCode::NoBackendAvailable, false))
      RequestReducer(CurrentState, Output)
          .fail(Event.Attempt.Request, ResultCode::NoBackendAvailable,
                ReturnToFullService);
    return;
  }
  attempt.IsSent = true;
  attempt.SentAt = now();
  attempt.LastPartAt = now();
  if (!attempt.IsPrefill) {
    call->MayHaveRun = true;
    ++call->ServersUsed;
  } else if (call->PrefillsMade > 1) {
    ++call->ServersUsed;
  }
  auto send = SendAttempt{Event.Attempt, call->Content, {}, false};
  send.IsStream = call->MatchedRoute->IsStream && !attempt.IsPrefill;
  auto &orders = send.Parameters;
  if (call->Content->TimeLimit)
    orders.TimeLimit = std::max(Duration{1ms}, *call->Content->TimeLimit -
                                                   (now() - call->ArrivedAt));
  orders.ExpectedServer = attempt.Server;
  orders.IsPrefill = attempt.IsPrefill;
  orders.PrefillAddress = attempt.PrefillAddress;
  orders.PrefillHandle = attempt.PrefillHandle;
  orders.CacheSource = attempt.CacheSource;
  orders.LastEventId = call->LastEventId;
  emit(std::move(send));
}

auto AttemptReducer::observeFailure(InFlightRequest const &Target,
                                    AttemptId const &Name,
                                    std::string_view Reason) -> void {
  auto *server = serverOf(Target);
  if (server != nullptr)
    server->recordFailure(now());
  log(LogLevel::Warning, "attempt-failed",
      "id={} attempt={} server={} reason={} failure_share={:.2f} known={}",
      quoteLogValue(Target.Content->Id), Name.Number,
      Target.CurrentAttempt->Server, quoteLogValue(Reason),
      server == nullptr ? 1 : server->FailureShare, server != nullptr);
}

auto AttemptReducer::retry(RequestNumber Number, ResultCode Failure,
                           bool HasReachedServer) -> bool {
  auto &call = *find(Number);
  auto timeLeft = call.Deadline - now();
  if (timeLeft < scaled(call.MatchedRoute->TargetLatency, SmallestTimeForRetry))
    return false;
  if (call.ServersUsed >= call.MatchedRoute->MaximumServers)
    return false;
  if (HasReachedServer &&
      !CurrentState.RetryBudgets[call.Service].withdraw(
          CurrentState.Options.Retries, CurrentState.Peers.fleetSize(), now()))
    return false;
  call.ExcludedServers.insert(call.CurrentAttempt->Server);
  auto requests = RequestReducer(CurrentState, Output);
  requests.endAttempt(call);
  emit(IncrementCounter{call.HasHeader ? CounterMetric::Resumes
                                       : CounterMetric::Retries,
                        call.MatchedRoute->Name,
                        {}});
  requests.place(Number, Failure);
  return true;
}

auto AttemptReducer::on(AttemptUnreachable const &Event) -> void {
  auto *call = findCurrent(Event.Attempt);
  if (call == nullptr)
    return;
  observeFailure(*call, Event.Attempt, Event.Reason);
  if (auto *server = serverOf(*call)) {
    server->Health.eject(now());
    server->UnreachableAt = now();
    FleetReducer(CurrentState, Output)
        .suspect(*server, CurrentState.Self.PeerAddress,
                 CurrentState.Self.Incarnation);
  }
  if (!retry(Event.Attempt.Request, ResultCode::NoBackendAvailable, false))
    RequestReducer(CurrentState, Output)
        .fail(Event.Attempt.Request, ResultCode::NoBackendAvailable,
              ReturnToFullService);
}

auto AttemptReducer::on(AttemptResponded const &Event) -> void {
  auto *call = findCurrent(Event.Attempt);
  if (call == nullptr)
    return;
  auto number = Event.Attempt.Request;
  auto const &answer = Event.Response;
  if (answer.IsNotExecuted || answer.IsMisdirected)
    return handleRefusal(number, *call, answer);
  if (call->CurrentAttempt->IsPrefill) {
    // Anything but a handle: let an engine that makes tokens read the prompt.
    observeFailure(*call, Event.Attempt, "prefill failed");
    if (!retry(number, ResultCode::NoBackendAvailable, true))
      RequestReducer(CurrentState, Output)
          .fail(number, ResultCode::NoBackendAvailable, ReturnToFullService);
    return;
  }
  handleResponse(number, *call, answer);
}

auto AttemptReducer::handleRefusal(RequestNumber Number,
                                   InFlightRequest &Target,
                                   ServerResponse const &Answer) -> void {
  auto &attempt = *Target.CurrentAttempt;
  auto *server = serverOf(Target);
  log(LogLevel::Info, "attempt-refused",
      "id={} attempt={} server={} status={} misdirected={} load_requests={}",
      quoteLogValue(Target.Content->Id), attempt.Number, attempt.Server,
      Answer.Status, Answer.IsMisdirected,
      server == nullptr ? 0 : server->load().Requests);
  if (server != nullptr) {
    server->HasStaleAddress = server->HasStaleAddress || Answer.IsMisdirected;
    server->FullUntil = now() + AvoidFullServer;
    server->observeOutcome(true);
  }
  if (!attempt.IsPrefill) {
    // The server said that it did not run this attempt.
    Target.MayHaveRun = Target.ServersUsed > 1;
  }
  if (!retry(Number, ResultCode::NoBackendAvailable, true))
    RequestReducer(CurrentState, Output)
        .fail(Number, ResultCode::NoBackendAvailable, ReturnToFullService);
}

auto AttemptReducer::handleResponse(RequestNumber Number,
                                    InFlightRequest &Target,
                                    ServerResponse Answer) -> void {
  auto isError = Answer.Status >= FirstErrorStatus;
  auto &attempt = *Target.CurrentAttempt;
  if (auto *server = serverOf(Target)) {
    if (isError)
      server->observeOutcome(true);
    else
      server->recordSuccess();
    if (!isError && !Target.MatchedRoute->IsStream)
      server->observeDuration(now() - attempt.SentAt,
                              Target.MatchedRoute->TargetLatency);
  }
  if (isError && Target.isRetryable() &&
      retry(Number, ResultCode::RetriesExhausted, true))
    return;
  if (Target.HasHeader)
    return RequestReducer(CurrentState, Output)
        .fail(Number, ResultCode::AnswerLost, std::nullopt);
  auto status = Answer.Status;
  // Without the server's word that it did not run, these statuses would
  // promise too much.
  if (impliesNotExecuted(status) && !Target.isRetryable())
    return RequestReducer(CurrentState, Output)
        .fail(Number, ResultCode::AnswerLost, std::nullopt);
  emit(ObserveDuration{DurationMetric::FirstPart, Target.MatchedRoute->Name,
                       now() - Target.ArrivedAt});
  emit(ForwardResponse{Number, std::move(Answer)});
  RequestReducer(CurrentState, Output).endAttempt(Target);
  RequestReducer(CurrentState, Output)
      .finish(Number, ResultCode::Completed, status);
}

auto AttemptReducer::observeFirstPart(InFlightRequest &Target) -> void {
  auto &attempt = *Target.CurrentAttempt;
  auto requests = RequestReducer(CurrentState, Output);
  requests.completePrefill(attempt);
  attempt.HasFirstPart = true;
  auto taken = now() - attempt.SentAt;
  auto *server = serverOf(Target);
  if (server == nullptr)
    return;
  server->recordSuccess();
  log(LogLevel::Info, "first-part",
      "id={} attempt={} server={} prefill={} prefilled={} copied={} tokens={} "
      "tokens_ahead={} forecast_ms={} taken_ms={} slowness={:.2f}",
      quoteLogValue(Target.Content->Id), attempt.Number, attempt.Server,
      attempt.IsPrefill, !attempt.PrefillHandle.empty(),
      !attempt.CacheSource.empty(), attempt.PromptTokens, attempt.TokensAhead,
      toMilliseconds(attempt.Forecast), toMilliseconds(taken),
      server->Slowness);
  auto const &uses = Target.Prefixes;
  for (auto const &it : uses) {
    CurrentState.Prefixes.record(it.Hash, attempt.Key, now());
    CurrentState.UnreportedPrefixUses.push_back({it.Hash, attempt.Key});
  }
  if (!attempt.PrefillHandle.empty() || Target.Content->PromptTokens == 0)
    return;
  auto &model = CurrentState.SpeedModels[Target.Service];
  auto tokens = attempt.PromptTokens + attempt.TokensAhead;
  server->observeDuration(taken, attempt.Forecast);
  model.observe(tokens, attempt.IsPrefill, scaled(taken, 1 / server->Slowness));
}

auto AttemptReducer::on(AttemptPrefilled const &Event) -> void {
  auto *call = findCurrent(Event.Attempt);
  if (call == nullptr)
    return;
  observeFirstPart(*call);
  auto prefill = *call->CurrentAttempt;
  auto requests = RequestReducer(CurrentState, Output);
  requests.endAttempt(*call);
  requests.placePrefilled(Event.Attempt.Request, prefill, Event.Handle);
}

auto AttemptReducer::on(AttemptStreamStarted const &Event) -> void {
  auto *call = findCurrent(Event.Attempt);
  if (call == nullptr)
    return;
  // The caller gets the header with the first event; until then another
  // server may still serve it.
  if (!call->HasHeader)
    call->StreamHeader = Event.Header;
}

auto AttemptReducer::beginStream(RequestNumber Number, InFlightRequest &Target)
    -> void {
  if (Target.HasHeader || !Target.StreamHeader)
    return;
  Target.HasHeader = true;
  emit(ObserveDuration{DurationMetric::FirstPart, Target.MatchedRoute->Name,
                       now() - Target.ArrivedAt});
  emit(BeginStream{Number, *Target.StreamHeader});
}

auto AttemptReducer::on(AttemptEventsReceived const &Event) -> void {
  auto *call = findCurrent(Event.Attempt);
  if (call == nullptr)
    return;
  auto number = Event.Attempt.Request;
  if (!call->CurrentAttempt->HasFirstPart)
    observeFirstPart(*call);
  if (!call->HasHeader)
    call->TimeToFirstPart = now() - call->ArrivedAt;
  else
    call->LongestPause =
        std::max(call->LongestPause, now() - call->CurrentAttempt->LastPartAt);
  call->CurrentAttempt->LastPartAt = now();
  beginStream(number, *call);
  auto bytes = std::string{};
  for (auto const &it : Event.Events) {
    // A server that continues a stream may repeat what the caller has.
    if (it.HasId && it.Id <= call->LastEventId)
      continue;
    if (it.HasId)
      call->LastEventId = it.Id;
    bytes += it.Bytes;
  }
  if (!bytes.empty())
    emit(ForwardBytes{number, std::move(bytes)});
}

auto AttemptReducer::on(AttemptStreamEnded const &Event) -> void {
  auto *call = findCurrent(Event.Attempt);
  if (call == nullptr)
    return;
  auto number = Event.Attempt.Request;
  beginStream(number, *call);
  if (!Event.Remainder.empty())
    emit(ForwardBytes{number, Event.Remainder});
  emit(EndStream{number});
  auto requests = RequestReducer(CurrentState, Output);
  requests.endAttempt(*call);
  requests.finish(number, ResultCode::Completed, call->StreamHeader->Status);
}

auto AttemptReducer::on(AttemptInterrupted const &Event) -> void {
  auto *call = findCurrent(Event.Attempt);
  if (call == nullptr)
    return;
  observeFailure(*call, Event.Attempt, Event.Reason);
  auto number = Event.Attempt.Request;
  auto mayRepeat = call->CurrentAttempt->IsPrefill || call->isRetryable();
  if (mayRepeat && retry(number, ResultCode::RetriesExhausted, true))
    return;
  RequestReducer(CurrentState, Output)
      .fail(number,
            call->MayHaveRun ? ResultCode::AnswerLost
                             : ResultCode::NoBackendAvailable,
            ReturnToFullService);
}

auto AttemptReducer::abandon(AttemptId Attempt, std::string_view Reason)
    -> void {
  auto *call = findCurrent(Attempt);
  if (call == nullptr)
    return;
  auto previous = *call->CurrentAttempt;
  if (!retry(Attempt.Request, ResultCode::RetriesExhausted, true))
    return;
  emit(CancelAttempt{Attempt});
  if (auto *server = CurrentState.Servers.findByKey(previous.Key))
    server->recordFailure(now());
  log(LogLevel::Warning, "attempt-abandoned",
      "request={} attempt={} server={} reason={} waited_ms={}", Attempt.Request,
      Attempt.Number, previous.Server, quoteLogValue(Reason),
      toMilliseconds(now() - previous.SentAt));
}

} // namespace dotterel::relay
