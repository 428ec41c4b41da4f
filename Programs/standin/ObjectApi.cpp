#include "ObjectApi.h"

namespace dotterel::standin {

namespace {

constexpr auto Prefix = std::string_view{"/objects/"};
constexpr auto WatchStep = Duration{10ms};
constexpr auto MaximumObjectBytes = std::size_t{1} << 20U;

auto numberOf(std::string const &Text) -> std::uint64_t {
  return Text.empty() ? 0 : std::strtoull(Text.c_str(), nullptr, 10);
}

} // namespace

auto ObjectApi::owns(std::string_view Path) -> bool {
  return Path.starts_with(Prefix);
}

auto ObjectApi::control(json const &Body) -> void {
  IsOut = Body.value("outage", IsOut);
  DelayMs = Body.value("delayMs", DelayMs);
  AnswersToLose = Body.value("loseAnswers", AnswersToLose);
}

auto ObjectApi::counts() const -> json {
  return {{"reads", Reads}, {"writes", Writes}, {"watches", Watches}};
}

auto ObjectApi::handle(HttpExchange &Target) -> Awaitable<void> {
  if (DelayMs > 0)
    co_await sleepFor(std::chrono::milliseconds(DelayMs));
  if (IsOut) {
    Target.abort();
    co_return;
  }
  auto name = std::string(Target.path().substr(Prefix.size()));
  if (Target.method() == "PUT")
    co_await write(Target, name);
  else
    co_await read(Target, name);
}

auto ObjectApi::read(HttpExchange &Target, std::string const &Name)
    -> Awaitable<void> {
  auto wait =
      Duration(std::chrono::milliseconds(numberOf(Target.query("waitMs"))));
  auto after = numberOf(Target.query("after"));
  wait.count() > 0 ? ++Watches : ++Reads;
  for (auto waited = Duration{}; waited < wait; waited += WatchStep) {
    if (Objects[Name].Version > after)
      break;
    co_await sleepFor(WatchStep);
    if (IsOut) {
      Target.abort();
      co_return;
    }
  }
  auto found = Objects[Name];
  if (found.Version == 0)
    co_return co_await respondJson(Target, 404, json::object());
  if (wait.count() > 0 && found.Version <= after)
    co_return co_await Target.respond({304, "", {}, ""});
  co_await respondObject(Target, 200, found);
}

auto ObjectApi::write(HttpExchange &Target, std::string const &Name)
    -> Awaitable<void> {
  ++Writes;
  auto &object = Objects[Name];
  if (Target.body().size() > MaximumObjectBytes)
    co_return co_await respondJson(Target, 413, json::object());
  if (object.Version != numberOf(Target.field("If-Match")))
    co_return co_await respondObject(Target, 412, object);
  object.Version += 1;
  object.Body = Target.body();
  if (AnswersToLose > 0) {
    --AnswersToLose;
    Target.abort();
    co_return;
  }
  co_await respondObject(Target, 200, object);
}

auto ObjectApi::respondObject(HttpExchange &Target, unsigned Status,
                              Object const &Found) -> Awaitable<void> {
  co_await respondJson(Target, Status,
                       {{"version", Found.Version}, {"body", Found.Body}});
}

} // namespace dotterel::standin
