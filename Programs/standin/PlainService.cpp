#include "PlainService.h"

namespace dotterel::standin {

auto PlainService::control(HttpExchange &Target) -> Awaitable<void> {
  auto body = parseBody(Target);
  DelayMs = body.value("delayMs", DelayMs);
  AnswersToLose = body.value("loseAnswers", AnswersToLose);
  co_await respondJson(Target, 200, {{"executions", Executions}});
}

auto PlainService::handle(HttpExchange &Target) -> Awaitable<void> {
  if (Target.path() == "/control")
    co_return co_await control(Target);
  if (Target.method() != "GET") {
    auto key = Target.field("Idempotency-Key");
    ++Executions[key.empty() ? "(none)" : key];
  }
  if (DelayMs > 0)
    co_await sleepFor(std::chrono::milliseconds(DelayMs));
  if (Target.method() != "GET" && AnswersToLose > 0) {
    --AnswersToLose;
    Target.abort();
    co_return;
  }
  co_await respondJson(Target, 200,
                       {{"server", Name},
                        {"path", std::string(Target.path())},
                        {"echo", Target.body()}});
}

} // namespace dotterel::standin
