#include "LibNet/HttpClient.h"
#include "LibNet/Task.h"
#include "LibTest/ScriptedServer.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

constexpr auto ServerAddress = std::string_view{"127.0.0.1:21751"};
/// Larger than what the sockets of both sides keep while a server does not
/// read.
constexpr auto UploadBytes = std::size_t{16} << 20U;
/// Above the time after which the system gives up a connection that stalls.
constexpr auto UploadTimeout = Duration{20s};

/// What a client sees of one response.
struct Reception {
  unsigned Status = 0;
  BodyFraming Framing = BodyFraming::Length;
  std::string Body;
  bool IsComplete = false;
  bool IsReusable = false;
};

auto receive(Reception &Output, std::string_view Body = {}) -> Awaitable<void> {
  auto connection = HttpConnection(co_await asio::this_coro::executor);
  if (!co_await connection.connect(ServerAddress, 1s))
    co_return;
  (void)co_await connection.send(
      {Body.empty() ? "GET" : "POST", "/", "", {}, Body}, UploadTimeout);
  Output.Status = co_await connection.readHeader(1s);
  if (Output.Status == 0)
    co_return;
  Output.Framing = connection.framing();
  while (co_await connection.readSome(Output.Body, 1s)) {
  }
  Output.IsComplete = connection.isComplete();
  Output.IsReusable = Output.IsComplete && connection.isReusable();
}

auto receiveFrom(Script Steps, std::string_view Body = {}) -> Reception {
  auto server = ScriptedServer(ServerAddress, std::move(Steps));
  auto context = asio::io_context{1};
  auto reception = Reception{};
  spawnTask(context, "reception", [&] { return receive(reception, Body); });
  context.run();
  return reception;
}

/// Returns what a client sees that is still uploading when the response ends.
auto receiveDuringUpload(std::string Response, ConnectionEnd End) -> Reception {
  static auto const body = std::string(UploadBytes, 'u');
  return receiveFrom({std::move(Response), End, "", true}, body);
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

// Regression test: the reset failed the upload, and what had arrived of the
// body looked complete.
Test(HttpClient, ResetDuringTheUploadEndsNoBodyThatLastsUntilClose) {
  for (auto const *version : {"1.0", "1.1"}) {
    for (auto const &body :
         {std::string{}, std::string("part"), std::string(100000, 'p'),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")}) {
      auto const reception = receiveDuringUpload(
          fmt::format("HTTP/{} 200 OK\r\n\r\n{}", version, body),
          ConnectionEnd::Reset);
      cr_expect_not(reception.IsComplete, "%s: %zu bytes", version,
                    body.size());
    }
  }
}

Test(HttpClient, ResetDuringTheUploadLeavesFramedBodiesAsTheyAre) {
  for (auto const *head : {"Content-Length: 4\r\n\r\n",
                           "Transfer-Encoding: chunked\r\n\r\n4\r\n"}) {
    auto const isChunked = std::string_view(head).starts_with("Transfer");
    auto const part = fmt::format("HTTP/1.1 200 OK\r\n{}bod", head);
    cr_expect_not(receiveDuringUpload(part, ConnectionEnd::Reset).IsComplete);
    auto const whole = part + (isChunked ? "y\r\n0\r\n\r\n" : "y");
    auto const reception = receiveDuringUpload(whole, ConnectionEnd::Reset);
    cr_expect(reception.IsComplete, "%s", head);
    cr_expect(reception.Body == "body", "%s", head);
  }
}

// The system gives up the connection, which fails the upload.
Test(HttpClient, StalledUploadEndsNoBodyThatLastsUntilClose) {
  auto const reception =
      receiveDuringUpload("HTTP/1.1 200 OK\r\n\r\npart", ConnectionEnd::Stall);
  cr_assert_not(reception.IsComplete);
}

// A server need not read a request that it has responded to.
Test(HttpClient, OrderlyEndDuringTheUploadCompletesTheResponse) {
  auto const reception = receiveDuringUpload("HTTP/1.1 200 OK\r\n\r\nbody",
                                             ConnectionEnd::HalfCloseThenReset);
  cr_assert(reception.IsComplete);
  cr_assert(reception.Body == "body");
}

// Regression test: a server whose chunks or trailers never ended filled the
// memory.
Test(HttpClient, EndlessHeadIsNotKept) {
  constexpr auto MaximumBytes = std::size_t{16} << 20U;
  for (auto const *it :
       {"HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\nA: b\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: "}) {
    auto server = ScriptedServer(
        ServerAddress, {it, ConnectionEnd::Repeat, std::string(1000, 'b')});
    auto context = asio::io_context{1};
    auto reception = Reception{};
    auto bytes = std::size_t{0};
    spawnTask(context, "reception", [&] { return receive(reception); });
    spawnTask(context, "watch", [&]() -> Awaitable<void> {
      for (auto n = 0; n < 100 && server.connectionsEnded() == 0; ++n)
        co_await sleepFor(10ms);
      bytes = server.bytesSent();
      context.stop();
    });
    context.run();
    cr_expect_not(reception.IsComplete, "%s", it);
    cr_expect_lt(bytes, MaximumBytes, "%s: %zu bytes", it, bytes);
  }
}

// A server that fails within the head of its response.
Test(HttpClient, HeadThatStopsShortIsNoResponse) {
  auto const head =
      std::string("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                  "Content-Length: 0\r\n\r\n");
  for (auto end : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
    for (auto n = std::size_t{0}; n < head.size(); ++n) {
      auto const reception = receiveFrom({head.substr(0, n), end, ""});
      cr_expect_eq(reception.Status, 0U, "%zu bytes", n);
      cr_expect_not(reception.IsComplete, "%zu bytes", n);
    }
  }
}

// Regression test: a status below 100 was skipped like an interim response, and
// its body was read as the response.
Test(HttpClient, InvalidStatusIsNoResponse) {
  auto const inner =
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nFAULT");
  for (auto const *status :
       {"000", "001", "007", "042", "099", "600", "700", "999"}) {
    for (auto const &body : {std::string{}, std::string("FAULT"), inner}) {
      for (auto const &rest :
           {fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body),
            fmt::format("Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
                        body.empty()
                            ? ""
                            : fmt::format("{:x}\r\n{}\r\n", body.size(), body)),
            "\r\n" + body}) {
        for (auto const *interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
          auto const response =
              fmt::format("{}HTTP/1.1 {} Status\r\n{}", interim, status, rest);
          auto const reception = receiveFrom({response});
          cr_expect_eq(reception.Status, 0U, "%s", response.c_str());
          cr_expect_not(reception.IsComplete, "%s", response.c_str());
        }
      }
    }
  }
}

// Regression test: what followed was read as the response.
Test(HttpClient, SwitchOfProtocolsIsNoInterimResponse) {
  auto const next =
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nFAULT");
  for (auto const *fields : {"", "Connection: upgrade\r\nUpgrade: other\r\n"}) {
    auto const reception = receiveFrom({fmt::format(
        "HTTP/1.1 101 Switching Protocols\r\n{}\r\n{}", fields, next)});
    cr_expect_eq(reception.Status, 0U, "%s", fields);
    cr_expect_not(reception.IsComplete, "%s", fields);
  }
}

Test(HttpClient, InterimResponsesAreSkipped) {
  for (auto const *status : {"100", "102", "103", "199"}) {
    auto const reception = receiveFrom(
        {fmt::format("HTTP/1.1 {} Interim\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n"
                     "Content-Length: 4\r\n\r\nbody",
                     status)});
    cr_expect_eq(reception.Status, 200U, "%s", status);
    cr_expect(reception.Body == "body", "%s", status);
  }
}

// Regression test: a line that begins with a blank was appended to the value
// before it, so that its length or coding did not count.
Test(HttpClient, BlankOrControlByteInAFieldNameIsNoResponse) {
  auto bytes = std::string("\x7f");
  for (auto n = 0; n <= ' '; ++n)
    bytes += static_cast<char>(n);
  for (auto const &field :
       {std::string("X-Field: v"), std::string("Content-Length: 4"),
        std::string("Transfer-Encoding: chunked")}) {
    for (auto byte : bytes) {
      for (auto at :
           {std::size_t{0}, std::size_t{1}, field.find('-'), field.find(':')}) {
        auto line = field;
        line.insert(at, 1, byte);
        for (auto const &head :
             {line + "\r\nA: b\r\n", "A: b\r\n" + line + "\r\n",
              "A: b\r\n" + line + "\r\nContent-Length: 4\r\n"}) {
          auto const reception =
              receiveFrom({fmt::format("HTTP/1.1 200 OK\r\n{}\r\nbody", head)});
          cr_expect_eq(reception.Status, 0U, "byte %d at %zu: %s", byte, at,
                       head.c_str());
        }
      }
    }
  }
}

// The end of a line is known only once the next byte has arrived.
Test(HttpClient, HeadInPacketsOfOneByteIsReadAlike) {
  auto receiveSplit = [](std::string_view Head) {
    return receiveFrom({fmt::format("{}\r\n\r\nbody", Head),
                        ConnectionEnd::Close, "", false, true});
  };
  for (auto const *head :
       {"HTTP/1.1 200 OK\r\nA: b\r\n X-Field: v",
        "HTTP/1.1 200 OK\r\nA: b\r\n\tContent-Length: 2",
        "HTTP/1.1 200 OK\r\nX Field: v", "HTTP/1.1 200 OK\r\nX-Field : v",
        "HTTP/1.1 000 Status\r\nContent-Length: 4",
        "HTTP/1.1 101 Switching Protocols\r\nA: b"})
    cr_expect_eq(receiveSplit(head).Status, 0U, "%s", head);
  auto const reception =
      receiveSplit("HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 4");
  cr_assert_eq(reception.Status, 200U);
  cr_assert(reception.IsComplete);
  cr_assert(reception.Body == "body");
}

Test(HttpClient, BlanksOutsideOfFieldNamesAreAllowed) {
  auto const reception =
      receiveFrom({"HTTP/1.1 200 OK\r\nA:  b c\t \r\nContent-Length: 7\r\n"
                   "\r\n \n x\n\ty"});
  cr_assert_eq(reception.Status, 200U);
  cr_assert(reception.IsComplete);
  cr_assert(reception.Body == " \n x\n\ty");
}

// Fields of trailers are not passed on, and tell nothing about the body.
Test(HttpClient, BlankOrControlByteInATrailerChangesNoBody) {
  for (auto const *line :
       {" X-Field: v", "\tX-Field: v", "X Field: v", "X-Field : v",
        "X\x01-Field: v", " Content-Length: 2", "Content-Length : 2"}) {
    for (auto const *before : {"", "A: b\r\n"}) {
      auto const reception = receiveFrom(
          {fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "4\r\nbody\r\n0\r\n{}{}\r\n\r\n",
                       before, line)});
      cr_expect_eq(reception.Status, 200U, "%s", line);
      cr_expect(reception.Body == "body", "%s", line);
    }
  }
}

} // namespace dotterel::test
