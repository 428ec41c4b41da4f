#include "LibInstance/BackendClient.h"

#include "LibCore/Error.h"
#include "LibInstance/EventStream.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

constexpr auto ConnectTimeout = Duration{1s};
constexpr auto SendTimeout = Duration{10s};
constexpr auto ReportTimeout = Duration{1s};
constexpr auto OrderTimeout = Duration{5s};
/// Longest silence of a backend server; deadlines of calls are shorter.
constexpr auto AnswerTimeout = Duration{24h};

constexpr auto StatusOk = 200U;
constexpr auto StatusConflict = 409U;
constexpr auto StatusPreconditionFailed = 412U;
constexpr auto StatusTooManyRequests = 429U;
constexpr auto StatusUnavailable = 503U;

auto isRefusal(unsigned Status) -> bool {
  return Status == StatusConflict || Status == StatusTooManyRequests ||
         Status == StatusUnavailable;
}

auto reportFrom(json const &In) -> EngineReport {
  auto report = EngineReport{};
  report.Run = In.at("run").get<std::uint64_t>();
  report.Role = parseEngineRole(In.at("role").get<std::string>());
  for (auto const &it : In.at("models"))
    report.Models.emplace_back(it.get<std::string>());
  report.IsChanging = In.at("changing").get<bool>();
  report.LastOrder = In.at("last_order").get<OrderId>();
  report.HighestFencing = In.at("highest_fencing").get<FencingNumber>();
  report.Running = In.at("running").get<std::uint32_t>();
  report.QueuedPrefillTokens =
      In.at("queued_prefill_tokens").get<std::uint64_t>();
  report.PrefilledTokens = In.value("prefilled_tokens", std::uint64_t{0});
  report.FreeCacheTokens = In.at("free_cache_tokens").get<std::uint64_t>();
  return report;
}

auto orderBody(SendOrder const &What) -> std::string {
  auto models = json::array();
  for (auto const &it : What.State.Models)
    models.push_back(it.text());
  return json{{"order", What.Order},
              {"fencing", What.Fencing},
              {"role", toString(What.State.Role)},
              {"models", std::move(models)},
              {"if_idle", true}}
      .dump();
}

auto orderAnswer(unsigned Status) -> OrderResponse {
  if (Status == StatusOk)
    return OrderResponse::Accepted;
  if (Status == StatusConflict)
    return OrderResponse::RefusedBusy;
  if (Status == StatusPreconditionFailed)
    return OrderResponse::RefusedStaleFencing;
  return OrderResponse::Lost;
}

auto requestFrom(SendAttempt const &What) -> HttpRequest {
  auto request = HttpRequest{What.Method, What.Path, What.ContentType, {}, {}};
  if (What.Body)
    request.Body = *What.Body;
  if (!What.Key.empty())
    request.Fields.push_back({"Idempotency-Key", What.Key.text()});
  if (What.ResumeAfter > 0)
    request.Fields.push_back(
        {"Last-Event-ID", fmt::format("{}", What.ResumeAfter)});
  return request;
}

} // namespace

BackendClient::BackendClient(asio::io_context &Context, Core &Owner)
    : Context(Context), Owner(Owner) {}

auto BackendClient::run(ConnectAttempt const &What) -> void {
  auto target = std::make_shared<Running>(Context.get_executor());
  Attempts[What.Attempt] = target;
  spawnTask(Context, [this, What, target] {
    return connect(What.Attempt, What.Address, target);
  });
}

auto BackendClient::connect(AttemptId Attempt, std::string Address,
                            RunningPointer Target) -> Awaitable<void> {
  auto isConnected =
      co_await Target->Connection.connect(Address, ConnectTimeout);
  if (Target->IsCancelled)
    co_return;
  if (!isConnected)
    co_return finish(Attempt, Target, AttemptUnreachable{Attempt});
  Owner.feed(AttemptConnected{Attempt});
}

auto BackendClient::run(SendAttempt const &What) -> void {
  auto it = Attempts.find(What.Attempt);
  if (it == Attempts.end())
    return Owner.feed(AttemptBroken{What.Attempt});
  spawnTask(Context,
            [this, What, target = it->second] { return send(What, target); });
}

auto BackendClient::send(SendAttempt What, RunningPointer Target)
    -> Awaitable<void> {
  auto &connection = Target->Connection;
  auto isSent = co_await connection.send(requestFrom(What), SendTimeout);
  if (!isSent)
    co_return finish(What.Attempt, Target, AttemptBroken{What.Attempt});
  auto status = co_await connection.readHeader(AnswerTimeout);
  if (status == 0)
    co_return finish(What.Attempt, Target, AttemptBroken{What.Attempt});
  if (What.Kind == CallKind::Service)
    co_return co_await readWhole(What.Attempt, status, Target);
  if (isRefusal(status))
    co_return finish(What.Attempt, Target, AttemptRefused{What.Attempt});
  if (status != StatusOk)
    co_return co_await readWhole(What.Attempt, status, Target);
  co_await readStream(What.Attempt, Target);
}

auto BackendClient::readStream(AttemptId Attempt, RunningPointer Target)
    -> Awaitable<void> {
  auto parser = EventStreamParser{};
  while (co_await Target->Connection.readSome(parser.buffer(), AnswerTimeout)) {
    while (auto event = parser.next()) {
      if (Target->IsCancelled)
        co_return;
      if (event->Data == "[DONE]")
        co_return finish(Attempt, Target,
                         AttemptCompleted{Attempt, StatusOk, {}, {}});
      if (!event->Id)
        co_return finish(Attempt, Target, AttemptBroken{Attempt});
      Owner.feed(AttemptToken{Attempt, *event->Id, std::move(event->Data)});
    }
    if (parser.isOverlong())
      break;
  }
  finish(Attempt, Target, AttemptBroken{Attempt});
}

auto BackendClient::readWhole(AttemptId Attempt, unsigned Status,
                              RunningPointer Target) -> Awaitable<void> {
  auto body = std::string{};
  while (co_await Target->Connection.readSome(body, AnswerTimeout)) {
  }
  if (!Target->Connection.isComplete())
    co_return finish(Attempt, Target, AttemptBroken{Attempt});
  finish(Attempt, Target,
         AttemptCompleted{Attempt, static_cast<std::uint16_t>(Status),
                          Target->Connection.contentType(), std::move(body)});
}

auto BackendClient::finish(AttemptId Attempt, RunningPointer const &Target,
                           EventBody Happened) -> void {
  if (Target->IsCancelled)
    return;
  Target->IsCancelled = true;
  Target->Connection.close();
  Attempts.erase(Attempt);
  Owner.feed(std::move(Happened));
}

auto BackendClient::run(CancelAttempt const &What) -> void {
  auto it = Attempts.find(What.Attempt);
  if (it == Attempts.end())
    return;
  it->second->IsCancelled = true;
  it->second->Connection.close();
  Attempts.erase(it);
}

auto BackendClient::run(PollEngine const &What) -> void {
  spawnTask(Context, [this, What] { return poll(What.Engine, What.Address); });
}

auto BackendClient::poll(EngineId Engine, std::string Address)
    -> Awaitable<void> {
  auto sent = Instant{std::chrono::steady_clock::now()};
  auto result = co_await exchange(
      std::move(Address), {"GET", "/report", "", {}, ""}, ReportTimeout);
  if (!result.Response || result.Response->Status != StatusOk)
    co_return Owner.feed(EngineUnreachable{Engine});
  auto body = json::parse(result.Response->Body, nullptr, false);
  try {
    auto report = reportFrom(body);
    auto age = std::chrono::milliseconds(body.at("age_ms").get<std::int64_t>());
    // Clock rates differ; the drift over an age of seconds is below 1 ms.
    Owner.feed(EngineReported{Engine, std::move(report), sent - age - 1ms});
  } catch (json::exception const &) {
    Owner.feed(EngineUnreachable{Engine});
  } catch (Error const &) {
    Owner.feed(EngineUnreachable{Engine});
  }
}

auto BackendClient::run(ConnectOrder const &What) -> void {
  auto key = OrderKey{What.Shard, What.Engine, What.Order};
  auto target = std::make_shared<Running>(Context.get_executor());
  Orders[key] = target;
  spawnTask(Context, [this, key, address = What.Address, target] {
    return connectOrder(key, address, target);
  });
}

auto BackendClient::connectOrder(OrderKey Key, std::string Address,
                                 RunningPointer Target) -> Awaitable<void> {
  auto isConnected =
      co_await Target->Connection.connect(Address, ConnectTimeout);
  if (Target->IsCancelled)
    co_return;
  if (isConnected)
    co_return Owner.feed(OrderConnected{Key.Shard, Key.Engine, Key.Order});
  Orders.erase(Key);
  Owner.feed(
      OrderResponded{Key.Shard, Key.Engine, Key.Order, OrderResponse::Lost});
}

auto BackendClient::run(SendOrder const &What) -> void {
  auto it = Orders.find({What.Shard, What.Engine, What.Order});
  if (it == Orders.end())
    return Owner.feed(OrderResponded{What.Shard, What.Engine, What.Order,
                                     OrderResponse::Lost});
  auto target = it->second;
  Orders.erase(it);
  spawnTask(Context, [this, What, target] { return sendOrder(What, target); });
}

auto BackendClient::sendOrder(SendOrder What, RunningPointer Target)
    -> Awaitable<void> {
  auto body = orderBody(What);
  auto request = HttpRequest{"POST", "/orders", "application/json", {}, body};
  auto status = 0U;
  if (co_await Target->Connection.send(request, OrderTimeout))
    status = co_await Target->Connection.readHeader(OrderTimeout);
  Target->Connection.close();
  Owner.feed(
      OrderResponded{What.Shard, What.Engine, What.Order, orderAnswer(status)});
}

auto BackendClient::run(AbandonOrder const &What) -> void {
  auto it = Orders.find({What.Shard, What.Engine, What.Order});
  if (it == Orders.end())
    return;
  it->second->IsCancelled = true;
  it->second->Connection.close();
  Orders.erase(it);
}

auto BackendClient::run(RaiseFence const &What) -> void {
  spawnTask(Context, [this, What] { return raiseFence(What); });
}

auto BackendClient::raiseFence(RaiseFence What) -> Awaitable<void> {
  auto body = json{{"fencing", What.Fencing}, {"fence_only", true}}.dump();
  // The engine's next report shows whether it took effect.
  (void)co_await exchange(What.Address,
                          {"POST", "/orders", "application/json", {}, body},
                          OrderTimeout);
}

} // namespace dotterel
