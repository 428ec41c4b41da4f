#include "LibInstance/BackendClient.h"

#include "LibCore/Error.h"
#include "LibInstance/EventStream.h"
#include "LibNet/Task.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

constexpr auto ConnectTimeout = Duration{1s};
constexpr auto SendTimeout = Duration{10s};
constexpr auto ReportTimeout = Duration{1s};
constexpr auto OrderTimeout = Duration{5s};
/// Timeout for each read of a response. Attempts are cancelled earlier, at the
/// deadline of their call.
constexpr auto ResponseTimeout = Duration{24h};

constexpr auto StatusOk = 200U;
constexpr auto StatusConflict = 409U;
constexpr auto StatusPreconditionFailed = 412U;
constexpr auto StatusTooManyRequests = 429U;
constexpr auto StatusUnavailable = 503U;

auto isRefusal(unsigned Status) -> bool {
  return Status == StatusConflict || Status == StatusTooManyRequests ||
         Status == StatusUnavailable;
}

auto parseReport(json const &Body) -> EngineReport {
  auto report = EngineReport{};
  report.Run = Body.at("run").get<std::uint64_t>();
  report.Role = parseEngineRole(Body.at("role").get<std::string>());
  for (auto const &it : Body.at("models"))
    report.Models.emplace_back(it.get<std::string>());
  report.IsChanging = Body.at("changing").get<bool>();
  report.LastOrder = Body.at("last_order").get<OrderId>();
  report.HighestFencing = Body.at("highest_fencing").get<FencingNumber>();
  report.Running = Body.at("running").get<std::uint32_t>();
  report.QueuedPrefillTokens =
      Body.at("queued_prefill_tokens").get<std::uint64_t>();
  report.PrefilledTokens = Body.value("prefilled_tokens", std::uint64_t{0});
  report.FreeCacheTokens = Body.at("free_cache_tokens").get<std::uint64_t>();
  return report;
}

auto orderBody(SendOrder const &Effect) -> std::string {
  auto models = json::array();
  for (auto const &it : Effect.State.Models)
    models.push_back(it.text());
  return json{{"order", Effect.Order},
              {"fencing", Effect.Fencing},
              {"role", toString(Effect.State.Role)},
              {"models", std::move(models)},
              {"if_idle", true}}
      .dump();
}

auto orderResult(unsigned Status) -> OrderResult {
  if (Status == StatusOk)
    return OrderResult::Accepted;
  if (Status == StatusConflict)
    return OrderResult::RefusedBusy;
  if (Status == StatusPreconditionFailed)
    return OrderResult::RefusedStaleFencing;
  return OrderResult::Lost;
}

auto requestFrom(SendAttempt const &Effect) -> HttpRequest {
  auto request =
      HttpRequest{Effect.Method, Effect.Path, Effect.ContentType, {}, {}};
  if (Effect.Body)
    request.Body = *Effect.Body;
  if (!Effect.Key.empty())
    request.Fields.push_back({"Idempotency-Key", Effect.Key.text()});
  if (Effect.ResumeAfter > 0)
    request.Fields.push_back(
        {"Last-Event-ID", fmt::format("{}", Effect.ResumeAfter)});
  return request;
}

} // namespace

BackendClient::BackendClient(asio::io_context &Context, ControlLoop &Loop)
    : Context(Context), Loop(Loop) {}

auto BackendClient::run(ConnectAttempt const &Effect) -> void {
  auto active = std::make_shared<ActiveConnection>(Context.get_executor());
  Attempts[Effect.Attempt] = active;
  spawnTask(Context, "backend-connect", [this, Effect, active] {
    return connect(Effect.Attempt, Effect.Address, active);
  });
}

auto BackendClient::connect(AttemptId Attempt, std::string Address,
                            ActiveConnectionPointer Active) -> Awaitable<void> {
  auto isConnected =
      co_await Active->Connection.connect(Address, ConnectTimeout);
  if (Active->IsCancelled)
    co_return;
  if (!isConnected)
    co_return finish(Attempt, Active, AttemptUnreachable{Attempt});
  Loop.feed(AttemptConnected{Attempt});
}

auto BackendClient::run(SendAttempt const &Effect) -> void {
  auto it = Attempts.find(Effect.Attempt);
  if (it == Attempts.end())
    return Loop.feed(AttemptInterrupted{Effect.Attempt});
  spawnTask(Context, "backend-send", [this, Effect, active = it->second] {
    return send(Effect, active);
  });
}

auto BackendClient::send(SendAttempt Effect, ActiveConnectionPointer Active)
    -> Awaitable<void> {
  auto &connection = Active->Connection;
  auto isSent = co_await connection.send(requestFrom(Effect), SendTimeout);
  if (!isSent)
    co_return finish(Effect.Attempt, Active,
                     AttemptInterrupted{Effect.Attempt});
  auto status = co_await connection.readHeader(ResponseTimeout);
  if (status == 0)
    co_return finish(Effect.Attempt, Active,
                     AttemptInterrupted{Effect.Attempt});
  if (Effect.Kind == CallKind::Service)
    co_return co_await readCompleteResponse(Effect.Attempt, status, Active);
  if (isRefusal(status))
    co_return finish(Effect.Attempt, Active, AttemptRefused{Effect.Attempt});
  if (status != StatusOk)
    co_return co_await readCompleteResponse(Effect.Attempt, status, Active);
  co_await readStream(Effect.Attempt, Active);
}

auto BackendClient::readStream(AttemptId Attempt,
                               ActiveConnectionPointer Active)
    -> Awaitable<void> {
  auto parser = EventStreamParser{};
  while (
      co_await Active->Connection.readSome(parser.buffer(), ResponseTimeout)) {
    while (auto event = parser.next()) {
      if (Active->IsCancelled)
        co_return;
      if (event->Data == "[DONE]")
        co_return finish(Attempt, Active,
                         AttemptCompleted{Attempt, StatusOk, {}, {}});
      if (!event->Id)
        co_return finish(Attempt, Active, AttemptInterrupted{Attempt});
      Loop.feed(AttemptToken{Attempt, *event->Id, std::move(event->Data)});
    }
    if (parser.isOverlong())
      break;
  }
  finish(Attempt, Active, AttemptInterrupted{Attempt});
}

auto BackendClient::readCompleteResponse(AttemptId Attempt, unsigned Status,
                                         ActiveConnectionPointer Active)
    -> Awaitable<void> {
  auto body = std::string{};
  while (co_await Active->Connection.readSome(body, ResponseTimeout)) {
  }
  if (!Active->Connection.isComplete())
    co_return finish(Attempt, Active, AttemptInterrupted{Attempt});
  finish(Attempt, Active,
         AttemptCompleted{Attempt, static_cast<std::uint16_t>(Status),
                          Active->Connection.contentType(), std::move(body)});
}

auto BackendClient::finish(AttemptId Attempt,
                           ActiveConnectionPointer const &Active,
                           EventBody Event) -> void {
  if (Active->IsCancelled)
    return;
  Active->IsCancelled = true;
  Active->Connection.close();
  Attempts.erase(Attempt);
  Loop.feed(std::move(Event));
}

auto BackendClient::run(CancelAttempt const &Effect) -> void {
  auto it = Attempts.find(Effect.Attempt);
  if (it == Attempts.end())
    return;
  it->second->IsCancelled = true;
  it->second->Connection.close();
  Attempts.erase(it);
}

auto BackendClient::run(PollEngine const &Effect) -> void {
  spawnTask(Context, "backend-poll",
            [this, Effect] { return poll(Effect.Engine, Effect.Address); });
}

auto BackendClient::poll(EngineId Engine, std::string Address)
    -> Awaitable<void> {
  auto sent = Instant{std::chrono::steady_clock::now()};
  auto result = co_await exchange(
      std::move(Address), {"GET", "/report", "", {}, ""}, ReportTimeout);
  if (!result.Response || result.Response->Status != StatusOk)
    co_return Loop.feed(EngineUnreachable{Engine});
  auto body = json::parse(result.Response->Body, nullptr, false);
  try {
    auto report = parseReport(body);
    auto age = std::chrono::milliseconds(body.at("age_ms").get<std::int64_t>());
    // The clocks of the engine and of this instance run at different rates.
    // Over a report's age of seconds they drift apart by less than 1 ms.
    Loop.feed(EngineReported{Engine, std::move(report), sent - age - 1ms});
  } catch (json::exception const &) {
    Loop.feed(EngineUnreachable{Engine});
  } catch (Error const &) {
    Loop.feed(EngineUnreachable{Engine});
  }
}

auto BackendClient::run(ConnectOrder const &Effect) -> void {
  auto key = OrderKey{Effect.Shard, Effect.Engine, Effect.Order};
  auto active = std::make_shared<ActiveConnection>(Context.get_executor());
  Orders[key] = active;
  spawnTask(Context, "backend-connect-order",
            [this, key, address = Effect.Address, active] {
              return connectOrder(key, address, active);
            });
}

auto BackendClient::connectOrder(OrderKey Key, std::string Address,
                                 ActiveConnectionPointer Active)
    -> Awaitable<void> {
  auto isConnected =
      co_await Active->Connection.connect(Address, ConnectTimeout);
  if (Active->IsCancelled)
    co_return;
  if (isConnected)
    co_return Loop.feed(OrderConnected{Key.Shard, Key.Engine, Key.Order});
  Orders.erase(Key);
  Loop.feed(
      OrderResultReceived{Key.Shard, Key.Engine, Key.Order, OrderResult::Lost});
}

auto BackendClient::run(SendOrder const &Effect) -> void {
  auto it = Orders.find({Effect.Shard, Effect.Engine, Effect.Order});
  if (it == Orders.end())
    return Loop.feed(OrderResultReceived{Effect.Shard, Effect.Engine,
                                         Effect.Order, OrderResult::Lost});
  auto active = it->second;
  Orders.erase(it);
  spawnTask(Context, "backend-send-order",
            [this, Effect, active] { return sendOrder(Effect, active); });
}

auto BackendClient::sendOrder(SendOrder Effect, ActiveConnectionPointer Active)
    -> Awaitable<void> {
  auto body = orderBody(Effect);
  auto request = HttpRequest{"POST", "/orders", "application/json", {}, body};
  auto status = 0U;
  if (co_await Active->Connection.send(request, OrderTimeout))
    status = co_await Active->Connection.readHeader(OrderTimeout);
  Active->Connection.close();
  Loop.feed(OrderResultReceived{Effect.Shard, Effect.Engine, Effect.Order,
                                orderResult(status)});
}

auto BackendClient::run(AbandonOrder const &Effect) -> void {
  auto it = Orders.find({Effect.Shard, Effect.Engine, Effect.Order});
  if (it == Orders.end())
    return;
  it->second->IsCancelled = true;
  it->second->Connection.close();
  Orders.erase(it);
}

auto BackendClient::run(RaiseFence const &Effect) -> void {
  spawnTask(Context, "backend-raise-fence",
            [this, Effect] { return raiseFence(Effect); });
}

auto BackendClient::raiseFence(RaiseFence Effect) -> Awaitable<void> {
  auto body = json{{"fencing", Effect.Fencing}, {"fence_only", true}}.dump();
  // The engine's next report shows whether the fence took effect.
  (void)co_await exchange(Effect.Address,
                          {"POST", "/orders", "application/json", {}, body},
                          OrderTimeout);
}

} // namespace dotterel
