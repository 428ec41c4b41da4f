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

auto httpLimits(InputLimits const &Given) -> HttpLimits {
  auto limits = HttpLimits{};
  limits.BodyBytes = Given.BodyBytes;
  limits.HeaderBytes = Given.HeaderBytes;
  limits.Connections = Given.Connections;
  limits.ReadTimeout = Given.RequestReadTimeout;
  limits.WriteTimeout = Given.WriteTimeout;
  return limits;
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

/// A refusal before a request was read to its end. A request that no instance
/// can parse has never run; any other may repeat one that has.
auto earlyRefusal(ResultCode Code) -> HttpResponse {
  auto isUnparsable = Code == ResultCode::MalformedRequest ||
                      Code == ResultCode::HeadersTooLarge;
  auto result = isUnparsable ? Outcome::NotRun : Outcome::Unknown;
  auto id = std::string{"unassigned"};
  return {describe(Code).HttpStatus, JsonType, outcomeFields(id, result, Code),
          outcomeBody(id, result, Code, {})};
}

auto retryAfterSeconds(Duration Span) -> std::string {
  return fmt::format("{}",
                     static_cast<std::int64_t>(std::ceil(toSeconds(Span))));
}

auto textOf(std::string const &Data, bool IsChat) -> std::string {
  auto chunk = json::parse(Data, nullptr, false);
  if (!chunk.is_object() || !chunk.contains("choices"))
    return {};
  auto const &choice = chunk.at("choices").at(0);
  if (!IsChat)
    return choice.value("text", "");
  return choice.contains("delta") ? choice.at("delta").value("content", "")
                                  : "";
}

auto wholeBody(std::string const &RequestId, std::string const &Text,
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

/// A call whose answer is not yet out.
struct CallerFrontend::PendingCall {
  PendingCall(asio::io_context &Context, CallId Id)
      : Id(Id), Signal(Context, asio::steady_timer::time_point::max()) {}

  auto wake() -> void { Signal.cancel(); }

  /// Waits until there is a token, a final answer or a steering answer.
  auto wait() -> Awaitable<void> {
    auto ec = boost::system::error_code{};
    while (Tokens.empty() && !Final && !Steering)
      co_await Signal.async_wait(useError(ec));
  }

  CallId Id;
  asio::steady_timer Signal;
  std::deque<std::string> Tokens;
  std::optional<FinishCall> Final;
  std::optional<RespondToSteering> Steering;
};

CallerFrontend::CallerFrontend(asio::io_context &Context, Settings const &Given,
                               Core &Owner, Metrics &Measured)
    : Context(Context), Owner(Owner), Measured(Measured),
      Server(
          Context, Given.CallerAddress, httpLimits(Given.Limits),
          [this](HttpExchange &Target) { return handle(Target); },
          earlyRefusal) {}

CallerFrontend::~CallerFrontend() = default;

auto CallerFrontend::start() -> void { Server.start(); }

auto CallerFrontend::isIdle() const -> bool { return ActiveExchanges == 0; }

auto CallerFrontend::allocateCall() -> CallId { return NextCall++; }

auto CallerFrontend::requestId(CallId Call) const -> std::string {
  return fmt::format("{:016x}-{}", Owner.state().Self.Run, Call);
}

auto CallerFrontend::find(CallId Call) -> PendingPointer {
  auto it = Calls.find(Call);
  return it == Calls.end() ? nullptr : it->second;
}

auto CallerFrontend::run(ForwardToken &What) -> void {
  if (auto call = find(What.Call)) {
    call->Tokens.push_back(std::move(What.Data));
    call->wake();
  }
}

auto CallerFrontend::run(FinishCall &What) -> void {
  log(LogLevel::Info, "call-finished",
      {{"request", requestId(What.Call)},
       {"outcome", toString(What.Response.Result)},
       {"code", static_cast<int>(What.Response.Code)}});
  if (auto call = find(What.Call)) {
    call->Final = std::move(What);
    call->wake();
  }
}

auto CallerFrontend::run(RespondToSteering &What) -> void {
  if (auto call = find(What.Call)) {
    call->Steering = std::move(What);
    call->wake();
  }
}

auto CallerFrontend::handle(HttpExchange &Target) -> Awaitable<void> {
  ++ActiveExchanges;
  auto path = Target.path();
  auto problem = std::optional<Error>{};
  try {
    if (path == "/v1/completions" || path == "/v1/chat/completions")
      co_await handleCompletion(Target, path == "/v1/chat/completions");
    else if (path.starts_with("/services/"))
      co_await handleService(Target);
    else if (path == "/v1/instances")
      co_await handleSteering(Target);
    else if (path.starts_with("/admin/"))
      co_await handleAdmin(Target);
    else
      co_await handleHealth(Target);
  } catch (Error const &thrown) {
    problem = thrown;
  } catch (boost::system::system_error const &) {
    // The caller is gone; the reducer hears of it below.
  }
  if (problem)
    co_await refuse(Target, problem->code(), problem->what());
  --ActiveExchanges;
}

auto CallerFrontend::refuse(HttpExchange &Target, ResultCode Code,
                            std::string Detail) -> Awaitable<void> {
  // With a key, an earlier call may have run: then nothing is certain.
  auto isKeyed = !Target.field("Idempotency-Key").empty();
  auto result = isKeyed ? Outcome::Unknown : Outcome::NotRun;
  auto id = requestId(allocateCall());
  try {
    co_await Target.respond({describe(Code).HttpStatus, JsonType,
                             outcomeFields(id, result, Code),
                             outcomeBody(id, result, Code, Detail)});
  } catch (boost::system::system_error const &) {
    Target.abort();
  }
}

auto CallerFrontend::begin(HttpExchange &Target, CallRequest Request)
    -> PendingPointer {
  auto call = std::make_shared<PendingCall>(Context, allocateCall());
  Calls[call->Id] = call;
  Target.notifyOnDisconnect(
      [this, id = call->Id] { Owner.feed(CallerDisconnected{id}); });
  Owner.feed(CallArrived{call->Id, std::move(Request), {}});
  return call;
}

auto CallerFrontend::handleCompletion(HttpExchange &Target, bool IsChat)
    -> Awaitable<void> {
  if (Target.method() != "POST")
    throw Error(ResultCode::MethodNotAllowed, "use POST");
  auto request = parseCompletion(Target, IsChat);
  auto call = begin(Target, std::move(request.Call));
  auto isBroken = false;
  try {
    if (request.IsStreaming)
      co_await answerStream(Target, call);
    else
      co_await answerWhole(Target, call, IsChat);
  } catch (boost::system::system_error const &) {
    isBroken = true;
  }
  Calls.erase(call->Id);
  if (isBroken)
    Owner.feed(CallerDisconnected{call->Id});
}

auto CallerFrontend::answerStream(HttpExchange &Target, PendingPointer Call)
    -> Awaitable<void> {
  co_await Call->wait();
  if (Call->Tokens.empty())
    co_return co_await respondFinal(Target, *Call);
  co_await Target.beginStream("text/event-stream",
                              {{"X-Request-Id", requestId(Call->Id)}});
  for (;;) {
    auto out = std::string{};
    for (auto const &it : Call->Tokens)
      out += "data: " + it + "\n\n";
    Call->Tokens.clear();
    if (!out.empty())
      co_await Target.writeChunk(out);
    if (Call->Tokens.empty() && Call->Final)
      break;
    co_await Call->wait();
  }
  auto const &answer = Call->Final->Response;
  auto body = outcomeBody(requestId(Call->Id), answer.Result, answer.Code, {});
  auto isWhole = answer.Result == Outcome::Completed;
  co_await Target.writeChunk("event: outcome\ndata: " + body + "\n\n" +
                             (isWhole ? "data: [DONE]\n\n" : ""));
  co_await Target.endStream();
}

auto CallerFrontend::answerWhole(HttpExchange &Target, PendingPointer Call,
                                 bool IsChat) -> Awaitable<void> {
  auto text = std::string{};
  auto count = std::size_t{0};
  while (!Call->Final) {
    co_await Call->wait();
    for (auto const &it : Call->Tokens)
      text += textOf(it, IsChat);
    count += Call->Tokens.size();
    Call->Tokens.clear();
  }
  auto const &answer = Call->Final->Response;
  if (answer.Result != Outcome::Completed || !answer.Body.empty())
    co_return co_await respondFinal(Target, *Call);
  auto id = requestId(Call->Id);
  co_await Target.respond({describe(answer.Code).HttpStatus, JsonType,
                           outcomeFields(id, answer.Result, answer.Code),
                           wholeBody(id, text, IsChat, count)});
}

auto CallerFrontend::respondFinal(HttpExchange &Target, PendingCall const &Call)
    -> Awaitable<void> {
  auto const &final = *Call.Final;
  auto const &answer = final.Response;
  auto id = requestId(Call.Id);
  auto reply =
      HttpResponse{answer.HttpStatus, answer.ContentType,
                   outcomeFields(id, answer.Result, answer.Code), answer.Body};
  if (answer.Result != Outcome::Completed && answer.Body.empty()) {
    reply.ContentType = JsonType;
    reply.Body = outcomeBody(id, answer.Result, answer.Code, {});
  }
  if (final.RetryAfter)
    reply.Fields.push_back(
        {"Retry-After", retryAfterSeconds(*final.RetryAfter)});
  if (!final.RedirectAddress.empty()) {
    reply.Status = RedirectStatus;
    reply.Fields.push_back({"Location", "http://" + final.RedirectAddress +
                                            std::string(Target.path())});
  }
  co_await Target.respond(std::move(reply));
}

auto CallerFrontend::handleService(HttpExchange &Target) -> Awaitable<void> {
  auto call = begin(Target, parseServiceCall(Target));
  co_await call->wait();
  Calls.erase(call->Id);
  co_await respondFinal(Target, *call);
}

auto CallerFrontend::handleSteering(HttpExchange &Target) -> Awaitable<void> {
  if (Target.method() != "GET")
    throw Error(ResultCode::MethodNotAllowed, "use GET");
  auto caller = callerOf(Target);
  auto call = std::make_shared<PendingCall>(Context, allocateCall());
  Calls[call->Id] = call;
  Owner.feed(SteeringRequested{call->Id, caller});
  co_await call->wait();
  Calls.erase(call->Id);
  auto instances = json::array();
  for (auto const &it : call->Steering->Instances)
    instances.push_back({{"id", it.Id.text()},
                         {"address", it.Address},
                         {"weight", it.Weight},
                         {"key_prefix", it.KeyPrefix}});
  auto lifetime = toMilliseconds(call->Steering->Lifetime);
  co_await Target.respond(
      {200, JsonType,
       outcomeFields(requestId(call->Id), Outcome::Completed,
                     ResultCode::Completed),
       json{{"instances", instances}, {"valid_for_ms", lifetime}}.dump()});
}

auto CallerFrontend::handleHealth(HttpExchange &Target) -> Awaitable<void> {
  auto path = Target.path();
  auto isKnown = path == "/metrics" || path == "/healthz" || path == "/readyz";
  if (!isKnown)
    throw Error(ResultCode::UnknownPath, std::string(path));
  if (Target.method() != "GET")
    throw Error(ResultCode::MethodNotAllowed, "use GET");
  if (path == "/metrics") {
    Measured.show(Owner.state());
    co_return co_await Target.respond(
        {200, "text/plain; version=0.0.4", {}, Measured.text()});
  }
  auto isReady =
      Owner.state().Lifecycle.phase() == InstanceLifecycle::Phase::Ready;
  auto status = path == "/healthz" || isReady ? 200U : 503U;
  co_await Target.respond(
      {status, "text/plain", {}, status == 200U ? "ok\n" : "not ready\n"});
}

auto CallerFrontend::handleAdmin(HttpExchange &Target) -> Awaitable<void> {
  if (Target.method() != "GET")
    throw Error(ResultCode::MethodNotAllowed, "use GET");
  if (Target.path() == "/admin/status")
    co_return co_await Target.respond(
        {200, JsonType, {}, statusReport(Owner.state())});
  if (Target.path() != "/admin/explain")
    throw Error(ResultCode::UnknownPath, std::string(Target.path()));
  auto question = ExplainQuestion{CallerName(Target.query("caller")),
                                  ModelName(Target.query("model")),
                                  ServiceName(Target.query("service"))};
  co_await Target.respond(
      {200, JsonType, {}, explainReport(Owner.state(), question)});
}

} // namespace dotterel
