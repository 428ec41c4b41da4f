/// \file
/// Servers that repeat a refusal, or that answer a resumed stream with an
/// error, on every kind of route.
#include "LibGateway/KeepAliveServer.h"
#include "LibGateway/ScriptedRoutes.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

auto refusal(std::string_view IdField) -> ScriptedResponse {
  return {
      fmt::format("HTTP/1.1 503 Service Unavailable\r\n{}Not-Executed: 1\r\n"
                  "Content-Length: 0\r\n\r\n",
                  IdField),
      false, false};
}

constexpr auto IdField = std::string_view{"Attempt-Id: @ID\r\n"};

/// Checks that a request after a refusal on the same connection is neither
/// reported as not run although it ran, nor run twice.
auto assertRepeatedRefusalIsNotUsed(std::string_view RefusalId, bool RepeatsId)
    -> void {
  auto server = KeepAliveServer({address(ScriptedPort)}, {success(Bookings)});
  auto gateway = RunningGateway("", prepareRoutes({ScriptedPort}, 1));
  for (auto const *it : AllRoutes) {
    server.setResponses({refusal(RefusalId), success(it)});
    auto const id = fmt::format("{}-1", it);
    auto const refused = status(gateway.request(it, {{"Attempt-Id", id}}));
    // One without an owner may be that of a request that has run.
    cr_assert(refused == 503 || refused == 502, "%s: %u", it, refused);
    auto const next = RepeatsId ? id : fmt::format("{}-2", it);
    auto seen = 0U;
    // A server that refused is avoided for a moment.
    for (auto n = 0; n < 50 && server.runs(next) == 0; ++n) {
      std::this_thread::sleep_for(20ms);
      seen = status(gateway.request(it, {{"Attempt-Id", next}}));
    }
    cr_assert_eq(server.runs(next), 1, "%s", it);
    cr_assert_neq(seen, 503, "%s", it);
  }
}

auto streamStart(std::string_view Framing, std::string_view Body)
    -> ScriptedResponse {
  return {fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Attempt-Id: @ID\r\nServer-Seal: s\r\n{}\r\n{}",
                      Framing, Body),
          true};
}

/// Returns what a server may answer instead of going on with a stream.
auto errors() -> std::vector<std::string> {
  auto answer = [](std::string_view Status, std::string_view Type,
                   std::string_view Body) {
    return fmt::format("HTTP/1.1 {}\r\nContent-Type: {}\r\nAttempt-Id: @ID\r\n"
                       "Server-Seal: e\r\nContent-Length: {}\r\n\r\n{}",
                       Status, Type, Body.size(), Body);
  };
  auto const head =
      std::string("HTTP/1.1 500 Internal Server Error\r\nContent-Type: "
                  "text/plain\r\nContent-Length: 6\r\n\r\nFAULT\n\n");
  auto answers = std::vector<std::string>{};
  for (auto const *status :
       {"200 OK", "204 No Content", "206 Partial Content", "302 Found",
        "400 Bad Request", "404 Not Found", "409 Conflict",
        "429 Too Many Requests", "500 Internal Server Error", "502 Bad Gateway",
        "503 Service Unavailable", "504 Gateway Timeout"}) {
    for (auto const *type : {"text/plain", "application/json"})
      answers.push_back(answer(status, type, "FAULT\n\n"));
    answers.push_back(answer(status, "application/json", ""));
  }
  for (auto const *body :
       {"FAULT\n\n", "FAULT", "{\"error\":\"FAULT\"}\n\n", "error: FAULT\n\n",
        "event: error\ndata: FAULT\n\n", "data: FAULT\n\n"})
    answers.push_back(answer("200 OK", "text/event-stream", body));
  answers.push_back(answer("200 OK", "text/event-stream", head));
  answers.push_back(answer("200 OK", "text/event-stream", "id: 2\ndat" + head));
  return answers;
}

/// Checks that a caller whose stream begins with \p Start sees neither the end
/// of its stream nor any bytes of an error.
auto assertErrorIsNoPartOf(ScriptedResponse const &Start) -> void {
  auto server = KeepAliveServer(
      {address(ScriptedPort), address(SecondScriptedPort)}, {Start});
  auto gateway =
      RunningGateway("", prepareRoutes({ScriptedPort, SecondScriptedPort}));
  for (auto const *it : {Streams, ResumableStreams}) {
    for (auto const &error : errors()) {
      server.setResponses({Start, {error}});
      auto const result = gateway.request(it, {{"Attempt-Id", "r1"}});
      cr_assert_not(result.Response.has_value(), "%s: %s: %u %s", it,
                    error.c_str(), status(result),
                    result.Response->Body.c_str());
      cr_assert_eq(server.requests(), it == Streams ? 1 : 2, "%s: %s", it,
                   error.c_str());
    }
  }
}

} // namespace

Test(FaultyServers, RepeatedRefusalOfAnotherRequestIsNotUsed) {
  assertRepeatedRefusalIsNotUsed(IdField, false);
}

Test(FaultyServers, RepeatedRefusalWithoutAnIdIsNotUsed) {
  assertRepeatedRefusalIsNotUsed("", false);
}

// The instance repeats the request at the same server, the only one.
Test(FaultyServers, RepeatedRefusalOfARetriedRequestIsNotUsed) {
  auto server = KeepAliveServer({address(ScriptedPort)}, {success(Bookings)});
  auto gateway = RunningGateway("", prepareRoutes({ScriptedPort}));
  for (auto const *it : AllRoutes) {
    server.setResponses({refusal(IdField), success(it)});
    auto const seen = status(gateway.request(it, {{"Attempt-Id", it}}));
    cr_assert_eq(server.runs(it), 1, "%s", it);
    cr_assert_eq(seen, 200, "%s: %u", it, seen);
  }
}

// A caller that repeats a request with its id.
Test(FaultyServers, RepeatedRefusalOfTheSameIdIsNotUsed) {
  assertRepeatedRefusalIsNotUsed(IdField, true);
}

// Regression tests: a stream has begun and breaks off; the next server answers
// with an error.
Test(FaultyServers, ErrorAfterAChunkedStreamIsNoPartOfIt) {
  auto const event = std::string("id: 1\ndata: 1\n\n");
  assertErrorIsNoPartOf(
      streamStart("Transfer-Encoding: chunked\r\n",
                  fmt::format("{:x}\r\n{}\r\n", event.size(), event)));
}

Test(FaultyServers, ErrorAfterAStreamWithALengthIsNoPartOfIt) {
  assertErrorIsNoPartOf(
      streamStart("Content-Length: 100\r\n", "id: 1\ndata: 1\n\n"));
}

Test(FaultyServers, ErrorAfterAnUnframedStreamIsNoPartOfIt) {
  assertErrorIsNoPartOf(streamStart("", "id: 1\ndata: 1\n\nid: 2\nda"));
}

// The whole head of an error inside the body of a stream.
Test(FaultyServers, ErrorInsideAStreamIsNoEvent) {
  for (auto const *it : {Streams, ResumableStreams}) {
    auto const response = streamStart(
        "", "id: 1\ndata: 1\n\nHTTP/1.1 500 Internal Server Error\r\n"
            "Content-Type: text/plain\r\n\r\nFAULT\n\n");
    auto server = KeepAliveServer({address(ScriptedPort)}, {response});
    auto gateway = RunningGateway("", prepareRoutes({ScriptedPort}));
    cr_assert_not(gateway.request(it, {{"Attempt-Id", "r1"}}).Response);
  }
}

Test(FaultyServers, StreamWhoseIdsBeginWithZeroIsComplete) {
  auto const events = std::string("id: 0\ndata: 0\n\nid: 1\ndata: 1\n\n");
  auto server =
      KeepAliveServer({address(ScriptedPort)}, {streamStart("", events)});
  auto gateway = RunningGateway("", prepareRoutes({ScriptedPort}));
  for (auto const *it : {Streams, ResumableStreams}) {
    auto const result = gateway.request(it, {{"Attempt-Id", it}});
    cr_assert_eq(status(result), 200);
    cr_assert(result.Response->Body == events);
  }
}

} // namespace dotterel::test
