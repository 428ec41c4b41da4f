#include "LibRelay/RequestReducer.h"

#include "LibCore/Hash.h"
#include "LibRelay/Access.h"
#include "LibRelay/Admission.h"
#include "LibRelay/AttemptReducer.h"
#include "LibRelay/CustomerReducer.h"
#include "LibRelay/LimitReducer.h"
#include "LibRelay/QuarantineReducer.h"

#include <algorithm>
#include <utility>

namespace dotterel::relay {

namespace {

/// Time after which a caller should retry when no server is usable; the list of
/// servers changes on about this timescale.
constexpr auto RetryAfterNoServer = Duration{300ms};
/// A stopping instance accepts new requests for this long, because callers
/// cache steering responses for a few seconds.
constexpr auto LeaveAcceptPeriod = Duration{2s};
/// Limit on all attempts; the route's limit on servers does not count
/// unreachable servers.
constexpr auto MaximumAttempts = 6U;
/// Limit on the servers at which a request asks for a permit in vain; each
/// takes some milliseconds.
constexpr auto MaximumPermitsDenied = 6U;
/// Limits on the time to the first part, as factors of target latency and
/// forecast. Beyond the larger one the attempt is abandoned if the request is
/// retryable.
constexpr auto FirstPartTargetFactor = 2;
constexpr auto FirstPartForecastFactor = 3;
/// A stream that pauses for this many target gaps is resumed at another server.
constexpr auto StalledStreamGapFactor = 5;
constexpr auto MinimumStallTimeout = Duration{1s};

/// Chooses one of the route's services by weight; the choice is the same for
/// every attempt of a request.
auto chooseService(Route const &MatchedRoute, std::string_view RequestId)
    -> std::string const & {
  auto total = 0.0;
  for (auto const &it : MatchedRoute.Services)
    total += it.Weight;
  constexpr auto Steps = 1000000;
  auto position =
      total * static_cast<double>(hashText(RequestId) % Steps) / Steps;
  for (auto const &it : MatchedRoute.Services) {
    position -= it.Weight;
    if (position < 0)
      return it.Service;
  }
  return MatchedRoute.Services.back().Service;
}

/// Returns a number from 0 to 1 that depends on \p Text only.
auto unitHash(std::string_view Text) -> double {
  constexpr auto Steps = 1000;
  return static_cast<double>(hashText(Text) % Steps) / Steps;
}

auto milliseconds(Duration Value) -> double { return toSeconds(Value) * 1000; }

} // namespace

auto RequestReducer::on(RequestArrived const &Event) -> void {
  auto number = Event.Number;
  auto const &content = *Event.Content;
  auto refuse = [&](ResultCode Code, std::optional<Duration> RetryAfter) {
    log(LogLevel::Info, "request-refused", "id={} code={} host={} path={}",
        quoteLogValue(content.Id), describe(Code).Name,
        quoteLogValue(content.Host), quoteLogValue(content.path()));
    emit(IncrementCounter{
        CounterMetric::Refusals, {}, std::string(describe(Code).Name)});
    emit(SendErrorResponse{number, Code, RetryAfter});
  };
  if (!CurrentState.Config || !CurrentState.HasServers ||
      CurrentState.IsBehindPeers)
    return refuse(ResultCode::NotConfigured, RetryAfterNoServer);
  if (CurrentState.LeavingSince &&
      now() - *CurrentState.LeavingSince > LeaveAcceptPeriod)
    return refuse(ResultCode::InstanceLeaving, Duration{});
  auto const *route =
      CurrentState.Config->findRoute(content.Host, content.path());
  if (route == nullptr)
    return refuse(ResultCode::UnknownPath, std::nullopt);
  // The route could not be read.
  if (route->Services.empty())
    return refuse(ResultCode::NotConfigured, RetryAfterNoServer);
  auto const access =
      checkAccess(*CurrentState.Config, *route, content.Credentials);
  if (access.Refusal)
    return refuse(*access.Refusal, std::nullopt);
  auto const bound = CurrentState.Options.RevocationBound;
  if (access.Holder != nullptr && bound &&
      !CurrentState.Customers.Confirmation.isValid(Event.ReceivedAt, *bound))
    return refuse(ResultCode::KeysUnconfirmed, RetryAfterNoServer);
  auto const identity = identify(content);
  auto segments = sharedSegments(content);
  auto quarantine = QuarantineReducer(CurrentState, Output);
  auto const keys = suspectKeys(identity, segments);
  auto suspect = CurrentState.Quarantine.find(keys);
  if (suspect && !quarantine.admitTrial(*suspect, keys)) {
    auto const refusal = quarantine.refusal(*suspect);
    return refuse(refusal.Code, refusal.RetryAfter);
  }
  auto &request = CurrentState.Requests[number];
  if (suspect)
    request.TrialOf = suspect->Key;
  request.Identity = identity;
  request.SharedSegments = std::move(segments);
  request.Content = Event.Content;
  request.Config = CurrentState.Config;
  request.MatchedRoute = route;
  if (access.Holder != nullptr) {
    request.Customer = access.Holder->Name;
    request.CustomerPriority = access.Holder->Priority;
  }
  request.Service = chooseService(*route, content.Id);
  request.Prefixes = sharedPrefixes(content);
  request.ArrivedAt = now();
  auto timeLimit = route->Timeout;
  if (content.TimeLimit)
    timeLimit = std::min(timeLimit, *content.TimeLimit);
  request.Deadline = now() + timeLimit;
  request.LastEventId = content.LastEventId;
  CurrentState.RetryBudgets[request.Service].deposit(
      CurrentState.Options.Retries);
  recordDemand(request);
  place(number, ResultCode::NoBackendAvailable);
}

auto RequestReducer::recordDemand(InFlightRequest const &Request) -> void {
  auto const *service = Request.Config->findService(Request.Service);
  if (service == nullptr || !service->Engine)
    return;
  auto &demand = CurrentState.Roles.Demand[Request.Service];
  if (demand.ObservedSince == Instant{})
    demand.ObservedSince = now();
  auto shared = Request.Prefixes.empty() ? 0 : Request.Prefixes.back().Tokens;
  auto total = std::max(Request.Content->PromptTokens, shared);
  demand.Meter.record(
      {static_cast<double>(total - shared), static_cast<double>(total)}, now());
}

auto RequestReducer::place(RequestNumber Number, ResultCode Failure) -> void {
  auto &request = *find(Number);
  auto isFirst = request.attemptsStarted() == 0;
  while (mayAttempt(request)) {
    auto chosen = Placement(CurrentState).choose(Number, request);
    if (!chosen)
      return failUnplaced(Number,
                          isFirst ? ResultCode::NoBackendAvailable : Failure);
    if (isFirst) {
      if (auto refusal = checkAdmission(request, *chosen, now())) {
        logRefusal(request, *chosen, *refusal);
        return fail(Number, refusal->Code, refusal->RetryAfter);
      }
    }
    if (!reserveRetry(request, chosen->IsPrefill))
      return fail(Number, Failure, RetryAfterNoServer);
    auto next = Attempt{};
    next.IsPrefill = chosen->IsPrefill;
    next.CacheSource = chosen->CacheSource;
    if (startAttempt(Number, request, *chosen, std::move(next)))
      return;
  }
  fail(Number, Failure, RetryAfterNoServer);
}

auto RequestReducer::logRefusal(InFlightRequest const &Request,
                                Choice const &Chosen, Refusal const &Reason)
    -> void {
  log(LogLevel::Info, "request-not-admitted",
      "id={} code={} best_server={} wait_ms={} forecast_ms={} "
      "tokens_ahead={} target_ms={} priority={} retry_after_ms={}",
      quoteLogValue(Request.Content->Id), describe(Reason.Code).Name,
      Chosen.Target->Description.Id, toMilliseconds(Chosen.Wait),
      toMilliseconds(Chosen.Forecast), Chosen.TokensAhead,
      toMilliseconds(Request.MatchedRoute->TargetLatency), Request.priority(),
      toMilliseconds(Reason.RetryAfter));
}

auto RequestReducer::mayAttempt(InFlightRequest const &Request) const -> bool {
  return Request.attemptsStarted() < MaximumAttempts &&
         Request.PermitsDenied < MaximumPermitsDenied;
}

auto RequestReducer::placePrefilled(RequestNumber Number,
                                    PrefilledPrompt const &Prompt) -> void {
  auto &request = *find(Number);
  while (mayAttempt(request)) {
    auto chosen = Placement(CurrentState)
                      .chooseForPrefilled(Number, request, Prompt.Server);
    if (!chosen || !reserveRetry(request, false))
      break;
    auto next = Attempt{};
    next.Prefilled = Prompt;
    if (startAttempt(Number, request, *chosen, std::move(next)))
      return;
  }
  releasePrefill(Prompt);
  failUnplaced(Number, ResultCode::NoBackendAvailable);
}

auto RequestReducer::placeElsewhere(RequestNumber Number) -> void {
  auto &request = *find(Number);
  ++request.PermitsDenied;
  auto prefilled = takeUnusedPrefill(request);
  endAttempt(request);
  if (prefilled)
    placePrefilled(Number, *prefilled);
  else
    place(Number, ResultCode::NoBackendAvailable);
}

auto RequestReducer::takeUnusedPrefill(InFlightRequest &Request)
    -> std::optional<PrefilledPrompt> {
  auto &attempt = *Request.CurrentAttempt;
  if (attempt.IsSent)
    return std::nullopt;
  return std::exchange(attempt.Prefilled, std::nullopt);
}

auto RequestReducer::reserveRetry(InFlightRequest &Request, bool IsPrefill)
    -> bool {
  // A second separate prefill is a retry in addition to the send that follows
  // it.
  auto needed = (Request.countedSends() > 0 ? 1U : 0U) +
                (IsPrefill && Request.HasPrefilled ? 1U : 0U);
  auto &budget = CurrentState.RetryBudgets[Request.Service];
  while (Request.RetryCredit < needed) {
    if (!budget.withdraw(CurrentState.Options.Retries,
                         CurrentState.Peers.fleetSize(), now())) {
      log(LogLevel::Info, "retry-budget-exhausted",
          "id={} service={} prefills_sent={} decodes_sent={}",
          quoteLogValue(Request.Content->Id), quoteLogValue(Request.Service),
          Request.PrefillsSent, Request.DecodesSent);
      return false;
    }
    ++Request.RetryCredit;
  }
  return true;
}

auto RequestReducer::startAttempt(RequestNumber Number,
                                  InFlightRequest &Request,
                                  Choice const &Chosen, Attempt Next) -> bool {
  auto &server = *Chosen.Target;
  auto permit = LimitReducer(CurrentState, Output)
                    .acquire(server, {Number, Request.AttemptsMade + 1});
  if (permit == PermitStatus::Denied) {
    ++Request.AttemptsMade;
    ++Request.PermitsDenied;
    return false;
  }
  Next.Number = ++Request.AttemptsMade;
  if (permit == PermitStatus::Pending)
    Next.PermitRequestedAt = now();
  Next.Server = server.Description.Id;
  Next.Key = server.Key;
  Next.Address = server.Description.Address;
  Next.PromptTokens = Chosen.PromptTokens;
  Next.TokensAhead = Chosen.TokensAhead;
  Next.Forecast = Chosen.Forecast;
  Next.QueueRank = Chosen.QueueRank;
  Next.HasOutstandingTokens = true;
  server.OwnLoad.add({1, Next.PromptTokens});
  log(LogLevel::Info, "request-placed",
      "id={} attempt={} server={} prefill={} copy_from={} configuration={} "
      "load_requests={} tokens_ahead={} tokens={} forecast_ms={:.0f}",
      quoteLogValue(Request.Content->Id), Next.Number, Next.Server,
      Next.IsPrefill, Next.CacheSource.empty() ? "-" : Next.CacheSource,
      Request.Config->version(), server.load().Requests, Next.TokensAhead,
      Next.PromptTokens, milliseconds(Next.Forecast));
  Request.CurrentAttempt = std::move(Next);
  if (permit == PermitStatus::Granted)
    connectAttempt(Number);
  return true;
}

auto RequestReducer::connectAttempt(RequestNumber Number) -> void {
  auto &request = *find(Number);
  auto &attempt = *request.CurrentAttempt;
  attempt.PermitRequestedAt.reset();
  if (attempt.IsPrefill)
    ++request.PrefillsMade;
  if (auto *server = CurrentState.Servers.findByKey(attempt.Key))
    server->takeIdleConnection(now());
  emit(IncrementCounter{
      CounterMetric::Attempts, request.MatchedRoute->Name, {}});
  auto const *service = request.Config->findService(request.Service);
  auto share = service == nullptr ? 0
                                  : service->ConnectionLimit /
                                        (2 * CurrentState.Peers.fleetSize());
  emit(ConnectAttempt{{Number, attempt.Number},
                      attempt.Address,
                      std::max(2U, share),
                      hashText(request.Content->Id)});
}

auto RequestReducer::failUnplaced(RequestNumber Number, ResultCode Code)
    -> void {
  auto const &request = *find(Number);
  auto leaving = 0;
  auto paused = 0;
  auto limited = 0;
  auto earliest = Instant::max();
  auto servers = CurrentState.Servers.serversOf(request.Service);
  for (auto const *it : servers) {
    if (it->isLeaving()) {
      ++leaving;
    } else if (now() < it->PausedUntil) {
      ++paused;
      earliest = std::min(earliest, it->PausedUntil);
    } else if (auto until = CurrentState.Limits.blockedUntil(it->Key);
               now() < until) {
      ++limited;
      earliest = std::min(earliest, until);
    }
  }
  // There is no room before the first server takes requests again.
  auto retryAfter = RetryAfterNoServer;
  if (paused + limited > 0)
    retryAfter = std::max(retryAfter, earliest - now());
  // Callers that come back together would find a single permit.
  if (limited > 0)
    retryAfter += scaled(RetryAfterNoServer, unitHash(request.Content->Id));
  log(LogLevel::Info, "request-not-placed",
      "id={} service={} servers={} leaving={} paused={} limited={} "
      "retry_after_ms={}",
      quoteLogValue(request.Content->Id), quoteLogValue(request.Service),
      servers.size(), leaving, paused, limited, toMilliseconds(retryAfter));
  fail(Number, Code, retryAfter);
}

auto RequestReducer::releasePrefill(PrefilledPrompt const &Prompt) -> void {
  auto const *server = CurrentState.Servers.findByKey(Prompt.Server);
  if (server != nullptr && (now() < server->PausedUntil ||
                            CurrentState.Limits.find(Prompt.Server))) {
    log(LogLevel::Info, "handle-left-to-expire", "server={} handle={}",
        server->Description.Id, quoteLogValue(Prompt.Handle));
    return;
  }
  emit(ReleasePrefill{Prompt.Address, Prompt.Handle});
}

auto RequestReducer::removeOutstandingTokens(Attempt &Target) -> void {
  if (!Target.HasOutstandingTokens)
    return;
  Target.HasOutstandingTokens = false;
  if (auto *server = CurrentState.Servers.findByKey(Target.Key))
    server->OwnLoad.subtract({0, Target.PromptTokens});
}

auto RequestReducer::endAttempt(InFlightRequest &Request) -> void {
  if (!Request.CurrentAttempt)
    return;
  auto &attempt = *Request.CurrentAttempt;
  if (attempt.Prefilled && !attempt.IsSent)
    releasePrefill(*attempt.Prefilled);
  removeOutstandingTokens(attempt);
  if (auto *server = CurrentState.Servers.findByKey(attempt.Key))
    server->OwnLoad.subtract({1, 0});
  Request.CurrentAttempt.reset();
}

auto RequestReducer::fail(RequestNumber Number, ResultCode Code,
                          std::optional<Duration> RetryAfter) -> void {
  auto &request = *find(Number);
  if (request.HasHeader) {
    emit(AbortStream{Number});
    return finish(Number, Code, 0);
  }
  // A status that implies "not executed" must not be sent if the request may
  // have been executed, unless it may be executed more than once.
  auto impliesNotRun = impliesNotExecuted(describe(Code).HttpStatus);
  if (request.MayHaveRun && Code == ResultCode::DeadlineInfeasible)
    Code = ResultCode::DeadlinePassed;
  else if (impliesNotRun && request.MayHaveRun && !request.isRetryable())
    Code = ResultCode::AnswerLost;
  emit(SendErrorResponse{Number, Code, RetryAfter});
  finish(Number, Code, describe(Code).HttpStatus);
}

auto RequestReducer::finish(RequestNumber Number, ResultCode Code,
                            unsigned Status) -> void {
  auto node = CurrentState.Requests.extract(Number);
  auto &request = node.mapped();
  QuarantineReducer(CurrentState, Output).endTrial(request);
  // Streams begin to run with their first token; the other requests may have
  // run without a response.
  if (request.MayHaveRun && !request.MatchedRoute->IsStream)
    CustomerReducer(CurrentState, Output).countStart(request, now());
  auto const *attempt =
      request.CurrentAttempt ? &*request.CurrentAttempt : nullptr;
  log(LogLevel::Info, "request-finished",
      "id={} code={} status={} route={} attempts={} server={} may_have_run={} "
      "last_event={} first_ms={} pause_ms={} ms={:.0f} left_ms={:.0f}",
      quoteLogValue(request.Content->Id), describe(Code).Name, Status,
      request.MatchedRoute->Name, request.AttemptsMade,
      attempt == nullptr ? "-" : attempt->Server, request.MayHaveRun,
      describeId(request.LastEventId), toMilliseconds(request.TimeToFirstPart),
      toMilliseconds(request.LongestPause),
      milliseconds(now() - request.ArrivedAt),
      milliseconds(request.Deadline - now()));
  emit(IncrementCounter{CounterMetric::Responses, request.MatchedRoute->Name,
                        std::string(describe(Code).Name)});
  emit(ObserveDuration{DurationMetric::Total, request.MatchedRoute->Name,
                       now() - request.ArrivedAt});
  if (attempt == nullptr)
    return;
  emit(CancelAttempt{{Number, attempt->Number}});
  endAttempt(request);
}

auto RequestReducer::on(CallerDisconnected const &Event) -> void {
  auto const *request = find(Event.Number);
  if (request == nullptr)
    return;
  // The server may crash on it before it learns that the caller has left.
  if (request->CurrentAttempt)
    QuarantineReducer(CurrentState, Output).observeInterruption(*request);
  finish(Event.Number, ResultCode::CallerDisconnected, 0);
}

auto RequestReducer::on(Tick const & /*Event*/) -> void {
  auto numbers = std::vector<RequestNumber>{};
  numbers.reserve(CurrentState.Requests.size());
  for (auto const &it : CurrentState.Requests)
    numbers.push_back(it.first);
  for (auto number : numbers) {
    if (auto *request = find(number))
      checkTimeouts(number, *request);
  }
}

auto RequestReducer::responseTimeout(InFlightRequest const &Request) const
    -> Duration {
  auto timeout = FirstPartTargetFactor * Request.MatchedRoute->TargetLatency;
  return std::max(timeout,
                  FirstPartForecastFactor * Request.CurrentAttempt->Forecast);
}

auto RequestReducer::checkTimeouts(RequestNumber Number,
                                   InFlightRequest &Request) -> void {
  auto const *attempt =
      Request.CurrentAttempt ? &*Request.CurrentAttempt : nullptr;
  // A caller that still reads a response gets all of it, also late.
  if (attempt != nullptr && attempt->ForwardsBody &&
      (now() < Request.Deadline ||
       now() - attempt->LastPartAt < MinimumStallTimeout))
    return;
  if (now() >= Request.Deadline) {
    if (Request.CurrentAttempt)
      QuarantineReducer(CurrentState, Output).observeInterruption(Request);
    return fail(Number, ResultCode::DeadlineInfeasible, Duration{});
  }
  if (attempt != nullptr && attempt->PermitRequestedAt)
    return LimitReducer(CurrentState, Output).timeOut(Number);
  if (attempt == nullptr || !attempt->IsSent)
    return;
  auto id = AttemptId{Number, attempt->Number};
  if (!attempt->HasFirstPart) {
    auto mayAbandon = attempt->IsPrefill || Request.isRetryable();
    if (mayAbandon && now() - attempt->SentAt > responseTimeout(Request))
      AttemptReducer(CurrentState, Output)
          .abandon(id, "time to first part exceeded");
    return;
  }
  auto stallTimeout =
      std::max(MinimumStallTimeout,
               StalledStreamGapFactor * Request.MatchedRoute->TargetGap);
  if (Request.isRetryable() && now() - attempt->LastPartAt > stallTimeout)
    AttemptReducer(CurrentState, Output).abandon(id, "stream stalled");
}

} // namespace dotterel::relay
