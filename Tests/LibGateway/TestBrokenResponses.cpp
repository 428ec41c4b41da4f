/// \file
/// Responses that are broken, on every kind of route, in every framing, and on
/// new and kept connections: none may reach a caller as a complete response.
#include "LibGateway/ScriptedRoutes.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

/// As long as its placeholder, so that bodies with it keep their length.
constexpr auto RequestId = "r-1";
/// Larger than what the sockets of both sides keep while a server does not
/// read.
constexpr auto UploadBytes = std::size_t{16} << 20U;
/// Above the size up to which bodies are read before they are forwarded.
constexpr auto LargeBodyBytes = std::size_t{200000};

auto upload() -> std::string const & {
  static auto const body = std::string(UploadBytes, 'u');
  return body;
}

/// Returns the bodies of which a server sends a part: none, small and large
/// ones, and one that reads like a response.
auto partialBodies(std::string_view Route) -> std::vector<std::string> {
  auto const start = std::string(successBody(Route));
  auto large = start;
  while (large.size() < LargeBodyBytes)
    large += isStream(Route) ? fmt::format("data: {}\n\n", large.size())
                             : std::string(1000, 'l');
  return {"", start, large,
          start + "HTTP/1.1 200 OK\r\nAttempt-Id: @ID\r\nServer-Seal: s\r\n"
                  "Content-Length: 4\r\n\r\ndone"};
}

/// Waits until the gateway applies the limits of the configuration.
auto waitForUploads(RunningGateway &Gateway) -> void {
  for (auto n = 0; n < 100; ++n) {
    if (status(Gateway.request(Bookings, {}, upload())) == 200)
      return;
    std::this_thread::sleep_for(20ms);
  }
  cr_assert_fail("uploads are refused");
}

/// Sends a request with \p Body to a server that plays \p Response, on a kept
/// connection if \p IsKept. Returns its result.
auto requestFrom(RunningGateway &Gateway, KeepAliveServer &Server,
                 std::string_view Route, ScriptedResponse Response, bool IsKept,
                 std::string_view Body = "body") -> HttpResult {
  auto const route = std::string(Route);
  if (IsKept) {
    Server.setResponses({success(Route)});
    (void)Gateway.request(route, {{"Attempt-Id", "earlier"}});
  }
  Server.setResponses({std::move(Response)});
  auto result = Gateway.request(route, {{"Attempt-Id", RequestId}}, Body);
  cr_assert_geq(Server.requests(), 1U, "%s", route.c_str());
  return result;
}

/// Returns a body that reads like a successful response to the same request.
auto successAsBody(std::string_view Route) -> std::string {
  auto const body = successBody(Route);
  return fmt::format("{}Content-Length: {}\r\n\r\n{}", successHead(Route),
                     body.size(), body);
}

/// Returns the responses that begin with \p Head and have \p Body, one in each
/// framing.
auto inEachFraming(std::string_view Head, std::string_view Body)
    -> std::vector<ScriptedResponse> {
  auto const chunk =
      Body.empty() ? "" : fmt::format("{:x}\r\n{}\r\n", Body.size(), Body);
  return {
      {fmt::format("{}Content-Length: {}\r\n\r\n{}", Head, Body.size(), Body)},
      {fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n", Head,
                   chunk)},
      {fmt::format("{}\r\n{}", Head, Body), true}};
}

/// Checks that no response to a request on \p Route that begins with \p Head
/// reaches the caller, whatever its body and framing.
auto assertNotForwarded(RunningGateway &Gateway, KeepAliveServer &Server,
                        std::string_view Route, std::string_view Head) -> void {
  for (auto const &body :
       {std::string{}, std::string("FAULT"), successAsBody(Route)}) {
    for (auto const &response : inEachFraming(Head, body)) {
      for (auto isKept : {false, true}) {
        auto const result =
            requestFrom(Gateway, Server, Route, response, isKept);
        // The instance answers with 502 unless the header was sent before.
        cr_expect(!result.Response || status(result) == 502, "%u, kept %d: %s",
                  status(result), isKept, response.Text.c_str());
      }
    }
  }
}

} // namespace

// Regression test: what had arrived of the body reached the caller as a
// complete response.
Test(BrokenResponses, ResetDuringTheUploadEndsNoUnframedResponse) {
  auto server = KeepAliveServer({address(ScriptedPort)}, {success(Bookings)});
  auto gateway = RunningGateway("", prepareRoutes({ScriptedPort}));
  waitForUploads(gateway);
  for (auto const *route : AllRoutes) {
    for (auto const *version : {"HTTP/1.0 200 OK", "HTTP/1.1 200 OK"}) {
      for (auto const &body : partialBodies(route)) {
        for (auto isKept : {false, true}) {
          auto const result = requestFrom(
              gateway, server, route,
              {successHead(route, version) + "\r\n" + body, false, true, true},
              isKept, upload());
          cr_expect_neq(status(result), 200, "%s: %s: %zu bytes, kept %d",
                        route, version, body.size(), isKept);
        }
      }
    }
  }
}

// A reset may also overtake the end of a complete response.
Test(BrokenResponses, ResetDuringTheUploadEndsNoFramedResponse) {
  auto server = KeepAliveServer({address(ScriptedPort)}, {success(Bookings)});
  auto gateway = RunningGateway("", prepareRoutes({ScriptedPort}));
  waitForUploads(gateway);
  for (auto const *route : AllRoutes) {
    for (auto const &body : partialBodies(route)) {
      for (auto const &response :
           {fmt::format("{}Content-Length: {}\r\n\r\n{}", successHead(route),
                        body.size() + 1, body),
            fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}",
                        successHead(route), body.size() + 1, body)}) {
        for (auto isKept : {false, true}) {
          auto const result =
              requestFrom(gateway, server, route, {response, false, true, true},
                          isKept, upload());
          cr_expect_neq(status(result), 200, "%s: %s", route, response.c_str());
        }
      }
    }
  }
}

// Regression test: the body of such a response was read as the response.
Test(BrokenResponses, InvalidStatusIsNotForwarded) {
  auto server = KeepAliveServer({address(ScriptedPort)}, {success(Bookings)});
  auto gateway = RunningGateway("", prepareRoutes({ScriptedPort}));
  for (auto const *route : AllRoutes) {
    for (auto const *status : {"000", "042", "099", "600", "999"})
      assertNotForwarded(
          gateway, server, route,
          successHead(route, fmt::format("HTTP/1.1 {} Status", status)));
  }
}

// Regression test: no request asks for another protocol, and what followed was
// read as the response.
Test(BrokenResponses, SwitchOfProtocolsIsNotForwarded) {
  auto server = KeepAliveServer({address(ScriptedPort)}, {success(Bookings)});
  auto gateway = RunningGateway("", prepareRoutes({ScriptedPort}));
  for (auto const *route : AllRoutes)
    assertNotForwarded(gateway, server, route,
                       successHead(route, "HTTP/1.1 101 Switching Protocols"));
}

// Regression test: a line that begins with a blank was appended to the value
// before it and passed on, and the length or coding in it did not count.
Test(BrokenResponses, BlankOrControlByteInAFieldNameIsNotForwarded) {
  auto server = KeepAliveServer({address(ScriptedPort)}, {success(Bookings)});
  auto gateway = RunningGateway("", prepareRoutes({ScriptedPort}));
  for (auto const *route : AllRoutes) {
    for (auto const *line :
         {" X-Field: v", "\tX-Field: v", " \t", " Content-Length: 2",
          "\tTransfer-Encoding: chunked", "X Field: v", "X-Field : v",
          "X-Field\t: v", "X\x01-Field: v", "\x7fX-Field: v",
          "Content-Length : 2", "Transfer-Encoding : chunked"})
      assertNotForwarded(gateway, server, route,
                         fmt::format("{}{}\r\n", successHead(route), line));
  }
}

} // namespace dotterel::test
