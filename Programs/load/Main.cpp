/// \file
/// A load tool: keeps a number of streamed completions open against an
/// instance, or an engine, and prints what it saw as one line of JSON.
#include "LibInstance/EventStream.h"
#include "LibNet/HttpClient.h"
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

/// What to send.
struct Options {
  std::string Address;
  std::string Model;
  std::string Path;
  int Streams = 1;
  int Requests = 1;
  int Tokens = 1;
  int PromptBytes = 0;
  /// Bookings have a key prefix in place of a prompt.
  std::string KeyPrefix;
};

/// What was seen.
struct Seen {
  std::vector<double> FirstTokenMs;
  std::vector<double> BetweenTokensMs;
  std::vector<double> WholeMs;
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
  explicit Load(Options Given) : Given(std::move(Given)) {}

  auto run(asio::io_context &Context) -> void {
    for (auto n = 0; n < Given.Streams; ++n)
      spawnTask(Context, [this] { return work(); });
  }

  [[nodiscard]] auto summary() -> std::string {
    return json{
        {"completed", Result.Completed},
        {"failed", Result.Failed},
        {"first_token_ms_p50", percentile(Result.FirstTokenMs, 0.5)},
        {"first_token_ms_p95", percentile(Result.FirstTokenMs, 0.95)},
        {"between_tokens_ms_p50", percentile(Result.BetweenTokensMs, 0.5)},
        {"between_tokens_ms_p95", percentile(Result.BetweenTokensMs, 0.95)},
        {"whole_ms_p50", percentile(Result.WholeMs, 0.5)},
        {"whole_ms_p95", percentile(Result.WholeMs, 0.95)}}
        .dump();
  }

private:
  auto work() -> Awaitable<void> {
    while (Started < Given.Requests) {
      auto number = Started++;
      auto isWhole = Given.KeyPrefix.empty() ? co_await complete(number)
                                             : co_await book(number);
      isWhole ? ++Result.Completed : ++Result.Failed;
    }
  }

  auto book(int Number) -> Awaitable<bool> {
    auto begin = Instant{std::chrono::steady_clock::now()};
    auto request =
        HttpRequest{"POST", Given.Path, "application/json", {}, "{}"};
    request.Fields.push_back(
        {"Idempotency-Key", fmt::format("{}{}", Given.KeyPrefix, Number)});
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    if (!co_await connection.connect(Given.Address, Timeout) ||
        !co_await connection.send(request, Timeout))
      co_return false;
    auto status = co_await connection.readHeader(Timeout);
    Result.WholeMs.push_back(millisecondsSince(begin));
    co_return status == StatusOk &&connection.field("Dotterel-Outcome") ==
        "completed";
  }

  auto complete(int Number) -> Awaitable<bool> {
    auto begin = Instant{std::chrono::steady_clock::now()};
    auto prompt = fmt::format("{} ", Number);
    prompt.append(static_cast<std::size_t>(Given.PromptBytes), 'p');
    auto body = json{
        {"model", Given.Model},
        {"prompt", prompt},
        {"max_tokens", Given.Tokens},
        {"stream",
         true}}.dump();
    auto connection = HttpConnection(co_await asio::this_coro::executor);
    if (!co_await connection.connect(Given.Address, Timeout) ||
        !co_await connection.send(
            {"POST", Given.Path, "application/json", {}, body}, Timeout) ||
        co_await connection.readHeader(Timeout) != StatusOk)
      co_return false;
    auto isWhole = co_await readTokens(connection, begin);
    Result.WholeMs.push_back(millisecondsSince(begin));
    co_return isWhole;
  }

  auto readTokens(HttpConnection &Connection, Instant Begin)
      -> Awaitable<bool> {
    auto parser = EventStreamParser{};
    auto last = Begin;
    auto tokens = 0;
    while (co_await Connection.readSome(parser.buffer(), Timeout)) {
      while (auto event = parser.next()) {
        if (event->Data == "[DONE]")
          co_return tokens == Given.Tokens;
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

  Options Given;
  Seen Result;
  int Started = 0;
};

auto parse(int ArgumentCount, char **Arguments) -> Options {
  auto line = TCLAP::CmdLine("Load tool for streamed completions", ' ', "0");
  auto address = TCLAP::ValueArg<std::string>("a", "address", "ip:port", true,
                                              "", "address", line);
  auto model = TCLAP::ValueArg<std::string>("m", "model", "Model", false,
                                            "roster", "name", line);
  auto path = TCLAP::ValueArg<std::string>("p", "path", "Path", false,
                                           "/v1/completions", "path", line);
  auto streams = TCLAP::ValueArg<int>("s", "streams", "Open at once", false, 1,
                                      "number", line);
  auto requests = TCLAP::ValueArg<int>("r", "requests", "Requests in all",
                                       false, 1, "number", line);
  auto tokens = TCLAP::ValueArg<int>("t", "tokens", "Tokens of each", false, 1,
                                     "number", line);
  auto bytes = TCLAP::ValueArg<int>("b", "prompt-bytes", "Length of prompts",
                                    false, 16, "bytes", line);
  auto prefix = TCLAP::ValueArg<std::string>(
      "k", "key-prefix", "Make bookings with keys of this prefix", false, "",
      "prefix", line);
  line.parse(ArgumentCount, Arguments);
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
  } catch (std::exception const &problem) {
    fmt::print(stderr, "error: {}\n", problem.what());
    return 1;
  }
  return 0;
}
