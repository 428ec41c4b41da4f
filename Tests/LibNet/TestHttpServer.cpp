#include "LibNet/Endpoint.h"
#include "LibNet/HttpServer.h"
#include "LibNet/Task.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <thread>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

constexpr auto ServerAddress = std::string_view{"127.0.0.1:21753"};
constexpr auto ReadTimeout = Duration{100ms};

auto limits() -> HttpLimits {
  auto limits = HttpLimits{};
  limits.ReadTimeout = ReadTimeout;
  return limits;
}

auto refuse(ResultCode Code) -> HttpResponse {
  return {describe(Code).HttpStatus, "", {}, ""};
}

/// Sends half a request at once and the rest when the time to send it is over,
/// while the event loop is busy. The loop then finds both at once.
auto sendAtDeadline(asio::io_context &Context, std::string &Response)
    -> Awaitable<void> {
  auto socket = asio::ip::tcp::socket(Context);
  co_await socket.async_connect(parseEndpoint(ServerAddress),
                                asio::use_awaitable);
  co_await asio::async_write(
      socket, asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: h\r\n")),
      asio::use_awaitable);
  co_await sleepFor(ReadTimeout / 2);
  asio::write(socket, asio::buffer(std::string_view("\r\n")));
  std::this_thread::sleep_for(ReadTimeout);
  auto ec = boost::system::error_code{};
  (void)co_await asio::async_read_until(socket, asio::dynamic_buffer(Response),
                                        "\r\n\r\n", useError(ec));
}

} // namespace

// Regression test: the deadline of a request that had just arrived used its
// connection, which may be gone by then; the process crashed. Here it is open,
// and the caller was taken for one that has left.
Test(HttpServer, DeadlineOfARequestThatHasArrivedDoesNothing) {
  auto context = asio::io_context{1};
  auto hasLeft = false;
  auto handler = [&](HttpExchange &Exchange) -> Awaitable<void> {
    Exchange.notifyOnDisconnect([&] { hasLeft = true; });
    co_await sleepFor(20ms);
    co_await Exchange.respond({200, "", {}, ""});
  };
  auto server = HttpServer(context, ServerAddress, limits(), handler, refuse);
  server.start();
  auto response = std::string{};
  spawnTask(context, "caller", [&]() -> Awaitable<void> {
    co_await sendAtDeadline(context, response);
    context.stop();
  });
  context.run();
  cr_assert(response.starts_with("HTTP/1.1 200"), "%s", response.c_str());
  cr_assert_not(hasLeft);
}

} // namespace dotterel::test
