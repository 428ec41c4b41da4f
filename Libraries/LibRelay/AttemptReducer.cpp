#include "LibRelay/AttemptReducer.h"

#include "LibRelay/CustomerReducer.h"
#include "LibRelay/FleetReducer.h"
#include "LibRelay/LimitReducer.h"
#include "LibRelay/QuarantineReducer.h"
#include "LibRelay/RequestReducer.h"
#include "LibRelay/ServerListReducer.h"

#include <algorithm>
#include <cctype>

namespace dotterel::relay {

namespace {

/// A server that responded that it is full is avoided for about the duration of
/// one request.
constexpr auto FullServerBackoff = Duration{150ms};
/// Time after which a caller should retry if the servers that were tried are
/// full or failed.
constexpr auto RetryAfterFullService = Duration{250ms};
/// Minimum time left for a retry, as a share of the target latency; a retry
/// with less time is unlikely to succeed.
constexpr auto MinimumRetryTimeShare = 0.2;
constexpr auto FirstErrorStatus = 500U;
constexpr auto ContentTypeField = std::string_view{"Content-Type"};
constexpr auto EventStreamType = std::string_view{"text/event-stream"};
/// Status of the response to a prefill that a server accepted.
constexpr auto PrefilledStatus = 200U;

/// Returns the name of a kind of send as used in metrics.
auto sendKind(bool IsPrefill, bool IsRepeat) -> std::string_view {
  if (IsPrefill)
    return IsRepeat ? "repeated-prefill" : "prefill";
  return IsRepeat ? "repeat" : "first";
}

/// Returns the segments of a prompt as used in logs: hashes in the order of the
/// prompt, separated by commas.
auto describeSegments(std::span<PromptSegment const> Segments) -> std::string {
  auto text = std::string{};
  for (auto const &it : Segments)
    text += fmt::format("{}{:016x}", text.empty() ? "" : ",", it.Hash);
  return text.empty() ? "-" : text;
}

/// Returns whether \p Text begins with \p Prefix in any case.
auto startsWith(std::string_view Text, std::string_view Prefix) -> bool {
  auto toLower = [](unsigned char it) { return std::tolower(it); };
  return std::ranges::equal(Text.substr(0, Prefix.size()), Prefix, {}, toLower,
                            toLower);
}

/// Returns whether \p Header begins events, which is assumed without a type.
auto isEventStream(ServerResponse const &Header) -> bool {
  auto it = std::ranges::find_if(Header.Fields, [](HttpField const &Field) {
    return Field.Name.size() == ContentTypeField.size() &&
           startsWith(Field.Name, ContentTypeField);
  });
  return it == Header.Fields.end() || startsWith(it->Value, EventStreamType);
}

/// Returns why a stream that its server ended is not complete, or an empty view
/// if it is.
auto describeTruncation(Attempt const &Target, std::string_view Remainder)
    -> std::string_view {
  if (isInsideEvent(Remainder))
    return "stream ended inside an event";
  // A server that fails before its first event ends such a response in the same
  // way as one that has nothing to send.
  if (Target.Framing == BodyFraming::UntilClose && !Target.HasFirstPart)
    return "stream ended before its first event";
  return {};
}

} // namespace

auto AttemptReducer::findCurrent(AttemptId const &Id) -> InFlightRequest * {
  auto *request = find(Id.Request);
  if (request == nullptr || !request->CurrentAttempt ||
      request->CurrentAttempt->Number != Id.Number)
    return nullptr;
  return request;
}

auto AttemptReducer::serverOf(InFlightRequest const &Request) -> Server * {
  return CurrentState.Servers.findByKey(Request.CurrentAttempt->Key);
}

auto AttemptReducer::on(AttemptConnected const &Event) -> void {
  auto *request = findCurrent(Event.Attempt);
  if (request == nullptr)
    return emit(CancelAttempt{Event.Attempt});
  auto &attempt = *request->CurrentAttempt;
  auto const *server = serverOf(*request);
  // The server may have started to drain while the connection was established.
  if (server == nullptr || !server->isUsable(now())) {
    emit(CancelAttempt{Event.Attempt});
    if (!retry(Event.Attempt.Request, ResultCode::NoBackendAvailable))
      RequestReducer(CurrentState, Output)
          .fail(Event.Attempt.Request, ResultCode::NoBackendAvailable,
                RetryAfterFullService);
    return;
  }
  auto isRepeat =
      attempt.IsPrefill ? request->PrefillsSent > 0 : request->DecodesSent > 0;
  if (request->countedSends() > 0)
    --request->RetryCredit;
  ++(attempt.IsPrefill ? request->PrefillsSent : request->DecodesSent);
  attempt.IsSent = true;
  attempt.SentAt = now();
  attempt.LastPartAt = now();
  if (!attempt.IsPrefill) {
    request->MayHaveRun = true;
    ++request->ServersUsed;
  } else if (request->PrefillsMade > 1) {
    ++request->ServersUsed;
  }
  auto send = SendAttempt{Event.Attempt, request->Content, {}, false};
  send.IsStream = request->MatchedRoute->IsStream && !attempt.IsPrefill;
  auto &parameters = send.Parameters;
  if (request->Content->TimeLimit)
    parameters.TimeLimit =
        std::max(Duration{1ms},
                 *request->Content->TimeLimit - (now() - request->ArrivedAt));
  parameters.ExpectedServer = attempt.Server;
  parameters.IsPrefill = attempt.IsPrefill;
  if (attempt.Prefilled) {
    parameters.PrefillAddress = attempt.Prefilled->Address;
    parameters.PrefillHandle = attempt.Prefilled->Handle;
  }
  parameters.CacheSource = attempt.CacheSource;
  parameters.QueueRank = attempt.QueueRank;
  parameters.LastEventId = request->LastEventId;
  parameters.Customer = request->Customer;
  parameters.ForwardsCredentials = request->Config->customers() == nullptr;
  emit(IncrementCounter{CounterMetric::Sends, request->MatchedRoute->Name,
                        std::string(sendKind(attempt.IsPrefill, isRepeat))});
  if (CurrentState.Limits.find(attempt.Key))
    emit(IncrementCounter{CounterMetric::LimitedSends, {}, request->Service});
  emit(std::move(send));
}

auto AttemptReducer::observeFailure(InFlightRequest const &Request,
                                    AttemptId const &Id,
                                    std::string_view Reason) -> void {
  auto *server = serverOf(Request);
  if (server != nullptr)
    server->recordFailure(now());
  auto const &attempt = *Request.CurrentAttempt;
  log(LogLevel::Warning, "attempt-failed",
      "id={} attempt={} server={} reason={} framing={} failure_share={:.2f} "
      "known={} sent={} identity={} segments={}",
      quoteLogValue(Request.Content->Id), Id.Number, attempt.Server,
      quoteLogValue(Reason), attempt.Framing ? toString(*attempt.Framing) : "-",
      server == nullptr ? 1 : server->FailureShare, server != nullptr,
      attempt.IsSent, toString(Request.Identity),
      describeSegments(Request.Content->PromptSegments));
}

auto AttemptReducer::retry(RequestNumber Number, ResultCode Failure) -> bool {
  auto &request = *find(Number);
  auto timeLeft = request.Deadline - now();
  if (timeLeft <
      scaled(request.MatchedRoute->TargetLatency, MinimumRetryTimeShare))
    return false;
  if (request.ServersUsed >= request.MatchedRoute->MaximumServers)
    return false;
  if (CurrentState.Quarantine.find(request.suspectKeys()))
    return false;
  auto requests = RequestReducer(CurrentState, Output);
  if (!requests.reserveRetry(request, false))
    return false;
  request.ExcludedServers.insert(request.CurrentAttempt->Server);
  auto prefilled = requests.takeUnusedPrefill(request);
  requests.endAttempt(request);
  emit(IncrementCounter{request.HasHeader ? CounterMetric::Resumes
                                          : CounterMetric::Retries,
                        request.MatchedRoute->Name,
                        {}});
  if (prefilled)
    requests.placePrefilled(Number, *prefilled);
  else
    requests.place(Number, Failure);
  return true;
}

auto AttemptReducer::on(AttemptUnreachable const &Event) -> void {
  auto *request = findCurrent(Event.Attempt);
  if (request == nullptr)
    return;
  observeFailure(*request, Event.Attempt, Event.Reason);
  if (auto *server = serverOf(*request)) {
    server->Health.eject(now());
    server->UnreachableAt = now();
    FleetReducer(CurrentState, Output)
        .suspect(*server, CurrentState.Self.PeerAddress,
                 CurrentState.Self.Incarnation);
  }
  if (!retry(Event.Attempt.Request, ResultCode::NoBackendAvailable))
    RequestReducer(CurrentState, Output)
        .fail(Event.Attempt.Request, ResultCode::NoBackendAvailable,
              RetryAfterFullService);
}

auto AttemptReducer::on(ConnectionReleased const &Event) -> void {
  auto *request = findCurrent(Event.Attempt);
  if (request == nullptr)
    return;
  if (auto *server = serverOf(*request))
    server->IdleConnections.push_back(Event.IdleUntil);
}

auto AttemptReducer::observeNotice(InFlightRequest const &Request,
                                   unsigned Status, ServerNotice const &Notice)
    -> void {
  QuarantineReducer(CurrentState, Output)
      .observeAnswer(Request.CurrentAttempt->Key);
  auto *server = serverOf(Request);
  if (server == nullptr)
    return;
  ServerListReducer(CurrentState, Output).observeNotice(*server, Notice);
  LimitReducer(CurrentState, Output)
      .observeResponse(*server, Status, Notice, Request.CurrentAttempt->SentAt);
}

auto AttemptReducer::on(AttemptResponded const &Event) -> void {
  auto *request = findCurrent(Event.Attempt);
  if (request == nullptr)
    return;
  auto number = Event.Attempt.Request;
  auto const &response = Event.Response;
  // Another server's response says nothing about the expected one.
  if (!response.IsMisdirected)
    observeNotice(*request, response.Status, response.Notice);
  if (response.IsNotExecuted || response.IsMisdirected)
    return handleRefusal(number, *request, response);
  if (request->CurrentAttempt->IsPrefill) {
    // The response carries no handle, so no engine can fetch the KV cache;
    // another engine has to prefill the prompt.
    observeFailure(*request, Event.Attempt, "prefill failed");
    if (!retry(number, ResultCode::NoBackendAvailable))
      RequestReducer(CurrentState, Output)
          .fail(number, ResultCode::NoBackendAvailable, RetryAfterFullService);
    return;
  }
  handleResponse(number, *request, response);
}

auto AttemptReducer::handleRefusal(RequestNumber Number,
                                   InFlightRequest &Request,
                                   ServerResponse const &Response) -> void {
  auto &attempt = *Request.CurrentAttempt;
  auto *server = serverOf(Request);
  log(LogLevel::Info, "attempt-refused",
      "id={} attempt={} server={} status={} misdirected={} leaving={} "
      "pause_ms={} load_requests={}",
      quoteLogValue(Request.Content->Id), attempt.Number, attempt.Server,
      Response.Status, Response.IsMisdirected, Response.Notice.IsLeaving,
      toMilliseconds(Response.Notice.Pause.value_or(Duration{})),
      server == nullptr ? 0 : server->load().Requests);
  if (server != nullptr) {
    // This request was not in progress when that run of the server ended.
    if (Response.IsMisdirected && !server->isLeaving())
      CurrentState.Quarantine.recordCrash(server->Key, now());
    server->HasStaleAddress = server->HasStaleAddress || Response.IsMisdirected;
    // A pause that the server asked for says nothing about its health.
    if (!Response.Notice.Pause) {
      server->FullUntil = now() + FullServerBackoff;
      server->observeOutcome(true);
    }
  }
  if (!attempt.IsPrefill) {
    // The server reported that it did not execute this attempt.
    Request.MayHaveRun = Request.ServersUsed > 1;
  }
  if (!retry(Number, ResultCode::NoBackendAvailable))
    RequestReducer(CurrentState, Output)
        .fail(Number, ResultCode::NoBackendAvailable, RetryAfterFullService);
}

auto AttemptReducer::handleResponse(RequestNumber Number,
                                    InFlightRequest &Request,
                                    ServerResponse Response) -> void {
  if (Response.Status < FirstErrorStatus)
    QuarantineReducer(CurrentState, Output).observeCompletion(Request);
  auto const status = Response.Status;
  if (!acceptResponse(Number, Request, status))
    return;
  emit(ForwardResponse{Number, std::move(Response)});
  RequestReducer(CurrentState, Output).endAttempt(Request);
  RequestReducer(CurrentState, Output)
      .finish(Number, ResultCode::Completed, status);
}

auto AttemptReducer::acceptResponse(RequestNumber Number,
                                    InFlightRequest &Request, unsigned Status)
    -> bool {
  auto isError = Status >= FirstErrorStatus;
  auto &attempt = *Request.CurrentAttempt;
  if (!Request.MatchedRoute->IsStream)
    CustomerReducer(CurrentState, Output).countStart(Request, attempt.SentAt);
  if (auto *server = serverOf(Request)) {
    if (isError)
      server->observeOutcome(true);
    else
      server->recordSuccess();
    if (!isError && !Request.MatchedRoute->IsStream)
      server->observeDuration(now() - attempt.SentAt,
                              Request.MatchedRoute->TargetLatency);
  }
  if (isError && Request.isRetryable() &&
      retry(Number, ResultCode::RetriesExhausted))
    return false;
  // The server did not report that the request was not executed, so a status
  // that implies this must not be forwarded.
  if (Request.HasHeader ||
      (impliesNotExecuted(Status) && !Request.isRetryable())) {
    RequestReducer(CurrentState, Output)
        .fail(Number, ResultCode::AnswerLost, std::nullopt);
    return false;
  }
  emit(ObserveDuration{DurationMetric::FirstPart, Request.MatchedRoute->Name,
                       now() - Request.ArrivedAt});
  return true;
}

auto AttemptReducer::on(AttemptBodyStarted const &Event) -> void {
  auto *request = findCurrent(Event.Attempt);
  if (request == nullptr)
    return;
  auto const number = Event.Attempt.Request;
  observeNotice(*request, Event.Response.Status, Event.Response.Notice);
  if (!acceptResponse(number, *request, Event.Response.Status))
    return emit(CancelAttempt{Event.Attempt});
  auto &attempt = *request->CurrentAttempt;
  attempt.ForwardsBody = true;
  attempt.HasFirstPart = true;
  attempt.LastPartAt = now();
  request->HasHeader = true;
  auto &header = request->StreamHeader.emplace(Event.Response);
  auto body = std::exchange(header.Body, {});
  log(LogLevel::Info, "body-started", "id={} attempt={} server={} framing={}",
      quoteLogValue(request->Content->Id), attempt.Number, attempt.Server,
      toString(header.Framing));
  emit(BeginStream{number, header});
  emit(ForwardBytes{number, std::move(body)});
}

auto AttemptReducer::on(AttemptBodyReceived const &Event) -> void {
  auto *request = findCurrent(Event.Attempt);
  if (request == nullptr)
    return;
  request->CurrentAttempt->LastPartAt = now();
  QuarantineReducer(CurrentState, Output)
      .observeAnswer(request->CurrentAttempt->Key);
  emit(ForwardBytes{Event.Attempt.Request, Event.Bytes});
}

auto AttemptReducer::on(AttemptBodyEnded const &Event) -> void {
  auto *request = findCurrent(Event.Attempt);
  if (request == nullptr)
    return;
  auto const status = request->StreamHeader->Status;
  if (status < FirstErrorStatus)
    QuarantineReducer(CurrentState, Output).observeCompletion(*request);
  emit(EndStream{Event.Attempt.Request});
  auto requests = RequestReducer(CurrentState, Output);
  requests.endAttempt(*request);
  requests.finish(Event.Attempt.Request, ResultCode::Completed, status);
}

auto AttemptReducer::observeFirstPart(InFlightRequest &Request) -> void {
  auto &attempt = *Request.CurrentAttempt;
  auto requests = RequestReducer(CurrentState, Output);
  requests.removeOutstandingTokens(attempt);
  attempt.HasFirstPart = true;
  auto taken = now() - attempt.SentAt;
  auto *server = serverOf(Request);
  if (server == nullptr)
    return;
  server->recordSuccess();
  log(LogLevel::Info, "first-part",
      "id={} attempt={} server={} prefill={} prefilled={} copied={} tokens={} "
      "tokens_ahead={} forecast_ms={} taken_ms={} slowness={:.2f}",
      quoteLogValue(Request.Content->Id), attempt.Number, attempt.Server,
      attempt.IsPrefill, attempt.Prefilled.has_value(),
      !attempt.CacheSource.empty(), attempt.PromptTokens, attempt.TokensAhead,
      toMilliseconds(attempt.Forecast), toMilliseconds(taken),
      server->Slowness);
  auto const &prefixes = Request.Prefixes;
  for (auto const &it : prefixes) {
    CurrentState.Prefixes.record(it.Hash, attempt.Key, now());
    CurrentState.UnreportedPrefixUses.push_back({it.Hash, attempt.Key});
  }
  if (attempt.Prefilled || Request.Content->PromptTokens == 0)
    return;
  auto &model = CurrentState.SpeedModels[Request.Service];
  auto tokens = attempt.PromptTokens + attempt.TokensAhead;
  server->observeDuration(taken, attempt.Forecast);
  model.observe(tokens, attempt.IsPrefill, scaled(taken, 1 / server->Slowness));
}

auto AttemptReducer::on(AttemptPrefilled const &Event) -> void {
  auto *request = findCurrent(Event.Attempt);
  if (request == nullptr)
    return;
  observeNotice(*request, PrefilledStatus, Event.Notice);
  observeFirstPart(*request);
  if (!request->HasPrefilled) {
    // The first accepted prefill does not count as a send. A retry was
    // withdrawn for it if it was not the first send.
    if (request->countedSends() > 1)
      ++request->RetryCredit;
    request->HasPrefilled = true;
  }
  auto const &attempt = *request->CurrentAttempt;
  auto prompt = PrefilledPrompt{attempt.Key, attempt.Address, Event.Handle};
  auto requests = RequestReducer(CurrentState, Output);
  requests.endAttempt(*request);
  requests.placePrefilled(Event.Attempt.Request, prompt);
}

auto AttemptReducer::on(AttemptStreamStarted const &Event) -> void {
  auto *request = findCurrent(Event.Attempt);
  if (request == nullptr)
    return;
  observeNotice(*request, Event.Header.Status, Event.Header.Notice);
  if (request->HasHeader && !isEventStream(Event.Header)) {
    emit(CancelAttempt{Event.Attempt});
    return handleInterruption(Event.Attempt, *request,
                              "stream continued by another type of content");
  }
  request->CurrentAttempt->Framing = Event.Header.Framing;
  // The header is forwarded with the first event; until then another server may
  // still serve the request.
  if (!request->HasHeader)
    request->StreamHeader = Event.Header;
}

auto AttemptReducer::beginStream(RequestNumber Number, InFlightRequest &Request)
    -> void {
  if (Request.HasHeader || !Request.StreamHeader)
    return;
  Request.HasHeader = true;
  emit(ObserveDuration{DurationMetric::FirstPart, Request.MatchedRoute->Name,
                       now() - Request.ArrivedAt});
  emit(BeginStream{Number, *Request.StreamHeader});
}

auto AttemptReducer::on(AttemptEventsReceived const &Event) -> void {
  auto *request = findCurrent(Event.Attempt);
  if (request == nullptr)
    return;
  auto number = Event.Attempt.Request;
  if (!request->CurrentAttempt->HasFirstPart)
    observeFirstPart(*request);
  CustomerReducer(CurrentState, Output).countStart(*request, now());
  if (!request->HasHeader)
    request->TimeToFirstPart = now() - request->ArrivedAt;
  else
    request->LongestPause = std::max(
        request->LongestPause, now() - request->CurrentAttempt->LastPartAt);
  request->CurrentAttempt->LastPartAt = now();
  QuarantineReducer(CurrentState, Output)
      .observeAnswer(request->CurrentAttempt->Key);
  beginStream(number, *request);
  auto bytes = std::string{};
  for (auto const &it : Event.Events) {
    // A server that resumes a stream may repeat events that the caller has.
    if (it.HasId && request->LastEventId && it.Id <= *request->LastEventId)
      continue;
    if (it.HasId)
      request->LastEventId = it.Id;
    bytes += it.Bytes;
  }
  if (!bytes.empty())
    emit(ForwardBytes{number, std::move(bytes)});
}

auto AttemptReducer::on(AttemptStreamEnded const &Event) -> void {
  auto *request = findCurrent(Event.Attempt);
  if (request == nullptr)
    return;
  auto number = Event.Attempt.Request;
  auto const &attempt = *request->CurrentAttempt;
  auto framing = toString(attempt.Framing.value_or(BodyFraming::Length));
  log(LogLevel::Info, "stream-ended",
      "id={} attempt={} server={} framing={} remainder_bytes={} last_event={}",
      quoteLogValue(request->Content->Id), attempt.Number, attempt.Server,
      framing, Event.Remainder.size(), describeId(request->LastEventId));
  emit(IncrementCounter{CounterMetric::StreamEnds, request->MatchedRoute->Name,
                        std::string(framing)});
  auto truncation = describeTruncation(attempt, Event.Remainder);
  if (!truncation.empty())
    return handleInterruption(Event.Attempt, *request, truncation);
  if (attempt.HasFirstPart)
    QuarantineReducer(CurrentState, Output).observeCompletion(*request);
  beginStream(number, *request);
  if (!Event.Remainder.empty())
    emit(ForwardBytes{number, Event.Remainder});
  emit(EndStream{number});
  auto requests = RequestReducer(CurrentState, Output);
  requests.endAttempt(*request);
  requests.finish(number, ResultCode::Completed, request->StreamHeader->Status);
}

auto AttemptReducer::on(AttemptInterrupted const &Event) -> void {
  if (auto *request = findCurrent(Event.Attempt))
    handleInterruption(Event.Attempt, *request, Event.Reason);
}

auto AttemptReducer::handleInterruption(AttemptId const &Id,
                                        InFlightRequest &Request,
                                        std::string_view Reason) -> void {
  observeFailure(Request, Id, Reason);
  QuarantineReducer(CurrentState, Output).observeInterruption(Request);
  // The caller has a part of this very response.
  auto mayRetry = !Request.CurrentAttempt->ForwardsBody &&
                  (Request.CurrentAttempt->IsPrefill || Request.isRetryable());
  if (mayRetry && retry(Id.Request, ResultCode::RetriesExhausted))
    return;
  RequestReducer(CurrentState, Output)
      .fail(Id.Request,
            Request.MayHaveRun ? ResultCode::AnswerLost
                               : ResultCode::NoBackendAvailable,
            RetryAfterFullService);
}

auto AttemptReducer::abandon(AttemptId Attempt, std::string_view Reason)
    -> void {
  auto *request = findCurrent(Attempt);
  if (request == nullptr)
    return;
  auto previous = *request->CurrentAttempt;
  QuarantineReducer(CurrentState, Output).observeInterruption(*request);
  if (!retry(Attempt.Request, ResultCode::RetriesExhausted))
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
