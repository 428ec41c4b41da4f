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

auto RequestReducer::on(RequestArrived const &Happened) -> void {
  auto number = Happened.Number;
  auto const &content = *Happened.Content;
  auto refuse = [&](ResultCode Code, std::optional<Duration> RetryAfter) {
    log(LogLevel::Info, "request-refused", "id={} code={} host={} path={}",
        quoteLogValue(content.Id), describe(Code).Name,
        quoteLogValue(content.Host), quoteLogValue(content.path()));
    emit(CountOne{CountMetric::Refusals, {}, std::string(describe(Code).Name)});
    emit(Refuse{number, Code, RetryAfter});
  };
  if (!Subject.Current || !Subject.HasServers)
    return refuse(ResultCode::NotConfigured, ReturnWithoutServer);
  if (Subject.LeavingSince &&
      now() - *Subject.LeavingSince > AcceptWhileLeaving)
    return refuse(ResultCode::InstanceLeaving, Duration{});
  auto const *route = Subject.Current->findRoute(content.Host, content.path());
  if (route == nullptr || route->Services.empty())
    return refuse(ResultCode::UnknownPath, std::nullopt);
  auto &call = Subject.Calls[number];
  call.Content = Happened.Content;
  call.Configured = Subject.Current;
  call.Matched = route;
  call.Service = chooseService(*route, content.Id);
  call.Prefixes = sharedPrefixes(content);
  call.Arrived = now();
  auto span = route->Timeout;
  if (content.TimeLimit)
    span = std::min(span, *content.TimeLimit);
  call.Deadline = now() + span;
  call.LastEvent = content.LastEvent;
  Subject.Retries[call.Service].deposit(Subject.Given.Retries);
  recordDemand(call);
  place(number, ResultCode::NoBackendAvailable);
}

auto RequestReducer::recordDemand(Call const &Target) -> void {
  auto const *service = Target.Configured->findService(Target.Service);
  if (service == nullptr || !service->Engine)
    return;
  auto &demand = Subject.Roles.Demand[Target.Service];
  if (demand.Since == Instant{})
    demand.Since = now();
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
  auto chosen = Placement(Subject).choose(Number, call);
  if (!chosen)
    return fail(Number, isFirst ? ResultCode::NoBackendAvailable : Failure,
                ReturnWithoutServer);
  if (isFirst) {
    if (auto refusal = refusalOf(call, *chosen, now())) {
      log(LogLevel::Info, "request-not-admitted",
          "id={} code={} best_server={} wait_ms={} forecast_ms={} "
          "tokens_ahead={} target_ms={} priority={} retry_after_ms={}",
          quoteLogValue(call.Content->Id), describe(refusal->Code).Name,
          chosen->Target->Described.Id, toMilliseconds(chosen->Wait),
          toMilliseconds(chosen->Forecast), chosen->TokensAhead,
          toMilliseconds(call.Matched->Target), call.Matched->Priority,
          toMilliseconds(refusal->RetryAfter));
      return fail(Number, refusal->Code, refusal->RetryAfter);
    }
  }
  auto next = Attempt{};
  next.IsPrefill = chosen->IsPrefill;
  next.CopyFrom = chosen->CopyFrom;
  start(Number, call, *chosen, std::move(next));
}

auto RequestReducer::placePrefilled(RequestNumber Number,
                                    Attempt const &Prefill,
                                    std::string const &Handle) -> void {
  auto &call = *find(Number);
  auto chosen =
      Placement(Subject).chooseForPrefilled(Number, call, Prefill.Server);
  if (!chosen) {
    emit(FreeHandle{Prefill.Address, Handle});
    return fail(Number, ResultCode::NoBackendAvailable, ReturnWithoutServer);
  }
  auto next = Attempt{};
  next.PrefilledAt = Prefill.Address;
  next.PrefillHandle = Handle;
  start(Number, call, *chosen, std::move(next));
}

auto RequestReducer::start(RequestNumber Number, Call &Target,
                           Choice const &Chosen, Attempt Next) -> void {
  auto &server = *Chosen.Target;
  Next.Number = ++Target.AttemptsMade;
  if (Next.IsPrefill)
    ++Target.PrefillsMade;
  Next.Server = server.Described.Id;
  Next.Key = server.Key;
  Next.Address = server.Described.Address;
  Next.PromptTokens = Chosen.PromptTokens;
  Next.TokensAhead = Chosen.TokensAhead;
  Next.Forecast = Chosen.Forecast;
  Next.IsCounted = true;
  server.Own.add({1, Next.PromptTokens});
  log(LogLevel::Info, "request-placed",
      "id={} attempt={} server={} prefill={} copy_from={} configuration={} "
      "load_requests={} tokens_ahead={} tokens={} forecast_ms={:.0f}",
      quoteLogValue(Target.Content->Id), Next.Number, Next.Server,
      Next.IsPrefill, Next.CopyFrom.empty() ? "-" : Next.CopyFrom,
      Target.Configured->version(), server.load().Requests, Next.TokensAhead,
      Next.PromptTokens, milliseconds(Next.Forecast));
  emit(CountOne{CountMetric::Attempts, Target.Matched->Name, {}});
  auto const *service = Target.Configured->findService(Target.Service);
  auto share = service == nullptr
                   ? 0
                   : service->ConnectionLimit / (2 * Subject.Peers.fleetSize());
  auto name = AttemptName{Number, Next.Number};
  auto address = Next.Address;
  Target.Current = std::move(Next);
  emit(ConnectAttempt{name, std::move(address), std::max(2U, share)});
}

auto RequestReducer::settlePrompt(Attempt &Target) -> void {
  if (!Target.IsCounted)
    return;
  Target.IsCounted = false;
  if (auto *server = Subject.Servers.findKey(Target.Key))
    server->Own.subtract({0, Target.PromptTokens});
}

auto RequestReducer::endAttempt(Call &Target) -> void {
  if (!Target.Current)
    return;
  auto &attempt = *Target.Current;
  if (!attempt.PrefillHandle.empty() && !attempt.IsSent)
    emit(FreeHandle{attempt.PrefilledAt, attempt.PrefillHandle});
  settlePrompt(attempt);
  if (auto *server = Subject.Servers.findKey(attempt.Key))
    server->Own.subtract({1, 0});
  Target.Current.reset();
}

auto RequestReducer::fail(RequestNumber Number, ResultCode Code,
                          std::optional<Duration> RetryAfter) -> void {
  auto &call = *find(Number);
  if (call.HasHeader) {
    emit(AbortStream{Number});
    return finish(Number, Code, 0);
  }
  // A status that promises "not run" must be true.
  auto promises = promisesNotRun(describe(Code).HttpStatus);
  if (call.MayHaveRun && Code == ResultCode::DeadlineInfeasible)
    Code = ResultCode::DeadlinePassed;
  else if (promises && call.MayHaveRun && !call.mayRepeat())
    Code = ResultCode::AnswerLost;
  emit(Refuse{Number, Code, RetryAfter});
  finish(Number, Code, describe(Code).HttpStatus);
}

auto RequestReducer::finish(RequestNumber Number, ResultCode Code,
                            unsigned Status) -> void {
  auto node = Subject.Calls.extract(Number);
  auto &call = node.mapped();
  auto const *attempt = call.Current ? &*call.Current : nullptr;
  log(LogLevel::Info, "request-finished",
      "id={} code={} status={} route={} attempts={} server={} may_have_run={} "
      "last_event={} first_ms={} pause_ms={} ms={:.0f} left_ms={:.0f}",
      quoteLogValue(call.Content->Id), describe(Code).Name, Status,
      call.Matched->Name, call.AttemptsMade,
      attempt == nullptr ? "-" : attempt->Server, call.MayHaveRun,
      call.LastEvent, toMilliseconds(call.FirstPart),
      toMilliseconds(call.LongestPause), milliseconds(now() - call.Arrived),
      milliseconds(call.Deadline - now()));
  emit(CountOne{CountMetric::Answers, call.Matched->Name,
                std::string(describe(Code).Name)});
  emit(ObserveDuration{DurationMetric::Whole, call.Matched->Name,
                       now() - call.Arrived});
  if (attempt == nullptr)
    return;
  emit(CancelAttempt{{Number, attempt->Number}});
  endAttempt(call);
}

auto RequestReducer::on(CallerLeft const &Happened) -> void {
  if (find(Happened.Number) != nullptr)
    finish(Happened.Number, ResultCode::CallerDisconnected, 0);
}

auto RequestReducer::on(Tick const & /*Happened*/) -> void {
  auto numbers = std::vector<RequestNumber>{};
  numbers.reserve(Subject.Calls.size());
  for (auto const &it : Subject.Calls)
    numbers.push_back(it.first);
  for (auto number : numbers) {
    if (auto *call = find(number))
      checkTimes(number, *call);
  }
}

auto RequestReducer::responseBound(Call const &Target) const -> Duration {
  auto bound = TargetsToFirstPart * Target.Matched->Target;
  return std::max(bound, ForecastsToFirstPart * Target.Current->Forecast);
}

auto RequestReducer::checkTimes(RequestNumber Number, Call &Target) -> void {
  if (now() >= Target.Deadline)
    return fail(Number, ResultCode::DeadlineInfeasible, Duration{});
  auto const *attempt = Target.Current ? &*Target.Current : nullptr;
  if (attempt == nullptr || !attempt->IsSent)
    return;
  auto name = AttemptName{Number, attempt->Number};
  if (!attempt->HasFirstPart) {
    auto mayGiveUp = attempt->IsPrefill || Target.mayRepeat();
    if (mayGiveUp && now() - attempt->SentAt > responseBound(Target))
      AttemptReducer(Subject, Out).giveUp(name, "no first part");
    return;
  }
  auto longestGap =
      std::max(ShortestGapToResume, GapsToResume * Target.Matched->LongestGap);
  if (Target.mayRepeat() && now() - attempt->LastPart > longestGap)
    AttemptReducer(Subject, Out).giveUp(name, "pause in the stream");
}

} // namespace dotterel::relay
