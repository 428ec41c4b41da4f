#include "LibNet/HttpClient.h"
#include "LibNet/Task.h"
#include "LibTest/ScriptedServer.h"

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

constexpr auto ServerAddress = std::string_view{"127.0.0.1:21751"};

/// What a client sees of one response.
struct Reception {
  unsigned Status = 0;
  BodyFraming Framing = BodyFraming::Length;
  std::string Body;
  bool IsComplete = false;
  bool IsReusable = false;
};

auto receive(Reception &Output) -> Awaitable<void> {
  auto connection = HttpConnection(co_await asio::this_coro::executor);
  if (!co_await connection.connect(ServerAddress, 1s))
    co_return;
  (void)co_await connection.send({"GET", "/", "", {}, ""}, 1s);
  Output.Status = co_await connection.readHeader(1s);
  if (Output.Status == 0)
    co_return;
  Output.Framing = connection.framing();
  while (co_await connection.readSome(Output.Body, 1s)) {
  }
  Output.IsComplete = connection.isComplete();
  Output.IsReusable = Output.IsComplete && connection.isReusable();
}

auto receiveFrom(Script Steps) -> Reception {
  auto server = ScriptedServer(ServerAddress, std::move(Steps));
  auto context = asio::io_context{1};
  auto reception = Reception{};
  spawnTask(context, "reception", [&] { return receive(reception); });
  context.run();
  return reception;
}

} // namespace

Test(HttpClient, TellsHowTheBodyIsFramed) {
  auto length =
      receiveFrom({"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"});
  cr_assert_eq(length.Framing, BodyFraming::Length);
  auto chunked =
      receiveFrom({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\nbody\r\n0\r\n\r\n"});
  cr_assert_eq(chunked.Framing, BodyFraming::Chunked);
  auto untilClose = receiveFrom({"HTTP/1.1 200 OK\r\n\r\nbody"});
  cr_assert_eq(untilClose.Framing, BodyFraming::UntilClose);
  for (auto const &it : {length, chunked, untilClose}) {
    cr_assert(it.IsComplete);
    cr_assert(it.Body == "body");
  }
  cr_assert_not(untilClose.IsReusable);
}

Test(HttpClient, ResetEndsNoBodyThatLastsUntilClose) {
  auto reception =
      receiveFrom({"HTTP/1.1 200 OK\r\n\r\nbod", ConnectionEnd::Reset, ""});
  cr_assert_not(reception.IsComplete);
}

} // namespace dotterel::test
