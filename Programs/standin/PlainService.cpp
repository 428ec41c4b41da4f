#include "PlainService.h"

namespace dotterel::standin {

auto PlainService::control(HttpExchange &Exchange) -> Awaitable<void> {
  auto body = parseBody(Exchange);
  DelayMs = body.value("delayMs", DelayMs);
  ResponsesToDrop = body.value("loseAnswers", ResponsesToDrop);
  co_await respondJson(Exchange, 200, {{"executions", Executions}});
}

auto PlainService::handle(HttpExchange &Exchange) -> Awaitable<void> {
  if (Exchange.path() == "/control")
    co_return co_await control(Exchange);
  if (Exchange.method() != "GET") {
    auto key = Exchange.field("Idempotency-Key");
    ++Executions[key.empty() ? "(none)" : key];
  }
  if (DelayMs > 0)
    co_await sleepFor(std::chrono::milliseconds(DelayMs));
  if (Exchange.method() != "GET" && ResponsesToDrop > 0) {
    --ResponsesToDrop;
    Exchange.abort();
    co_return;
  }
  co_await respondJson(Exchange, 200,
                       {{"server", Name},
                        {"path", std::string(Exchange.path())},
                        {"echo", Exchange.body()}});
}

} // namespace dotterel::standin
