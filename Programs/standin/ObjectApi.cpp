#include "ObjectApi.h"

namespace dotterel::standin {

namespace {

constexpr auto Prefix = std::string_view{"/objects/"};
constexpr auto WatchStep = Duration{10ms};
constexpr auto MaximumObjectBytes = std::size_t{1} << 20U;

auto parseNumber(std::string const &Text) -> std::uint64_t {
  return Text.empty() ? 0 : std::strtoull(Text.c_str(), nullptr, 10);
}

} // namespace

auto ObjectApi::owns(std::string_view Path) -> bool {
  return Path.starts_with(Prefix);
}

auto ObjectApi::control(json const &Body) -> void {
  IsUnavailable = Body.value("outage", IsUnavailable);
  DelayMs = Body.value("delayMs", DelayMs);
  ResponsesToDrop = Body.value("loseAnswers", ResponsesToDrop);
}

auto ObjectApi::counts() const -> json {
  return {{"reads", Reads}, {"writes", Writes}, {"watches", Watches}};
}

auto ObjectApi::handle(HttpExchange &Exchange) -> Awaitable<void> {
  if (DelayMs > 0)
    co_await sleepFor(std::chrono::milliseconds(DelayMs));
  if (IsUnavailable) {
    Exchange.abort();
    co_return;
  }
  auto name = std::string(Exchange.path().substr(Prefix.size()));
  if (Exchange.method() == "PUT")
    co_await write(Exchange, name);
  else
    co_await read(Exchange, name);
}

auto ObjectApi::read(HttpExchange &Exchange, std::string const &Name)
    -> Awaitable<void> {
  auto wait = Duration(
      std::chrono::milliseconds(parseNumber(Exchange.query("waitMs"))));
  auto after = parseNumber(Exchange.query("after"));
  wait.count() > 0 ? ++Watches : ++Reads;
  for (auto waited = Duration{}; waited < wait; waited += WatchStep) {
    if (Objects[Name].Version > after)
      break;
    co_await sleepFor(WatchStep);
    if (IsUnavailable) {
      Exchange.abort();
      co_return;
    }
  }
  auto object = Objects[Name];
  if (object.Version == 0)
    co_return co_await respondJson(Exchange, 404, json::object());
  if (wait.count() > 0 && object.Version <= after)
    co_return co_await Exchange.respond({304, "", {}, ""});
  co_await respondObject(Exchange, 200, object);
}

auto ObjectApi::write(HttpExchange &Exchange, std::string const &Name)
    -> Awaitable<void> {
  ++Writes;
  auto &object = Objects[Name];
  if (Exchange.body().size() > MaximumObjectBytes)
    co_return co_await respondJson(Exchange, 413, json::object());
  if (object.Version != parseNumber(Exchange.field("If-Match")))
    co_return co_await respondObject(Exchange, 412, object);
  object.Version += 1;
  object.Body = Exchange.body();
  if (ResponsesToDrop > 0) {
    --ResponsesToDrop;
    Exchange.abort();
    co_return;
  }
  co_await respondObject(Exchange, 200, object);
}

auto ObjectApi::respondObject(HttpExchange &Exchange, unsigned Status,
                              Object const &Stored) -> Awaitable<void> {
  co_await respondJson(Exchange, Status,
                       {{"version", Stored.Version}, {"body", Stored.Body}});
}

} // namespace dotterel::standin
