#include "LibNet/HttpServer.h"
#include "LibNet/Task.h"

#include <stdexcept>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

constexpr auto ServerAddress = std::string_view{"127.0.0.1:21752"};

} // namespace

// Regression test: the exception left the event loop and ended the process.
Test(Task, ExceptionEndsNoOtherTask) {
  auto context = asio::io_context{1};
  auto isOtherDone = false;
  spawnTask(context, "failing", []() -> Awaitable<void> {
    co_await sleepFor(1ms);
    throw std::invalid_argument("input");
  });
  spawnTask(context, "other", [&]() -> Awaitable<void> {
    co_await sleepFor(10ms);
    isOtherDone = true;
  });
  context.run();
  cr_assert(isOtherDone);
}

Test(Task, ServiceIsStartedAgain) {
  auto context = asio::io_context{1};
  auto starts = 0;
  spawnService(context, "service", [&]() -> Awaitable<void> {
    if (++starts < 3)
      throw std::runtime_error("input");
    co_return;
  });
  context.run();
  cr_assert_eq(starts, 3);
}

Test(Task, ExceptionOfACallbackDoesNotEndTheEventLoop) {
  auto context = asio::io_context{1};
  auto isOtherDone = false;
  asio::post(context, [] { throw std::length_error("callback"); });
  asio::post(context, [&] {
    isOtherDone = true;
    context.stop();
  });
  runEventLoop(context);
  cr_assert(isOtherDone);
}

// Fields above 64 KiB cannot be stored. The limit of a deployment may be
// larger.
Test(HttpServer, LongHeaderFieldEndsNoOtherConnection) {
  auto context = asio::io_context{1};
  auto limits = HttpLimits{};
  limits.HeaderBytes = 1U << 20U;
  auto server = HttpServer(
      context, ServerAddress, limits,
      [](HttpExchange &it) {
        return it.respond({200, "", {}, "served"});
      },
      [](ResultCode Code) {
        return HttpResponse{describe(Code).HttpStatus, "", {}, ""};
      });
  server.start();
  auto status = 0U;
  spawnTask(context, "callers", [&]() -> Awaitable<void> {
    (void)co_await exchange(
        std::string(ServerAddress),
        {"GET", "/", "", {{"X-Long", std::string(60000, 'x')}}, ""}, 1s);
    auto caller = asio::ip::tcp::socket(context);
    auto ec = boost::system::error_code{};
    co_await caller.async_connect({asio::ip::make_address("127.0.0.1"), 21752},
                                  useError(ec));
    auto const request =
        "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(70000, 'x') +
        "\r\n\r\n";
    co_await asio::async_write(caller, asio::buffer(request), useError(ec));
    auto const result = co_await exchange(std::string(ServerAddress),
                                          {"GET", "/", "", {}, ""}, 1s);
    status = result.Response ? result.Response->Status : 0;
    context.stop();
  });
  runEventLoop(context);
  cr_assert_eq(status, 200);
}

} // namespace dotterel::test
