#include "LibGateway/RunningGateway.h"
#include "LibTest/ScriptedServer.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

/// The header section of a stream that has neither a length nor chunks.
auto streamHeader() -> std::string {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Attempt-Id: 9c41\r\nServer-Seal: s\r\n\r\n";
}

/// A complete response that streams \p Events, in two chunks if chunked.
auto framedStream(std::string const &Events, BodyFraming Framing)
    -> std::string {
  auto header = streamHeader();
  header.resize(header.size() - 2);
  auto half = Events.size() / 2;
  switch (Framing) {
  case BodyFraming::Length:
    return fmt::format("{}Content-Length: {}\r\n\r\n{}", header, Events.size(),
                       Events);
  case BodyFraming::Chunked:
    return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n"
                       "{:x}\r\n{}\r\n0\r\n\r\n",
                       header, half, Events.substr(0, half),
                       Events.size() - half, Events.substr(half));
  case BodyFraming::UntilClose:
    return header + "\r\n" + Events;
  }
  return {};
}

/// Upper bound on the bytes taken from a server that never stops sending,
/// including the socket buffers of all connections on the way.
constexpr auto MaximumBytesTaken = std::size_t{32} << 20U;

template <typename Predicate> auto waitUntil(Predicate IsMet) -> void {
  for (auto n = 0; n < 150 && !IsMet(); ++n)
    std::this_thread::sleep_for(20ms);
}

/// Checks that a request to a server that plays \p Steps and never stops
/// sending fails well before its deadline of two seconds, and that the server's
/// connection is closed.
auto assertGivenUp(std::string const &Route, Script Steps) -> void {
  auto server = ScriptedServer(address(ScriptedPort), std::move(Steps));
  auto gateway = RunningGateway(address(ScriptedPort));
  auto started = std::chrono::steady_clock::now();
  auto result = gateway.request(Route);
  auto taken = std::chrono::steady_clock::now() - started;
  cr_assert(!result.Response || status(result) == 502);
  cr_assert_lt(toSeconds(taken), 1.0);
  waitUntil([&] { return server.connectionsEnded() > 0; });
  cr_assert_eq(server.connectionsEnded(), 1);
  cr_assert_lt(server.bytesSent(), MaximumBytesTaken);
}

} // namespace

Test(Gateway, UnframedStreamThatEndsInsideAnEventIsNotComplete) {
  for (auto end : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
    auto server =
        ScriptedServer(address(ScriptedPort),
                       {streamHeader() + "id: 1\ndata: 1\n\nid: 2\ndat", end});
    auto gateway = RunningGateway(address(ScriptedPort));
    auto result = gateway.request("stream");
    cr_assert_eq(server.requests(), 1);
    cr_assert_not(result.Response.has_value());
  }
}

// Breaks off a stream after each of its bytes. Only a stream that ends in order
// after a whole event may reach the caller as complete.
Test(Gateway, StreamBrokenOffAtAnyByteIsNotComplete) {
  auto const events = std::string{"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"};
  auto server = ScriptedServer(address(ScriptedPort), {});
  auto gateway = RunningGateway(address(ScriptedPort));
  auto sent = 0U;
  for (auto framing :
       {BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose}) {
    auto response = framedStream(events, framing);
    auto bodyStart = response.find("\r\n\r\n") + 4;
    for (auto cut = bodyStart; cut <= response.size(); ++cut) {
      for (auto end : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
        server.setScript({response.substr(0, cut), end});
        auto result = gateway.request("stream");
        auto isComplete = status(result) == 200;
        cr_assert_eq(server.requests(), ++sent);
        if (framing == BodyFraming::UntilClose) {
          // Between two events nothing tells a failure from the end.
          auto body =
              std::string_view(response).substr(bodyStart, cut - bodyStart);
          cr_assert_eq(isComplete,
                       end == ConnectionEnd::Close && body.ends_with("\n\n"));
          cr_assert(!isComplete || result.Response->Body == body);
        } else {
          // A reset may overtake the end of a complete response.
          cr_assert(!isComplete || cut == response.size());
          cr_assert(isComplete || cut < response.size() ||
                    end == ConnectionEnd::Reset);
          cr_assert(!isComplete || result.Response->Body == events);
        }
      }
    }
  }
}

Test(Gateway, UnframedStreamIsForwarded) {
  auto const *events = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
  auto server =
      ScriptedServer(address(ScriptedPort), {streamHeader() + events});
  auto gateway = RunningGateway(address(ScriptedPort));
  auto result = gateway.request("stream");
  cr_assert_eq(status(result), 200);
  cr_assert(result.Response->Body == events);
}

Test(Gateway, EndlessHeaderIsGivenUpAtOnce) {
  assertGivenUp("once", {"HTTP/1.1 200 OK\r\n", ConnectionEnd::Repeat,
                         "X-Field: value\r\n"});
  assertGivenUp("once", {"", ConnectionEnd::Repeat, "no response"});
}

Test(Gateway, EndlessInterimResponsesAreGivenUpAtOnce) {
  assertGivenUp("once",
                {"", ConnectionEnd::Repeat, "HTTP/1.1 100 Continue\r\n\r\n"});
}

Test(Gateway, EndlessResponsesToOtherRequestsAreGivenUpAtOnce) {
  assertGivenUp("once", {"", ConnectionEnd::Repeat,
                         "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\n"
                         "Content-Length: 0\r\n\r\n"});
  assertGivenUp("once", {"HTTP/1.1 200 OK\r\nAttempt-Id: another\r\n\r\n",
                         ConnectionEnd::Repeat, std::string(4096, 'x')});
}

Test(Gateway, EndlessBodyIsGivenUpAtOnce) {
  assertGivenUp(
      "once", {streamHeader(), ConnectionEnd::Repeat, std::string(4096, 'x')});
}

Test(Gateway, EndlessEventIsGivenUpAtOnce) {
  auto lines = std::string{};
  for (auto n = 0; n < 2048; ++n)
    lines += "x\n";
  for (auto const &repeated : {std::string(4096, 'x'), lines}) {
    assertGivenUp("stream", {streamHeader(), ConnectionEnd::Repeat, repeated});
    assertGivenUp("stream", {streamHeader() + "id: 1\ndata: 1\n\n",
                             ConnectionEnd::Repeat, repeated});
  }
}

// The events must not pile up in the memory of the instance.
Test(Gateway, EndlessEventsToACallerThatDoesNotReadAreGivenUp) {
  auto event = "data: " + std::string(4096, 'x') + "\n\n";
  auto server = ScriptedServer(address(ScriptedPort),
                               {streamHeader(), ConnectionEnd::Repeat, event});
  auto gateway = RunningGateway(address(ScriptedPort));
  auto context = asio::io_context{1};
  auto caller = asio::ip::tcp::socket(context);
  caller.connect({asio::ip::make_address("127.0.0.1"), CallerPort});
  asio::write(caller,
              asio::buffer(std::string("POST /stream/x HTTP/1.1\r\n"
                                       "Host: h.example\r\nAttempt-Id: 9c41\r\n"
                                       "Content-Length: 0\r\n\r\n")));
  waitUntil([&] { return server.connectionsEnded() > 0; });
  cr_assert_eq(server.connectionsEnded(), 1);
  cr_assert_lt(server.bytesSent(), MaximumBytesTaken);
}

} // namespace dotterel::test
