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

auto AttemptReducer::findCurrent(AttemptName const &Name) -> Call * {
  auto *call = find(Name.Request);
  if (call == nullptr || !call->Current || call->Current->Number != Name.Number)
    return nullptr;
  return call;
}

auto AttemptReducer::serverOf(Call const &Target) -> Server * {
  return Subject.Servers.findKey(Target.Current->Key);
}

auto AttemptReducer::on(AttemptConnected const &Happened) -> void {
  auto *call = findCurrent(Happened.Attempt);
  if (call == nullptr)
    return emit(CancelAttempt{Happened.Attempt});
  auto &attempt = *call->Current;
  auto const *server = serverOf(*call);
  // The server may have begun to leave while the connection was made.
  if (server == nullptr || !server->isUsable(now())) {
    emit(CancelAttempt{Happened.Attempt});
    if (!retry(Happened.Attempt.Request, ResultCode::NoBackendAvailable, false))
      RequestReducer(Subject, Out)
          .fail(Happened.Attempt.Request, ResultCode::NoBackendAvailable,
                ReturnToFullService);
    return;
  }
  attempt.IsSent = true;
  attempt.SentAt = now();
  attempt.LastPart = now();
  if (!attempt.IsPrefill) {
    call->MayHaveRun = true;
    ++call->ServersUsed;
  } else if (call->PrefillsMade > 1) {
    ++call->ServersUsed;
  }
  auto send = SendAttempt{Happened.Attempt, call->Content, {}, false};
  send.IsStream = call->Matched->IsStream && !attempt.IsPrefill;
  auto &orders = send.Orders;
  if (call->Content->TimeLimit)
    orders.TimeLimit = std::max(Duration{1ms}, *call->Content->TimeLimit -
                                                   (now() - call->Arrived));
  orders.ExpectedServer = attempt.Server;
  orders.IsPrefill = attempt.IsPrefill;
  orders.PrefilledAt = attempt.PrefilledAt;
  orders.PrefillHandle = attempt.PrefillHandle;
  orders.CopyFrom = attempt.CopyFrom;
  orders.LastEvent = call->LastEvent;
  emit(std::move(send));
}

auto AttemptReducer::observeFailure(Call const &Target, AttemptName const &Name,
                                    std::string_view Reason) -> void {
  auto *server = serverOf(Target);
  if (server != nullptr)
    server->recordFailure(now());
  log(LogLevel::Warning, "attempt-failed",
      "id={} attempt={} server={} reason={} failure_share={:.2f} known={}",
      quoteLogValue(Target.Content->Id), Name.Number, Target.Current->Server,
      quoteLogValue(Reason), server == nullptr ? 1 : server->FailureShare,
      server != nullptr);
}

auto AttemptReducer::retry(RequestNumber Number, ResultCode Failure,
                           bool HasReachedServer) -> bool {
  auto &call = *find(Number);
  auto timeLeft = call.Deadline - now();
  if (timeLeft < scaled(call.Matched->Target, SmallestTimeForRetry))
    return false;
  if (call.ServersUsed >= call.Matched->MaximumServers)
    return false;
  if (HasReachedServer &&
      !Subject.Retries[call.Service].withdraw(Subject.Given.Retries,
                                              Subject.Peers.fleetSize(), now()))
    return false;
  call.Avoided.insert(call.Current->Server);
  auto requests = RequestReducer(Subject, Out);
  requests.endAttempt(call);
  emit(CountOne{call.HasHeader ? CountMetric::Resumes : CountMetric::Retries,
                call.Matched->Name,
                {}});
  requests.place(Number, Failure);
  return true;
}

auto AttemptReducer::on(AttemptUnreachable const &Happened) -> void {
  auto *call = findCurrent(Happened.Attempt);
  if (call == nullptr)
    return;
  observeFailure(*call, Happened.Attempt, Happened.Reason);
  if (auto *server = serverOf(*call)) {
    server->Health.eject(now());
    server->UnreachableAt = now();
    FleetReducer(Subject, Out)
        .suspect(*server, Subject.Self.PeerAddress, Subject.Self.Incarnation);
  }
  if (!retry(Happened.Attempt.Request, ResultCode::NoBackendAvailable, false))
    RequestReducer(Subject, Out)
        .fail(Happened.Attempt.Request, ResultCode::NoBackendAvailable,
              ReturnToFullService);
}

auto AttemptReducer::on(AttemptAnswered const &Happened) -> void {
  auto *call = findCurrent(Happened.Attempt);
  if (call == nullptr)
    return;
  auto number = Happened.Attempt.Request;
  auto const &answer = Happened.Answer;
  if (answer.IsNotExecuted || answer.IsMisdirected)
    return answerRefused(number, *call, answer);
  if (call->Current->IsPrefill) {
    // Anything but a handle: let an engine that makes tokens read the prompt.
    observeFailure(*call, Happened.Attempt, "prefill failed");
    if (!retry(number, ResultCode::NoBackendAvailable, true))
      RequestReducer(Subject, Out)
          .fail(number, ResultCode::NoBackendAvailable, ReturnToFullService);
    return;
  }
  answerRan(number, *call, answer);
}

auto AttemptReducer::answerRefused(RequestNumber Number, Call &Target,
                                   ServerAnswer const &Answer) -> void {
  auto &attempt = *Target.Current;
  auto *server = serverOf(Target);
  log(LogLevel::Info, "attempt-refused",
      "id={} attempt={} server={} status={} misdirected={} load_requests={}",
      quoteLogValue(Target.Content->Id), attempt.Number, attempt.Server,
      Answer.Status, Answer.IsMisdirected,
      server == nullptr ? 0 : server->load().Requests);
  if (server != nullptr) {
    server->IsMisplaced = server->IsMisplaced || Answer.IsMisdirected;
    server->FullUntil = now() + AvoidFullServer;
    server->observeOutcome(true);
  }
  if (!attempt.IsPrefill) {
    // The server said that it did not run this attempt.
    Target.MayHaveRun = Target.ServersUsed > 1;
  }
  if (!retry(Number, ResultCode::NoBackendAvailable, true))
    RequestReducer(Subject, Out)
        .fail(Number, ResultCode::NoBackendAvailable, ReturnToFullService);
}

auto AttemptReducer::answerRan(RequestNumber Number, Call &Target,
                               ServerAnswer Answer) -> void {
  auto isError = Answer.Status >= FirstErrorStatus;
  auto &attempt = *Target.Current;
  if (auto *server = serverOf(Target)) {
    if (isError)
      server->observeOutcome(true);
    else
      server->recordSuccess();
    if (!isError && !Target.Matched->IsStream)
      server->observeDuration(now() - attempt.SentAt, Target.Matched->Target);
  }
  if (isError && Target.mayRepeat() &&
      retry(Number, ResultCode::RetriesExhausted, true))
    return;
  if (Target.HasHeader)
    return RequestReducer(Subject, Out)
        .fail(Number, ResultCode::AnswerLost, std::nullopt);
  auto status = Answer.Status;
  // Without the server's word that it did not run, these statuses would
  // promise too much.
  if (promisesNotRun(status) && !Target.mayRepeat())
    return RequestReducer(Subject, Out)
        .fail(Number, ResultCode::AnswerLost, std::nullopt);
  emit(ObserveDuration{DurationMetric::FirstPart, Target.Matched->Name,
                       now() - Target.Arrived});
  emit(ForwardAnswer{Number, std::move(Answer)});
  RequestReducer(Subject, Out).endAttempt(Target);
  RequestReducer(Subject, Out).finish(Number, ResultCode::Completed, status);
}

auto AttemptReducer::observeFirstPart(Call &Target) -> void {
  auto &attempt = *Target.Current;
  auto requests = RequestReducer(Subject, Out);
  requests.settlePrompt(attempt);
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
      !attempt.CopyFrom.empty(), attempt.PromptTokens, attempt.TokensAhead,
      toMilliseconds(attempt.Forecast), toMilliseconds(taken),
      server->Slowness);
  auto const &uses = Target.Prefixes;
  for (auto const &it : uses) {
    Subject.Prefixes.record(it.Hash, attempt.Key, now());
    Subject.NewPrefixUses.push_back({it.Hash, attempt.Key});
  }
  if (!attempt.PrefillHandle.empty() || Target.Content->PromptTokens == 0)
    return;
  auto &model = Subject.Speeds[Target.Service];
  auto tokens = attempt.PromptTokens + attempt.TokensAhead;
  server->observeDuration(taken, attempt.Forecast);
  model.observe(tokens, attempt.IsPrefill, scaled(taken, 1 / server->Slowness));
}

auto AttemptReducer::on(AttemptPrefilled const &Happened) -> void {
  auto *call = findCurrent(Happened.Attempt);
  if (call == nullptr)
    return;
  observeFirstPart(*call);
  auto prefill = *call->Current;
  auto requests = RequestReducer(Subject, Out);
  requests.endAttempt(*call);
  requests.placePrefilled(Happened.Attempt.Request, prefill, Happened.Handle);
}

auto AttemptReducer::on(AttemptStreamBegan const &Happened) -> void {
  auto *call = findCurrent(Happened.Attempt);
  if (call == nullptr)
    return;
  // The caller gets the header with the first event; until then another
  // server may still serve it.
  if (!call->HasHeader)
    call->Header = Happened.Header;
}

auto AttemptReducer::beginStream(RequestNumber Number, Call &Target) -> void {
  if (Target.HasHeader || !Target.Header)
    return;
  Target.HasHeader = true;
  emit(ObserveDuration{DurationMetric::FirstPart, Target.Matched->Name,
                       now() - Target.Arrived});
  emit(BeginStream{Number, *Target.Header});
}

auto AttemptReducer::on(AttemptStreamed const &Happened) -> void {
  auto *call = findCurrent(Happened.Attempt);
  if (call == nullptr)
    return;
  auto number = Happened.Attempt.Request;
  if (!call->Current->HasFirstPart)
    observeFirstPart(*call);
  if (!call->HasHeader)
    call->FirstPart = now() - call->Arrived;
  else
    call->LongestPause =
        std::max(call->LongestPause, now() - call->Current->LastPart);
  call->Current->LastPart = now();
  beginStream(number, *call);
  auto bytes = std::string{};
  for (auto const &it : Happened.Events) {
    // A server that continues a stream may repeat what the caller has.
    if (it.HasId && it.Id <= call->LastEvent)
      continue;
    if (it.HasId)
      call->LastEvent = it.Id;
    bytes += it.Bytes;
  }
  if (!bytes.empty())
    emit(ForwardBytes{number, std::move(bytes)});
}

auto AttemptReducer::on(AttemptStreamEnded const &Happened) -> void {
  auto *call = findCurrent(Happened.Attempt);
  if (call == nullptr)
    return;
  auto number = Happened.Attempt.Request;
  beginStream(number, *call);
  if (!Happened.Rest.empty())
    emit(ForwardBytes{number, Happened.Rest});
  emit(EndStream{number});
  auto requests = RequestReducer(Subject, Out);
  requests.endAttempt(*call);
  requests.finish(number, ResultCode::Completed, call->Header->Status);
}

auto AttemptReducer::on(AttemptBroken const &Happened) -> void {
  auto *call = findCurrent(Happened.Attempt);
  if (call == nullptr)
    return;
  observeFailure(*call, Happened.Attempt, Happened.Reason);
  auto number = Happened.Attempt.Request;
  auto mayRepeat = call->Current->IsPrefill || call->mayRepeat();
  if (mayRepeat && retry(number, ResultCode::RetriesExhausted, true))
    return;
  RequestReducer(Subject, Out)
      .fail(number,
            call->MayHaveRun ? ResultCode::AnswerLost
                             : ResultCode::NoBackendAvailable,
            ReturnToFullService);
}

auto AttemptReducer::giveUp(AttemptName Attempt, std::string_view Reason)
    -> void {
  auto *call = findCurrent(Attempt);
  if (call == nullptr)
    return;
  auto previous = *call->Current;
  if (!retry(Attempt.Request, ResultCode::RetriesExhausted, true))
    return;
  emit(CancelAttempt{Attempt});
  if (auto *server = Subject.Servers.findKey(previous.Key))
    server->recordFailure(now());
  log(LogLevel::Warning, "attempt-abandoned",
      "request={} attempt={} server={} reason={} waited_ms={}", Attempt.Request,
      Attempt.Number, previous.Server, quoteLogValue(Reason),
      toMilliseconds(now() - previous.SentAt));
}

} // namespace dotterel::relay
