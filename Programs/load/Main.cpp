/// \file
/// A load generator: keeps a number of streamed completions open at an
/// instance or an engine and prints its measurements as one line of JSON.
#include "LibInstance/EventStream.h"
#include "LibNet/HttpClient.h"
#include "LibNet/Task.h"
#include "LibTest/Percentile.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

namespace dotterel::load {

namespace {

using nlohmann::json;

constexpr auto Timeout = Duration{60s};
constexpr auto StatusOk = 200U;

/// Options of the tool, from its command line.
struct LoadOptions {
  std::string Address;
  std::string Model;
  std::string Path;
  int Streams = 1;
  int Requests = 1;
  int Tokens = 1;
  int PromptBytes = 0;
  /// Prefix of the idempotency keys of bookings. If it is empty, completions
  /// are sent instead.
  std::string KeyPrefix;
};

struct Measurements {
  std::vector<double> FirstTokenMs;
  std::vector<double> BetweenTokensMs;
  std::vector<double> TotalMs;
  int Completed = 0;
  int Failed = 0;
  int Open = 0;
};

auto millisecondsSince(Instant Begin) -> double {
  auto now = Instant{std::chrono::steady_clock::now()};
  return toSeconds(now - Begin) * 1000;
}

class Load {
public:
  explicit Load(LoadOptions Options) : Options(std::move(Options)) {}

  auto run(asio::io_context &Context) -> void {
    for (auto n = 0; n < Options.Streams; ++n)
      spawnTask(Context, "stream", [this] { return runStream(); });
  }

  [[nodiscard]] auto summary() -> std::string {
    return json{
        {"completed", Result.Completed},
        {"failed", Result.Failed},
        {"first_token_ms_p50", percentile(Result.FirstTokenMs, 0.5)},
        {"first_token_ms_p95", percentile(Result.FirstTokenMs, 0.95)},
        {"between_tokens_ms_p50", percentile(Result.BetweenTokensMs, 0.5)},
        {"between_tokens_ms_p95", percentile(Result.BetweenTokensMs, 0.95)},
        {"whole_ms_p50", percentile(Result.TotalMs, 0.5)},
        {"whole_ms_p95", percentile(Result.TotalMs, 0.95)}}
        .dump();
  }

private:
  auto runStream() -> Awaitable<void> {
    while (Started < Options.Requests) {
      auto number = Started++;
      auto isComplete = Options.KeyPrefix.empty()
                            ? co_await sendCompletion(number)
                            : co_await sendBooking(number);
      isComplete ? ++Result.Completed : ++Result.Failed;
    }
  }

  auto sendBooking(int Number) -> Awaitable<bool> {
    auto begin = Instant{std::chrono::steady_clock::now()};
    auto request =
        HttpRequest{"POST", Options.Path, "application/json", {}, "{}"};
    request.Fields.push_back(
        {"Idempotency-Key", fmt::format("{}{}", Options.KeyPrefix, Number)});
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    if (!co_await connection.connect(Options.Address, Timeout) ||
        !co_await connection.send(request, Timeout))
      co_return false;
    auto status = co_await connection.readHeader(Timeout);
    Result.TotalMs.push_back(millisecondsSince(begin));
    co_return status == StatusOk &&connection.field("Dotterel-Outcome") ==
        "completed";
  }

  auto sendCompletion(int Number) -> Awaitable<bool> {
    auto begin = Instant{std::chrono::steady_clock::now()};
    auto prompt = fmt::format("{} ", Number);
    prompt.append(static_cast<std::size_t>(Options.PromptBytes), 'p');
    auto body = json{
        {"model", Options.Model},
        {"prompt", prompt},
        {"max_tokens", Options.Tokens},
        {"stream",
         true}}.dump();
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    if (!co_await connection.connect(Options.Address, Timeout) ||
        !co_await connection.send(
            {"POST", Options.Path, "application/json", {}, body}, Timeout) ||
        co_await connection.readHeader(Timeout) != StatusOk)
      co_return false;
    auto isComplete = co_await readTokens(connection, begin);
    Result.TotalMs.push_back(millisecondsSince(begin));
    co_return isComplete;
  }

  auto readTokens(HttpConnection &Connection, Instant Begin)
      -> Awaitable<bool> {
    auto parser = EventStreamParser{};
    auto last = Begin;
    auto tokens = 0;
    while (co_await Connection.readSome(parser.buffer(), Timeout)) {
      while (auto event = parser.next()) {
        if (event->Data == "[DONE]")
          co_return tokens == Options.Tokens;
        if (event->Data.find("choices") == std::string::npos)
          continue;
        auto &series =
            tokens == 0 ? Result.FirstTokenMs : Result.BetweenTokensMs;
        series.push_back(millisecondsSince(last));
        last = std::chrono::steady_clock::now();
        ++tokens;
      }
    }
    co_return false;
  }

  LoadOptions Options;
  Measurements Result;
  int Started = 0;
};

auto parse(int ArgumentCount, char **Arguments) -> LoadOptions {
  auto commandLine =
      TCLAP::CmdLine("Load generator for streamed completions", ' ', "0");
  auto address = TCLAP::ValueArg<std::string>(
      "a", "address", "ip:port of the instance or engine", true, "", "address",
      commandLine);
  auto model =
      TCLAP::ValueArg<std::string>("m", "model", "Model of completions", false,
                                   "roster", "name", commandLine);
  auto path =
      TCLAP::ValueArg<std::string>("p", "path", "Path of the requests", false,
                                   "/v1/completions", "path", commandLine);
  auto streams = TCLAP::ValueArg<int>("s", "streams", "Concurrent streams",
                                      false, 1, "number", commandLine);
  auto requests =
      TCLAP::ValueArg<int>("r", "requests", "Total number of requests", false,
                           1, "number", commandLine);
  auto tokens = TCLAP::ValueArg<int>("t", "tokens", "Tokens per request", false,
                                     1, "number", commandLine);
  auto bytes =
      TCLAP::ValueArg<int>("b", "prompt-bytes", "Prompt length in bytes", false,
                           16, "bytes", commandLine);
  auto prefix = TCLAP::ValueArg<std::string>(
      "k", "key-prefix", "Send bookings with idempotency keys of this prefix",
      false, "", "prefix", commandLine);
  commandLine.parse(ArgumentCount, Arguments);
  return {address.getValue(), model.getValue(),    path.getValue(),
          streams.getValue(), requests.getValue(), tokens.getValue(),
          bytes.getValue(),   prefix.getValue()};
}

auto run(int ArgumentCount, char **Arguments) -> void {
  auto context = asio::io_context{1};
  auto load = Load(parse(ArgumentCount, Arguments));
  load.run(context);
  context.run();
  fmt::print("{}\n", load.summary());
}

} // namespace

} // namespace dotterel::load

auto main(int ArgumentCount, char **Arguments) -> int {
  try {
    dotterel::load::run(ArgumentCount, Arguments);
  } catch (std::exception const &error) {
    fmt::print(stderr, "error: {}\n", error.what());
    return 1;
  }
  return 0;
}
