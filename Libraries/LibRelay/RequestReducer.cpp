#include "LibRelay/RequestReducer.h"

#include "LibCore/Hash.h"
#include "LibRelay/Admission.h"
#include "LibRelay/AttemptReducer.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Time after which a caller should come back when no server can be used; the
/// list of servers changes about this fast.
constexpr auto ReturnWithoutServer = Duration{300ms};
/// A stopping instance accepts new requests for this long: callers keep an
/// answer of where to connect for a few seconds.
constexpr auto AcceptWhileLeaving = Duration{2s};
/// Attempts at servers that cannot be reached are not bounded by the route.
constexpr auto MaximumAttempts = 6U;
/// Bounds on the time to a first part, as factors; a server beyond them is
/// given up where the request may be repeated.
constexpr auto TargetsToFirstPart = 2;
constexpr auto ForecastsToFirstPart = 3;
/// A stream that pauses for this many of its longest good pauses is continued
/// elsewhere.
constexpr auto GapsToResume = 5;
constexpr auto ShortestGapToResume = Duration{1s};

/// Chooses among the services of a route by weight, the same for each attempt
/// of a request.
auto chooseService(Route const &From, std::string_view RequestId)
    -> std::string const & {
  auto total = 0.0;
  for (auto const &it : From.Services)
    total += it.Weight;
  constexpr auto Steps = 1000000;
  auto at = total * static_cast<double>(hashText(RequestId) % Steps) / Steps;
  for (auto const &it : From.Services) {
    at -= it.Weight;
    if (at < 0)
      return it.Service;
  }
  return From.Services.back().Service;
}

auto milliseconds(Duration Span) -> double { return toSeconds(Span) * 1000; }

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
  if (!CurrentState.Config || !CurrentState.HasServers)
    return refuse(ResultCode::NotConfigured, ReturnWithoutServer);
  if (CurrentState.LeavingSince &&
      now() - *CurrentState.LeavingSince > AcceptWhileLeaving)
    return refuse(ResultCode::InstanceLeaving, Duration{});
  auto const *route =
      CurrentState.Config->findRoute(content.Host, content.path());
  if (route == nullptr || route->Services.empty())
    return refuse(ResultCode::UnknownPath, std::nullopt);
  auto &call = CurrentState.Requests[number];
  call.Content = Event.Content;
  call.Config = CurrentState.Config;
  call.MatchedRoute = route;
  call.Service = chooseService(*route, content.Id);
  call.Prefixes = sharedPrefixes(content);
  call.ArrivedAt = now();
  auto span = route->Timeout;
  if (content.TimeLimit)
    span = std::min(span, *content.TimeLimit);
  call.Deadline = now() + span;
  call.LastEventId = content.LastEventId;
  CurrentState.RetryBudgets[call.Service].deposit(CurrentState.Options.Retries);
  recordDemand(call);
  place(number, ResultCode::NoBackendAvailable);
}

auto RequestReducer::recordDemand(InFlightRequest const &Target) -> void {
  auto const *service = Target.Config->findService(Target.Service);
  if (service == nullptr || !service->Engine)
    return;
  auto &demand = CurrentState.Roles.Demand[Target.Service];
  if (demand.ObservedSince == Instant{})
    demand.ObservedSince = now();
  auto shared = Target.Prefixes.empty() ? 0 : Target.Prefixes.back().Tokens;
  auto total = std::max(Target.Content->PromptTokens, shared);
  demand.Meter.record(
      {static_cast<double>(total - shared), static_cast<double>(total)}, now());
}

auto RequestReducer::place(RequestNumber Number, ResultCode Failure) -> void {
  auto &call = *find(Number);
  auto isFirst = call.AttemptsMade == 0;
  if (call.AttemptsMade >= MaximumAttempts)
    return fail(Number, Failure, ReturnWithoutServer);
  auto chosen = Placement(CurrentState).choose(Number, call);
  if (!chosen)
    return fail(Number, isFirst ? ResultCode::NoBackendAvailable : Failure,
                ReturnWithoutServer);
  if (isFirst) {
    if (auto refusal = checkAdmission(call, *chosen, now())) {
      log(LogLevel::Info, "request-not-admitted",
          "id={} code={} best_server={} wait_ms={} forecast_ms={} "
          "tokens_ahead={} target_ms={} priority={} retry_after_ms={}",
          quoteLogValue(call.Content->Id), describe(refusal->Code).Name,
          chosen->Target->Description.Id, toMilliseconds(chosen->Wait),
          toMilliseconds(chosen->Forecast), chosen->TokensAhead,
          toMilliseconds(call.MatchedRoute->TargetLatency),
          call.MatchedRoute->Priority, toMilliseconds(refusal->RetryAfter));
      return fail(Number, refusal->Code, refusal->RetryAfter);
    }
  }
  auto next = Attempt{};
  next.IsPrefill = chosen->IsPrefill;
  next.CacheSource = chosen->CacheSource;
  startAttempt(Number, call, *chosen, std::move(next));
}

auto RequestReducer::placePrefilled(RequestNumber Number,
                                    Attempt const &Prefill,
                                    std::string const &Handle) -> void {
  auto &call = *find(Number);
  auto chosen =
      Placement(CurrentState).chooseForPrefilled(Number, call, Prefill.Server);
  if (!chosen) {
    emit(ReleasePrefill{Prefill.Address, Handle});
    return fail(Number, ResultCode::NoBackendAvailable, ReturnWithoutServer);
  }
  auto next = Attempt{};
  next.PrefillAddress = Prefill.Address;
  next.PrefillHandle = Handle;
  startAttempt(Number, call, *chosen, std::move(next));
}

auto RequestReducer::startAttempt(RequestNumber Number, InFlightRequest &Target,
                                  Choice const &Chosen, Attempt Next) -> void {
  auto &server = *Chosen.Target;
  Next.Number = ++Target.AttemptsMade;
  if (Next.IsPrefill)
    ++Target.PrefillsMade;
  Next.Server = server.Description.Id;
  Next.Key = server.Key;
  Next.Address = server.Description.Address;
  Next.PromptTokens = Chosen.PromptTokens;
  Next.TokensAhead = Chosen.TokensAhead;
  Next.Forecast = Chosen.Forecast;
  Next.HasOutstandingTokens = true;
  server.OwnLoad.add({1, Next.PromptTokens});
  log(LogLevel::Info, "request-placed",
      "id={} attempt={} server={} prefill={} copy_from={} configuration={} "
      "load_requests={} tokens_ahead={} tokens={} forecast_ms={:.0f}",
      quoteLogValue(Target.Content->Id), Next.Number, Next.Server,
      Next.IsPrefill, Next.CacheSource.empty() ? "-" : Next.CacheSource,
      Target.Config->version(), server.load().Requests, Next.TokensAhead,
      Next.PromptTokens, milliseconds(Next.Forecast));
  emit(
      IncrementCounter{CounterMetric::Attempts, Target.MatchedRoute->Name, {}});
  auto const *service = Target.Config->findService(Target.Service);
  auto share = service == nullptr ? 0
                                  : service->ConnectionLimit /
                                        (2 * CurrentState.Peers.fleetSize());
  auto name = AttemptId{Number, Next.Number};
  auto address = Next.Address;
  Target.CurrentAttempt = std::move(Next);
  emit(ConnectAttempt{name, std::move(address), std::max(2U, share)});
}

auto RequestReducer::completePrefill(Attempt &Target) -> void {
  if (!Target.HasOutstandingTokens)
    return;
  Target.HasOutstandingTokens = false;
  if (auto *server = CurrentState.Servers.findByKey(Target.Key))
    server->OwnLoad.subtract({0, Target.PromptTokens});
}

auto RequestReducer::endAttempt(InFlightRequest &Target) -> void {
  if (!Target.CurrentAttempt)
    return;
  auto &attempt = *Target.CurrentAttempt;
  if (!attempt.PrefillHandle.empty() && !attempt.IsSent)
    emit(ReleasePrefill{attempt.PrefillAddress, attempt.PrefillHandle});
  completePrefill(attempt);
  if (auto *server = CurrentState.Servers.findByKey(attempt.Key))
    server->OwnLoad.subtract({1, 0});
  Target.CurrentAttempt.reset();
}

auto RequestReducer::fail(RequestNumber Number, ResultCode Code,
                          std::optional<Duration> RetryAfter) -> void {
  auto &call = *find(Number);
  if (call.HasHeader) {
    emit(AbortStream{Number});
    return finish(Number, Code, 0);
  }
  // A status that promises "not run" must be true.
  auto promises = impliesNotExecuted(describe(Code).HttpStatus);
  if (call.MayHaveRun && Code == ResultCode::DeadlineInfeasible)
    Code = ResultCode::DeadlinePassed;
  else if (promises && call.MayHaveRun && !call.isRetryable())
    Code = ResultCode::AnswerLost;
  emit(SendErrorResponse{Number, Code, RetryAfter});
  finish(Number, Code, describe(Code).HttpStatus);
}

auto RequestReducer::finish(RequestNumber Number, ResultCode Code,
                            unsigned Status) -> void {
  auto node = CurrentState.Requests.extract(Number);
  auto &call = node.mapped();
  auto const *attempt = call.CurrentAttempt ? &*call.CurrentAttempt : nullptr;
  log(LogLevel::Info, "request-finished",
      "id={} code={} status={} route={} attempts={} server={} may_have_run={} "
      "last_event={} first_ms={} pause_ms={} ms={:.0f} left_ms={:.0f}",
      quoteLogValue(call.Content->Id), describe(Code).Name, Status,
      call.MatchedRoute->Name, call.AttemptsMade,
      attempt == nullptr ? "-" : attempt->Server, call.MayHaveRun,
      call.LastEventId, toMilliseconds(call.TimeToFirstPart),
      toMilliseconds(call.LongestPause), milliseconds(now() - call.ArrivedAt),
      milliseconds(call.Deadline - now()));
  emit(IncrementCounter{CounterMetric::Responses, call.MatchedRoute->Name,
                        std::string(describe(Code).Name)});
  emit(ObserveDuration{DurationMetric::Total, call.MatchedRoute->Name,
                       now() - call.ArrivedAt});
  if (attempt == nullptr)
    return;
  emit(CancelAttempt{{Number, attempt->Number}});
  endAttempt(call);
}

auto RequestReducer::on(CallerDisconnected const &Event) -> void {
  if (find(Event.Number) != nullptr)
    finish(Event.Number, ResultCode::CallerDisconnected, 0);
}

auto RequestReducer::on(Tick const & /*Event*/) -> void {
  auto numbers = std::vector<RequestNumber>{};
  numbers.reserve(CurrentState.Requests.size());
  for (auto const &it : CurrentState.Requests)
    numbers.push_back(it.first);
  for (auto number : numbers) {
    if (auto *call = find(number))
      checkTimeouts(number, *call);
  }
}

auto RequestReducer::responseTimeout(InFlightRequest const &Target) const
    -> Duration {
  auto bound = TargetsToFirstPart * Target.MatchedRoute->TargetLatency;
  return std::max(bound,
                  ForecastsToFirstPart * Target.CurrentAttempt->Forecast);
}

auto RequestReducer::checkTimeouts(RequestNumber Number,
                                   InFlightRequest &Target) -> void {
  if (now() >= Target.Deadline)
    return fail(Number, ResultCode::DeadlineInfeasible, Duration{});
  auto const *attempt =
      Target.CurrentAttempt ? &*Target.CurrentAttempt : nullptr;
  if (attempt == nullptr || !attempt->IsSent)
    return;
  auto name = AttemptId{Number, attempt->Number};
  if (!attempt->HasFirstPart) {
    auto mayGiveUp = attempt->IsPrefill || Target.isRetryable();
    if (mayGiveUp && now() - attempt->SentAt > responseTimeout(Target))
      AttemptReducer(CurrentState, Output).abandon(name, "no first part");
    return;
  }
  auto longestGap = std::max(ShortestGapToResume,
                             GapsToResume * Target.MatchedRoute->TargetGap);
  if (Target.isRetryable() && now() - attempt->LastPartAt > longestGap)
    AttemptReducer(CurrentState, Output).abandon(name, "pause in the stream");
}

} // namespace dotterel::relay
