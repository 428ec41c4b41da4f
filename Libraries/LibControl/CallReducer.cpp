#include "LibControl/CallReducer.h"

#include "LibControl/KeyReducer.h"
#include "LibControl/Placement.h"

#include <algorithm>
#include <fmt/format.h>

namespace dotterel {

namespace {

constexpr auto MaximumAttempts = 8U;
constexpr auto ShortRetryAfter = Duration{1s};
constexpr auto ShareTolerance = 1.5;
/// Fraction of the time to the deadline that the forecast of the first token
/// may take. Above it, the fleet counts as full and fair shares between callers
/// are enforced.
constexpr auto FullFleetRatio = 0.5;

auto isIdempotent(FleetConfiguration const &Configuration,
                  CallRequest const &Request) -> bool {
  if (Request.Kind == CallKind::Completion)
    return true;
  if (Request.Method == "GET" || Request.Method == "HEAD")
    return true;
  auto const *service = Configuration.findService(Request.Service);
  return service != nullptr &&
         std::ranges::find(service->IdempotentPaths, Request.Path) !=
             service->IdempotentPaths.end();
}

} // namespace

auto requestedTokens(Call const &Target) -> double {
  return static_cast<double>(Target.Request.PromptTokens) +
         static_cast<double>(Target.Request.MaximumTokens);
}

auto CallReducer::findByAttempt(AttemptId const &Id) -> Call * {
  auto *call = find(Id.Call);
  if (call == nullptr || !call->Current || call->Current->Number != Id.Number)
    return nullptr;
  return call;
}

auto CallReducer::on(CallArrived const &Event) -> void {
  auto &call = CurrentState.Calls.Calls[Event.Call];
  call.Request = Event.Request;
  call.Origin = Event.Origin;
  call.Arrived = now();
  CurrentState.Calls.Retries.deposit();
  addCallerWork(call.Request.Caller, requestedTokens(call));
  // Must precede every rejection: reject() reports not-run or unknown depending
  // on whether a non-idempotent call may have run under its key before.
  call.IsIdempotent =
      CurrentState.Configuration.Current
          ? isIdempotent(*CurrentState.Configuration.Current, call.Request)
          : call.Request.Kind == CallKind::Completion;
  auto phase = CurrentState.Lifecycle.phase();
  if (!CurrentState.Configuration.Current)
    return reject(Event.Call, ResultCode::NotConfigured, ShortRetryAfter);
  if (phase == InstanceLifecycle::Phase::Draining ||
      phase == InstanceLifecycle::Phase::Stopped)
    return reject(Event.Call, ResultCode::InstanceLeaving, Duration{});
  admit(Event.Call);
}

auto CallReducer::addCallerWork(CallerName const &Caller, double Tokens)
    -> void {
  auto &work = CurrentState.Calls.CallerWork;
  if (Tokens == 0)
    return;
  auto it = work.try_emplace(Caller).first;
  it->second += Tokens;
  if (it->second <= 0)
    work.erase(it);
}

auto CallReducer::admit(CallId Id) -> void {
  auto &call = *find(Id);
  if (auto code = resolveRoute(call))
    return reject(Id, *code);
  auto isKeyed = !call.IsIdempotent && !call.Request.Key.empty();
  if (isKeyed)
    return KeyReducer(CurrentState, Output).admit(Id);
  place(Id);
}

auto CallReducer::resolveRoute(Call &Target) const
    -> std::optional<ResultCode> {
  auto const &configuration = *CurrentState.Configuration.Current;
  auto const &request = Target.Request;
  auto isCompletion = request.Kind == CallKind::Completion;
  if (isCompletion && !configuration.hasModel(request.Model))
    return ResultCode::UnknownModel;
  if (!isCompletion && configuration.findService(request.Service) == nullptr)
    return ResultCode::UnknownService;
  auto const *route =
      isCompletion
          ? configuration.findModelRoute(request.Caller, request.Model)
          : configuration.findServiceRoute(request.Caller, request.Service);
  if (route == nullptr)
    return ResultCode::NoRoute;
  Target.Class = route->Declaration.Class;
  auto deadline = route->Declaration.Deadline;
  if (request.RequestedDeadline)
    deadline = std::min(deadline, *request.RequestedDeadline);
  Target.Deadline = Target.Arrived + deadline;
  return std::nullopt;
}

auto CallReducer::place(CallId Id) -> void {
  auto *call = find(Id);
  if (call == nullptr)
    return;
  call->Wait = CallWait::None;
  if (call->Request.Kind == CallKind::Completion)
    return placeCompletion(Id, *call);
  placeService(Id, *call);
}

auto CallReducer::placeCompletion(CallId Id, Call &Target) -> void {
  auto choice = Placement(CurrentState).chooseEngine(Id, Target);
  auto isFirst = Target.AttemptsMade == 0;
  auto isChecked = isFirst && CurrentState.Options.Chooser == nullptr;
  if (!choice) {
    if (isFirst)
      return reject(Id, ResultCode::NoBackendAvailable, ShortRetryAfter);
    Target.Wait = CallWait::Backend;
    return;
  }
  auto expected = now() + choice->Forecast.Completion;
  if (isChecked && expected > Target.Deadline)
    return reject(Id, ResultCode::DeadlineInfeasible,
                  expected - Target.Deadline);
  if (isChecked && exceedsFairShare(Target, choice->Forecast))
    return reject(Id, ResultCode::CallerOverShare, choice->Forecast.FirstToken);
  auto &view = CurrentState.Backends.Engines.at(choice->Engine);
  view.CallsInFlight += 1;
  view.UnreportedRequests.push_back({now(), choice->PrefillTokens});
  auto next = Attempt{};
  CurrentState.Calls.Prefixes.record(choice->Engine,
                                     Target.Request.PrefixHashes);
  next.Engine = choice->Engine;
  next.PrefillTokens = choice->PrefillTokens;
  next.QueuedPrefillTokens = choice->QueuedPrefillTokens;
  next.BatchSize = choice->BatchSize;
  auto const &hashes = Target.Request.PrefixHashes;
  // FIXME: The prefix was recorded above, so countSentAnywhere() is never zero
  // here and PrefixReuse is never updated. Record the prefix after this.
  next.IsPreferred = choice->IsPreferred &&
                     CurrentState.Calls.Prefixes.countSentAnywhere(hashes) == 0;
  startAttempt(Id, Target, std::move(next), view.Address);
}

auto CallReducer::placeService(CallId Id, Call &Target) -> void {
  auto chosen = Placement(CurrentState).chooseServer(Id, Target);
  if (!chosen) {
    if (Target.AttemptsMade == 0)
      return reject(Id, ResultCode::NoBackendAvailable, ShortRetryAfter);
    Target.AvoidedServers.clear();
    Target.Wait = CallWait::Backend;
    return;
  }
  auto const &servers = CurrentState.Configuration.Current->servers();
  auto server = std::ranges::find(servers, *chosen, &ServerDeclaration::Id);
  CurrentState.Backends.Servers.at(*chosen).CallsInFlight += 1;
  auto next = Attempt{};
  next.Server = *chosen;
  startAttempt(Id, Target, std::move(next), server->Address);
}

auto CallReducer::startAttempt(CallId Id, Call &Target, Attempt Next,
                               std::string const &Address) -> void {
  Next.Number = ++Target.AttemptsMade;
  Next.ConnectStarted = now();
  auto id = AttemptId{Id, Next.Number};
  Target.Current = std::move(Next);
  emit(ConnectAttempt{id, Address});
}

auto CallReducer::exceedsFairShare(Call const &Target,
                                   EngineForecast const &Forecast) const
    -> bool {
  auto timeLeft = toSeconds(Target.Deadline - now());
  if (toSeconds(Forecast.FirstToken) < FullFleetRatio * timeLeft)
    return false;
  auto const &configuration = *CurrentState.Configuration.Current;
  auto totalWork = 0.0;
  auto totalShare = 0.0;
  for (auto const &it : CurrentState.Calls.CallerWork) {
    totalWork += it.second;
    totalShare += configuration.share(it.first);
  }
  auto const &caller = Target.Request.Caller;
  auto own = CurrentState.Calls.CallerWork.at(caller);
  auto fair = configuration.share(caller) / totalShare * totalWork;
  return own > ShareTolerance * fair;
}

auto CallReducer::endAttempt(Call &Target) -> void {
  if (!Target.Current)
    return;
  auto engine = CurrentState.Backends.Engines.find(Target.Current->Engine);
  if (engine != CurrentState.Backends.Engines.end() &&
      engine->second.CallsInFlight > 0)
    engine->second.CallsInFlight -= 1;
  auto server = CurrentState.Backends.Servers.find(Target.Current->Server);
  if (server != CurrentState.Backends.Servers.end() &&
      server->second.CallsInFlight > 0)
    server->second.CallsInFlight -= 1;
  Target.Current->Lifecycle.ended();
  Target.Current.reset();
}

auto CallReducer::on(AttemptConnected const &Event) -> void {
  auto *call = findByAttempt(Event.Attempt);
  if (call == nullptr) {
    emit(CancelAttempt{Event.Attempt});
    return;
  }
  if (checkDeadline(Event.Attempt.Call))
    return;
  if (!call->Current->Lifecycle.sent())
    return;
  call->MayHaveRun = true;
  call->Current->SentAt = now();
  auto send = SendAttempt{};
  send.Attempt = Event.Attempt;
  send.Kind = call->Request.Kind;
  send.Body = call->Request.Body;
  send.ContentType = call->Request.ContentType;
  send.Method = call->Request.Method;
  send.Path = call->Request.Path;
  send.Key = call->Request.Key;
  send.ResumeAfter = call->TokensForwarded;
  if (send.ResumeAfter > 0)
    emit(IncrementCounter{CounterMetric::Resumes, call->Request.Caller,
                          call->Class});
  emit(std::move(send));
}

auto CallReducer::on(AttemptUnreachable const &Event) -> void {
  auto *call = findByAttempt(Event.Attempt);
  if (call == nullptr)
    return;
  recordFailure(*call);
  retry(Event.Attempt.Call, /*IsFailure=*/true, ResultCode::BackendUnreachable);
}

auto CallReducer::on(AttemptRefused const &Event) -> void {
  auto *call = findByAttempt(Event.Attempt);
  if (call == nullptr)
    return;
  // The server confirmed that it did not start the request.
  call->MayHaveRun = call->TokensForwarded > 0;
  retry(Event.Attempt.Call, /*IsFailure=*/false,
        ResultCode::NoBackendAvailable);
}

auto CallReducer::on(AttemptInterrupted const &Event) -> void {
  auto *call = findByAttempt(Event.Attempt);
  if (call == nullptr)
    return;
  recordFailure(*call);
  if (!call->IsIdempotent)
    return finish(Event.Attempt.Call, Outcome::Unknown, ResultCode::AnswerLost);
  retry(Event.Attempt.Call, /*IsFailure=*/true, ResultCode::RetriesExhausted);
}

auto CallReducer::healthOf(Attempt const &Target) -> BackendHealth * {
  auto &backends = CurrentState.Backends;
  auto engine = backends.Engines.find(Target.Engine);
  if (engine != backends.Engines.end())
    return &engine->second.Health;
  auto server = backends.Servers.find(Target.Server);
  return server == backends.Servers.end() ? nullptr : &server->second.Health;
}

auto CallReducer::recordFailure(Call const &Target) -> void {
  if (auto *health = healthOf(*Target.Current))
    health->recordFailure(now());
}

auto CallReducer::retry(CallId Id, bool IsFailure, ResultCode Code) -> void {
  auto &call = *find(Id);
  call.AvoidedEngines.insert(call.Current->Engine);
  call.AvoidedServers.insert(call.Current->Server);
  endAttempt(call);
  auto isAllowed = call.AttemptsMade < MaximumAttempts;
  if (IsFailure)
    isAllowed = isAllowed && CurrentState.Calls.Retries.withdraw();
  if (!isAllowed) {
    if (call.MayHaveRun)
      return finish(Id, Outcome::Unknown, ResultCode::RetriesExhausted,
                    ShortRetryAfter);
    return reject(Id, Code, ShortRetryAfter);
  }
  emit(IncrementCounter{CounterMetric::Retries, call.Request.Caller,
                        call.Class});
  place(Id);
}

auto CallReducer::on(AttemptToken const &Event) -> void {
  auto *call = findByAttempt(Event.Attempt);
  if (call == nullptr)
    return;
  if (Event.Index <= call->TokensForwarded)
    return;
  if (Event.Index > call->TokensForwarded + 1) {
    emit(CancelAttempt{Event.Attempt});
    return on(AttemptInterrupted{Event.Attempt});
  }
  call->Current->Lifecycle.responseStarted();
  observeToken(*call);
  call->TokensForwarded += 1;
  call->LastToken = now();
  emit(ForwardToken{Event.Attempt.Call, Event.Data});
}

auto CallReducer::observeToken(Call &Target) -> void {
  auto const &attempt = *Target.Current;
  auto isFirstOfAttempt = Target.LastToken < attempt.SentAt;
  if (isFirstOfAttempt)
    observePrefixReuse(Target);
  else
    observeBetweenTokens(Target);
  auto isFirst = Target.TokensForwarded == 0;
  emit(ObserveDuration{isFirst ? DurationMetric::FirstToken
                               : DurationMetric::BetweenTokens,
                       Target.Request.Caller, Target.Class,
                       now() - (isFirst ? Target.Arrived : Target.LastToken)});
}

auto CallReducer::observePrefixReuse(Call const &Target) -> void {
  auto const &attempt = *Target.Current;
  if (!attempt.IsPreferred || Target.AttemptsMade > 1)
    return;
  auto rate = CurrentState.Backends.Model.prefillTokensPerSecond();
  auto uncached = fromSeconds(Target.Request.PromptTokens / rate);
  auto isHit = now() - attempt.SentAt < uncached / 2;
  // Queueing delays the first token even of a cached prefix.
  if (!isHit && attempt.QueuedPrefillTokens > 0)
    return;
  CurrentState.Calls.Reuse[Target.Request.Caller].observe(isHit);
}

auto CallReducer::observeBetweenTokens(Call const &Target) -> void {
  auto engine = CurrentState.Backends.Engines.find(Target.Current->Engine);
  if (engine == CurrentState.Backends.Engines.end() || !engine->second.Report)
    return;
  auto batch = engine->second.Report->Running;
  auto elapsed = now() - Target.LastToken;
  auto &model = CurrentState.Backends.Model;
  // While prefill delays the streams, the gap does not reflect decode time.
  if (engine->second.Report->QueuedPrefillTokens > 0)
    return model.observeBetweenTokensDuringPrefill(elapsed);
  engine->second.Slowness.observe(elapsed, model.betweenTokens(batch));
  model.observeBetweenTokens(batch, elapsed);
}

auto CallReducer::on(AttemptCompleted const &Event) -> void {
  auto *call = findByAttempt(Event.Attempt);
  if (call == nullptr)
    return;
  if (auto *health = healthOf(*call->Current))
    health->recordSuccess();
  endAttempt(*call);
  finish(Event.Attempt.Call,
         StoredResponse{Outcome::Completed, ResultCode::Completed,
                        Event.HttpStatus, Event.ContentType, Event.Body});
}

auto CallReducer::on(CallerDisconnected const &Event) -> void {
  auto *call = find(Event.Call);
  if (call == nullptr)
    return;
  // A non-idempotent call runs to its end, so that a retry with the same key
  // gets its response.
  if (!call->IsIdempotent && (call->MayHaveRun || call->OwnsKey))
    return;
  reject(Event.Call, ResultCode::CallerDisconnected);
}

auto CallReducer::on(Tick const & /*Event*/) -> void {
  auto ids = std::vector<CallId>{};
  ids.reserve(CurrentState.Calls.Calls.size());
  for (auto const &it : CurrentState.Calls.Calls)
    ids.push_back(it.first);
  for (auto id : ids) {
    auto *call = find(id);
    if (call == nullptr || checkDeadline(id))
      continue;
    if (call->Wait == CallWait::Backend)
      place(id);
    else if (call->Current)
      checkAttempt(id);
  }
}

auto CallReducer::checkDeadline(CallId Id) -> bool {
  auto *call = find(Id);
  if (call == nullptr || now() < call->Deadline)
    return false;
  auto mayHaveRunElsewhere =
      call->Wait == CallWait::KeyOwner || call->Wait == CallWait::SameKey;
  if (call->MayHaveRun || mayHaveRunElsewhere)
    finish(Id, Outcome::Unknown, ResultCode::DeadlinePassed, ShortRetryAfter);
  else
    reject(Id, ResultCode::DeadlineInfeasible, ShortRetryAfter);
  return true;
}

auto CallReducer::redirectAddress() const -> std::string {
  auto address = std::string{};
  auto fewest = std::uint32_t{0};
  for (auto const &it : CurrentState.Members.Peers) {
    auto const &peer = it.second;
    if (!isAlive(peer, now()) || isLeaving(peer))
      continue;
    auto outstanding = peer.Heartbeat.OutstandingCalls;
    if (!address.empty() && outstanding >= fewest)
      continue;
    address = peer.CallerAddress;
    fewest = outstanding;
  }
  return address;
}

auto CallReducer::finish(CallId Id, Outcome Result, ResultCode Code,
                         std::optional<Duration> RetryAfter) -> void {
  auto const &entry = describe(Code);
  auto response = StoredResponse{Result, Code, entry.HttpStatus, {}, {}};
  finish(Id, response, RetryAfter);
}

auto CallReducer::reject(CallId Id, ResultCode Code,
                         std::optional<Duration> RetryAfter) -> void {
  auto const *call = find(Id);
  if (call == nullptr)
    return;
  auto mayHaveRun = call->MayHaveRun ||
                    KeyReducer(CurrentState, Output).mayHaveRunElsewhere(*call);
  finish(Id, mayHaveRun ? Outcome::Unknown : Outcome::NotRun, Code, RetryAfter);
}

auto CallReducer::finish(CallId Id, StoredResponse const &Response,
                         std::optional<Duration> RetryAfter) -> void {
  auto node = CurrentState.Calls.Calls.extract(Id);
  if (node.empty())
    return;
  auto &call = node.mapped();
  if (call.Current) {
    emit(CancelAttempt{{Id, call.Current->Number}});
    endAttempt(call);
  }
  addCallerWork(call.Request.Caller, -requestedTokens(call));
  auto waiters =
      KeyReducer(CurrentState, Output).recordOutcome(Id, call, Response);
  deliver(Id, call, Response, RetryAfter);
  for (auto waiter : waiters)
    finish(waiter, Response, RetryAfter);
}

auto CallReducer::deliver(CallId Id, Call const &Target,
                          StoredResponse const &Response,
                          std::optional<Duration> RetryAfter) -> void {
  auto code = fmt::format("{}", static_cast<int>(Response.Code));
  emit(IncrementCounter{CounterMetric::Calls, Target.Request.Caller, code});
  emit(ObserveDuration{DurationMetric::Total, Target.Request.Caller,
                       Target.Class, now() - Target.Arrived});
  if (Target.Origin) {
    auto const &origin = *Target.Origin;
    emit(SendPeer{origin.Peer,
                  ForwardedResponse{origin.PeerCall, origin.PeerRun,
                                    Response.Result, Response.Code,
                                    Response.HttpStatus, Response.ContentType,
                                    Response.Body}});
    return;
  }
  auto finish = FinishCall{Id, Response, RetryAfter, {}};
  if (Response.Code == ResultCode::InstanceLeaving)
    finish.RedirectAddress = redirectAddress();
  emit(std::move(finish));
}

} // namespace dotterel
