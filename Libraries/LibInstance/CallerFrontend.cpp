#include "LibInstance/CallerFrontend.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibInstance/CallParser.h"
#include "LibInstance/StatusReport.h"

#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

constexpr auto JsonType = "application/json";
constexpr auto RedirectStatus = 307U;

auto httpLimits(InputLimits const &Limits) -> HttpLimits {
  auto result = HttpLimits{};
  result.BodyBytes = Limits.BodyBytes;
  result.HeaderBytes = Limits.HeaderBytes;
  result.Connections = Limits.Connections;
  result.ReadTimeout = Limits.RequestReadTimeout;
  result.WriteTimeout = Limits.WriteTimeout;
  return result;
}

auto outcomeBody(std::string const &RequestId, Outcome Result, ResultCode Code,
                 std::string const &Detail) -> std::string {
  auto const &entry = describe(Code);
  auto body = json{{"request_id", RequestId},
                   {"outcome", toString(Result)},
                   {"code", static_cast<int>(Code)},
                   {"name", entry.Name},
                   {"message", entry.Meaning}};
  if (!Detail.empty())
    body["detail"] = Detail;
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto outcomeFields(std::string const &RequestId, Outcome Result,
                   ResultCode Code) -> std::vector<HttpField> {
  return {{"X-Request-Id", RequestId},
          {"Dotterel-Outcome", std::string(toString(Result))},
          {"Dotterel-Result-Code", fmt::format("{}", static_cast<int>(Code))}};
}

/// Returns the response to a request that was rejected before it was received
/// completely. A request that cannot be parsed has not run at any instance; any
/// other may be the retry of one that has.
auto earlyErrorResponse(ResultCode Code) -> HttpResponse {
  auto isUnparsable = Code == ResultCode::MalformedRequest ||
                      Code == ResultCode::HeadersTooLarge;
  auto result = isUnparsable ? Outcome::NotRun : Outcome::Unknown;
  auto id = std::string{"unassigned"};
  return {describe(Code).HttpStatus, JsonType, outcomeFields(id, result, Code),
          outcomeBody(id, result, Code, {})};
}

auto retryAfterSeconds(Duration Delay) -> std::string {
  return fmt::format("{}",
                     static_cast<std::int64_t>(std::ceil(toSeconds(Delay))));
}

/// Returns the text of one token's chunk.
auto tokenText(std::string const &Data, bool IsChat) -> std::string {
  auto chunk = json::parse(Data, nullptr, false);
  if (!chunk.is_object() || !chunk.contains("choices"))
    return {};
  auto const &choice = chunk.at("choices").at(0);
  if (!IsChat)
    return choice.value("text", "");
  return choice.contains("delta") ? choice.at("delta").value("content", "")
                                  : "";
}

auto completionBody(std::string const &RequestId, std::string const &Text,
                    bool IsChat, std::size_t Tokens) -> std::string {
  auto choice = json{{"index", 0}, {"finish_reason", "stop"}};
  if (IsChat)
    choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    choice["text"] = Text;
  return json{{"id", RequestId},
              {"object", IsChat ? "chat.completion" : "text_completion"},
              {"choices", json::array({std::move(choice)})},
              {"usage", {{"completion_tokens", Tokens}}}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

/// A call in progress and what is still to be sent to its caller.
struct CallerFrontend::PendingCall {
  PendingCall(asio::io_context &Context, CallId Id)
      : Id(Id), Signal(Context, asio::steady_timer::time_point::max()) {}

  auto notify() -> void { Signal.cancel(); }

  /// Waits for a token, the final response or a steering response.
  auto wait() -> Awaitable<void> {
    auto ec = boost::system::error_code{};
    while (Tokens.empty() && !Final && !Steering)
      co_await Signal.async_wait(useError(ec));
  }

  CallId Id;
  asio::steady_timer Signal;
  std::deque<std::string> Tokens;
  std::optional<FinishCall> Final;
  std::optional<SendSteeringResponse> Steering;
};

CallerFrontend::CallerFrontend(asio::io_context &Context,
                               Settings const &Config, ControlLoop &Loop,
                               Metrics &InstanceMetrics)
    : Context(Context), Loop(Loop), InstanceMetrics(InstanceMetrics),
      Server(
          Context, Config.CallerAddress, httpLimits(Config.Limits),
          [this](HttpExchange &Exchange) { return handle(Exchange); },
          earlyErrorResponse) {}

CallerFrontend::~CallerFrontend() = default;

auto CallerFrontend::start() -> void { Server.start(); }

auto CallerFrontend::isIdle() const -> bool { return ActiveExchanges == 0; }

auto CallerFrontend::allocateCall() -> CallId { return NextCall++; }

auto CallerFrontend::requestId(CallId Call) const -> std::string {
  return fmt::format("{:016x}-{}", Loop.state().Self.Run, Call);
}

auto CallerFrontend::find(CallId Call) -> PendingPointer {
  auto it = Calls.find(Call);
  return it == Calls.end() ? nullptr : it->second;
}

auto CallerFrontend::run(ForwardToken &Effect) -> void {
  if (auto call = find(Effect.Call)) {
    call->Tokens.push_back(std::move(Effect.Data));
    call->notify();
  }
}

auto CallerFrontend::run(FinishCall &Effect) -> void {
  log(LogLevel::Info, "call-finished",
      {{"request", requestId(Effect.Call)},
       {"outcome", toString(Effect.Response.Result)},
       {"code", static_cast<int>(Effect.Response.Code)}});
  if (auto call = find(Effect.Call)) {
    call->Final = std::move(Effect);
    call->notify();
  }
}

auto CallerFrontend::run(SendSteeringResponse &Effect) -> void {
  if (auto call = find(Effect.Call)) {
    call->Steering = std::move(Effect);
    call->notify();
  }
}

auto CallerFrontend::handle(HttpExchange &Exchange) -> Awaitable<void> {
  ++ActiveExchanges;
  auto path = Exchange.path();
  auto error = std::optional<Error>{};
  try {
    if (path == "/v1/completions" || path == "/v1/chat/completions")
      co_await handleCompletion(Exchange, path == "/v1/chat/completions");
    else if (path.starts_with("/services/"))
      co_await handleService(Exchange);
    else if (path == "/v1/instances")
      co_await handleSteering(Exchange);
    else if (path.starts_with("/admin/"))
      co_await handleAdmin(Exchange);
    else
      co_await handleHealth(Exchange);
  } catch (Error const &thrown) {
    error = thrown;
  } catch (boost::system::system_error const &) {
    // The caller has disconnected. The event CallerDisconnected informs the
    // reducer.
  }
  if (error)
    co_await respondWithError(Exchange, error->code(), error->what());
  --ActiveExchanges;
}

auto CallerFrontend::respondWithError(HttpExchange &Exchange, ResultCode Code,
                                      std::string Detail) -> Awaitable<void> {
  // An earlier call with the same idempotency key may have run.
  auto isKeyed = !Exchange.field("Idempotency-Key").empty();
  auto result = isKeyed ? Outcome::Unknown : Outcome::NotRun;
  auto id = requestId(allocateCall());
  try {
    co_await Exchange.respond({describe(Code).HttpStatus, JsonType,
                               outcomeFields(id, result, Code),
                               outcomeBody(id, result, Code, Detail)});
  } catch (boost::system::system_error const &) {
    Exchange.abort();
  }
}

auto CallerFrontend::startCall(HttpExchange &Exchange, CallRequest Request)
    -> PendingPointer {
  auto call = std::make_shared<PendingCall>(Context, allocateCall());
  Calls[call->Id] = call;
  Exchange.notifyOnDisconnect(
      [this, id = call->Id] { Loop.feed(CallerDisconnected{id}); });
  Loop.feed(CallArrived{call->Id, std::move(Request), {}});
  return call;
}

auto CallerFrontend::handleCompletion(HttpExchange &Exchange, bool IsChat)
    -> Awaitable<void> {
  if (Exchange.method() != "POST")
    throw Error(ResultCode::MethodNotAllowed,
                "use POST, not " + std::string(Exchange.method()));
  auto request = parseCompletion(Exchange, IsChat);
  auto call = startCall(Exchange, std::move(request.Call));
  auto isBroken = false;
  try {
    if (request.IsStreaming)
      co_await respondStreaming(Exchange, call);
    else
      co_await respondComplete(Exchange, call, IsChat);
  } catch (boost::system::system_error const &) {
    isBroken = true;
  }
  Calls.erase(call->Id);
  if (isBroken)
    Loop.feed(CallerDisconnected{call->Id});
}

auto CallerFrontend::respondStreaming(HttpExchange &Exchange,
                                      PendingPointer Call) -> Awaitable<void> {
  co_await Call->wait();
  if (Call->Tokens.empty())
    co_return co_await respondFinal(Exchange, *Call);
  co_await Exchange.beginStream("text/event-stream",
                                {{"X-Request-Id", requestId(Call->Id)}});
  for (;;) {
    auto events = std::string{};
    for (auto const &it : Call->Tokens)
      events += "data: " + it + "\n\n";
    Call->Tokens.clear();
    if (!events.empty())
      co_await Exchange.writeChunk(events);
    if (Call->Tokens.empty() && Call->Final)
      break;
    co_await Call->wait();
  }
  auto const &response = Call->Final->Response;
  auto body =
      outcomeBody(requestId(Call->Id), response.Result, response.Code, {});
  auto isComplete = response.Result == Outcome::Completed;
  co_await Exchange.writeChunk("event: outcome\ndata: " + body + "\n\n" +
                               (isComplete ? "data: [DONE]\n\n" : ""));
  co_await Exchange.endStream();
}

auto CallerFrontend::respondComplete(HttpExchange &Exchange,
                                     PendingPointer Call, bool IsChat)
    -> Awaitable<void> {
  auto text = std::string{};
  auto count = std::size_t{0};
  while (!Call->Final) {
    co_await Call->wait();
    for (auto const &it : Call->Tokens)
      text += tokenText(it, IsChat);
    count += Call->Tokens.size();
    Call->Tokens.clear();
  }
  auto const &response = Call->Final->Response;
  if (response.Result != Outcome::Completed || !response.Body.empty())
    co_return co_await respondFinal(Exchange, *Call);
  auto id = requestId(Call->Id);
  co_await Exchange.respond({describe(response.Code).HttpStatus, JsonType,
                             outcomeFields(id, response.Result, response.Code),
                             completionBody(id, text, IsChat, count)});
}

auto CallerFrontend::respondFinal(HttpExchange &Exchange,
                                  PendingCall const &Call) -> Awaitable<void> {
  auto const &effect = *Call.Final;
  auto const &response = effect.Response;
  auto id = requestId(Call.Id);
  auto httpResponse = HttpResponse{
      response.HttpStatus, response.ContentType,
      outcomeFields(id, response.Result, response.Code), response.Body};
  if (response.Result != Outcome::Completed && response.Body.empty()) {
    httpResponse.ContentType = JsonType;
    httpResponse.Body = outcomeBody(id, response.Result, response.Code, {});
  }
  if (effect.RetryAfter)
    httpResponse.Fields.push_back(
        {"Retry-After", retryAfterSeconds(*effect.RetryAfter)});
  if (!effect.RedirectAddress.empty()) {
    httpResponse.Status = RedirectStatus;
    httpResponse.Fields.push_back(
        {"Location",
         "http://" + effect.RedirectAddress + std::string(Exchange.path())});
  }
  co_await Exchange.respond(std::move(httpResponse));
}

auto CallerFrontend::handleService(HttpExchange &Exchange) -> Awaitable<void> {
  auto call = startCall(Exchange, parseServiceCall(Exchange));
  co_await call->wait();
  Calls.erase(call->Id);
  co_await respondFinal(Exchange, *call);
}

auto CallerFrontend::handleSteering(HttpExchange &Exchange) -> Awaitable<void> {
  if (Exchange.method() != "GET")
    throw Error(ResultCode::MethodNotAllowed,
                "use GET, not " + std::string(Exchange.method()));
  auto caller = callerOf(Exchange);
  auto call = std::make_shared<PendingCall>(Context, allocateCall());
  Calls[call->Id] = call;
  Loop.feed(SteeringRequested{call->Id, caller});
  co_await call->wait();
  Calls.erase(call->Id);
  auto instances = json::array();
  for (auto const &it : call->Steering->Instances)
    instances.push_back({{"id", it.Id.text()},
                         {"address", it.Address},
                         {"weight", it.Weight},
                         {"key_prefix", it.KeyPrefix}});
  auto lifetime = toMilliseconds(call->Steering->Lifetime);
  co_await Exchange.respond(
      {200, JsonType,
       outcomeFields(requestId(call->Id), Outcome::Completed,
                     ResultCode::Completed),
       json{{"instances", instances}, {"valid_for_ms", lifetime}}.dump()});
}

auto CallerFrontend::handleHealth(HttpExchange &Exchange) -> Awaitable<void> {
  auto path = Exchange.path();
  auto isKnown = path == "/metrics" || path == "/healthz" || path == "/readyz";
  if (!isKnown)
    throw Error(ResultCode::UnknownPath, std::string(path));
  if (Exchange.method() != "GET")
    throw Error(ResultCode::MethodNotAllowed,
                "use GET, not " + std::string(Exchange.method()));
  if (path == "/metrics") {
    InstanceMetrics.updateGauges(Loop.state());
    co_return co_await Exchange.respond(
        {200, "text/plain; version=0.0.4", {}, InstanceMetrics.text()});
  }
  auto isReady =
      Loop.state().Lifecycle.phase() == InstanceLifecycle::Phase::Ready;
  auto status = path == "/healthz" || isReady ? 200U : 503U;
  co_await Exchange.respond(
      {status, "text/plain", {}, status == 200U ? "ok\n" : "not ready\n"});
}

auto CallerFrontend::handleAdmin(HttpExchange &Exchange) -> Awaitable<void> {
  if (Exchange.method() != "GET")
    throw Error(ResultCode::MethodNotAllowed,
                "use GET, not " + std::string(Exchange.method()));
  if (Exchange.path() == "/admin/status")
    co_return co_await Exchange.respond(
        {200, JsonType, {}, statusReport(Loop.state())});
  if (Exchange.path() != "/admin/explain")
    throw Error(ResultCode::UnknownPath, std::string(Exchange.path()));
  auto query = ExplainQuery{CallerName(Exchange.query("caller")),
                            ModelName(Exchange.query("model")),
                            ServiceName(Exchange.query("service"))};
  co_await Exchange.respond(
      {200, JsonType, {}, explainReport(Loop.state(), query)});
}

} // namespace dotterel
