#include "LibGateway/FakePlatform.h"
#include "LibGateway/Gateway.h"
#include "LibNet/HttpClient.h"
#include "LibTest/ScriptedServer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fmt/format.h>
#include <optional>
#include <thread>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

constexpr auto CallerPort = 21743;
constexpr auto ReadyPort = 21744;
constexpr auto DirectoryPort = 21745;
constexpr auto PeerPort = 21746;
constexpr auto MetricsPort = 21747;
constexpr auto ScriptedPort = 21748;

auto address(int Port) -> std::string {
  return fmt::format("127.0.0.1:{}", Port);
}

auto call(int Port, HttpRequest Request) -> HttpResult {
  auto context = asio::io_context{1};
  auto result = HttpResult{};
  asio::co_spawn(context, exchange(address(Port), std::move(Request), 3s),
                 [&](std::exception_ptr const &, HttpResult Result) {
                   result = std::move(Result);
                 });
  context.run();
  return result;
}

auto status(HttpResult const &Result) -> unsigned {
  return Result.Response ? Result.Response->Status : 0;
}

auto get(int Port, std::string Path) -> HttpResult {
  return call(Port, {"GET", std::move(Path), "", {}, ""});
}

/// Sends raw bytes and returns everything received until the connection closes.
auto sendRaw(std::string const &Bytes) -> std::string {
  auto context = asio::io_context{1};
  auto socket = asio::ip::tcp::socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), CallerPort});
  asio::write(socket, asio::buffer(Bytes));
  auto response = std::string{};
  auto ec = boost::system::error_code{};
  asio::read(socket, asio::dynamic_buffer(response), ec);
  return response;
}

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

/// A gateway in front of the fake platform, ready to serve.
class RunningGateway {
public:
  explicit RunningGateway(std::string ServerAddress = {})
      : Platform(std::move(ServerAddress)) {
    auto text = fmt::format(
        R"({{"instance":"i0","failureDomain":"z1","host":"127.0.0.1",
             "callerAddress":"{}","readinessAddress":"{}",
             "directoryAddress":"{}","peerPort":{},"storeAddress":"{}",
             "metricsPort":{},"logLevel":"error"}})",
        address(CallerPort), address(ReadyPort), address(DirectoryPort),
        PeerPort, Platform.storeAddress(), MetricsPort);
    TestedGateway.emplace(GatewaySettings::parse(text), "unused");
    Thread = std::thread([this] { TestedGateway->run(); });
    for (auto n = 0; n < 200 && status(get(ReadyPort, "/-/ready")) != 200; ++n)
      std::this_thread::sleep_for(20ms);
  }

  ~RunningGateway() {
    if (Thread.joinable())
      stop();
  }

  auto stop() -> void {
    std::raise(SIGTERM);
    Thread.join();
  }

  auto request(std::string const &Route, std::vector<HttpField> Fields = {},
               std::string_view Body = "body") -> HttpResult {
    Fields.push_back({"Host", "h.example"});
    Fields.push_back({"Attempt-Id", "9c41"});
    return call(CallerPort,
                {"POST", "/" + Route + "/x?q=1", "", std::move(Fields), Body});
  }

  FakePlatform Platform;

private:
  std::optional<Gateway> TestedGateway;
  std::thread Thread;
};

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

Test(Gateway, ForwardsRequestAndResponseUnchanged) {
  auto gateway = RunningGateway();
  auto body = std::string(100000, 'b');
  auto result = gateway.request(
      "once", {{"Deadline-Ms", "1500"}, {"Kv-Hold", "forged"}}, body);
  cr_assert_eq(status(result), 200);
  cr_assert(result.Response->Body == body);
  auto fields = gateway.Platform.lastFields();
  cr_assert(fields.find("Host: h.example\n") != std::string::npos);
  cr_assert(fields.find("Expect-Instance: i-1\n") != std::string::npos);
  cr_assert(fields.find("Deadline-Ms: 1") != std::string::npos);
  cr_assert(fields.find("Kv-Hold") == std::string::npos);
}

Test(Gateway, ForwardsStreams) {
  auto gateway = RunningGateway();
  gateway.Platform.setMode(ServerMode::Stream);
  auto result = gateway.request("stream");
  cr_assert_eq(status(result), 200);
  cr_assert(result.Response->Body ==
            "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n");
}

Test(Gateway, TruncatedStreamIsNotComplete) {
  auto gateway = RunningGateway();
  gateway.Platform.setMode(ServerMode::TruncatedStream);
  auto result = gateway.request("stream");
  cr_assert_not(result.Response.has_value());
}

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

Test(Gateway, ResponseToAnotherRequestIsSkipped) {
  auto gateway = RunningGateway();
  gateway.Platform.setMode(ServerMode::StaleResponse);
  auto result = gateway.request("once");
  cr_assert_eq(status(result), 200);
  cr_assert(result.Response->Body == "right");
}

Test(Gateway, StaleResponseIsNotUsedForTheNextRequest) {
  auto gateway = RunningGateway();
  gateway.Platform.setMode(ServerMode::StaleResponse);
  for (auto n = 0; n < 5; ++n)
    cr_assert(gateway.request("once").Response->Body == "right");
}

Test(Gateway, LostResponseIsNotRetried) {
  auto gateway = RunningGateway();
  gateway.Platform.setMode(ServerMode::Close);
  auto before = gateway.Platform.served();
  cr_assert_eq(status(gateway.request("once")), 502);
  cr_assert_eq(gateway.Platform.served(), before + 1);
}

Test(Gateway, RefusalContainsRetryAfter) {
  auto gateway = RunningGateway();
  gateway.Platform.setMode(ServerMode::Refuse);
  auto response = sendRaw("POST /once/x HTTP/1.1\r\nHost: h.example\r\n"
                          "Attempt-Id: 1\r\nContent-Length: 0\r\n"
                          "Connection: close\r\n\r\n");
  cr_assert(response.starts_with("HTTP/1.1 503"));
  cr_assert(response.find("\r\nRetry-After: 0.") != std::string::npos);
  cr_assert(response.find("no-backend-available") != std::string::npos);
}

Test(Gateway, DrainingServerGetsNoMoreRequests) {
  auto gateway = RunningGateway();
  cr_assert_eq(status(gateway.request("once")), 200);
  gateway.Platform.drainServer();
  std::this_thread::sleep_for(1000ms);
  auto before = gateway.Platform.served();
  cr_assert_eq(status(gateway.request("once")), 503);
  cr_assert_eq(gateway.Platform.served(), before);
}

// The store is restored to a time at which the server was not draining yet. The
// watch from the later revision gets 410.
Test(Gateway, RestoredStoreDoesNotReviveADrainingServer) {
  auto gateway = RunningGateway();
  gateway.Platform.drainServer();
  std::this_thread::sleep_for(1000ms);
  cr_assert_eq(status(gateway.request("once")), 503);
  auto registrations = gateway.Platform.registrations();
  auto before = gateway.Platform.served();
  gateway.Platform.restoreStore();
  for (auto n = 0; n < 40; ++n) {
    cr_assert_eq(status(gateway.request("once")), 503);
    std::this_thread::sleep_for(50ms);
  }
  cr_assert_eq(gateway.Platform.served(), before);
  // The copy may lack the record of this instance.
  for (auto n = 0; n < 100 && gateway.Platform.registrations() == registrations;
       ++n)
    std::this_thread::sleep_for(50ms);
  cr_assert_gt(gateway.Platform.registrations(), registrations);
}

Test(Gateway, ServerThatSaysItLeavesGetsNoMoreRequests) {
  auto gateway = RunningGateway();
  gateway.Platform.setMode(ServerMode::Leave);
  auto result = gateway.request("once");
  cr_assert_eq(status(result), 200);
  cr_assert(result.Response->Body == "left");
  cr_assert_eq(status(gateway.request("once")), 503);
  cr_assert_eq(gateway.Platform.served(), 1);
}

Test(Gateway, PausedServerGetsNoMoreRequests) {
  auto gateway = RunningGateway();
  gateway.Platform.setMode(ServerMode::Pause);
  for (auto n = 0; n < 3; ++n)
    cr_assert_eq(status(gateway.request("once")), 503);
  cr_assert_eq(gateway.Platform.served(), 1);
}

Test(Gateway, UnknownPathsAndHostsAreNotFound) {
  auto gateway = RunningGateway();
  cr_assert_eq(status(gateway.request("other")), 404);
  cr_assert_eq(gateway.Platform.served(), 0);
}

Test(Gateway, SmuggledRequestIsRefused) {
  auto gateway = RunningGateway();
  for (auto const *framing :
       {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: -1\r\n"}) {
    auto response = sendRaw(fmt::format("POST /once/x HTTP/1.1\r\n"
                                        "Host: h.example\r\n{}\r\n"
                                        "0\r\n\r\nPOST /once/y HTTP/1.1\r\n",
                                        framing));
    cr_assert(response.starts_with("HTTP/1.1 400"), "%s gave %s", framing,
              response.c_str());
  }
  cr_assert_eq(gateway.Platform.served(), 0);
}

Test(Gateway, SteersCallersToInstances) {
  auto gateway = RunningGateway();
  auto result = HttpResult{};
  for (auto n = 0; n < 100 && status(result) != 200; ++n) {
    result = get(DirectoryPort, "/-/resolve?name=h.example&region=r&zone=z");
    std::this_thread::sleep_for(50ms);
  }
  cr_assert_eq(status(result), 200);
  cr_assert(result.Response->Body.find(address(CallerPort)) !=
            std::string::npos);
}

Test(Gateway, ServesMetrics) {
  auto gateway = RunningGateway();
  (void)gateway.request("once");
  auto result = get(MetricsPort, "/metrics");
  cr_assert_eq(status(result), 200);
  auto const &text = result.Response->Body;
  cr_assert(text.find("dotterel_relay_answers_total{result=\"completed\","
                      "route=\"once\"} 1") != std::string::npos);
  cr_assert(
      text.find("dotterel_relay_state{name=\"configuration_version\"} 3") !=
      std::string::npos);
}

Test(Gateway, StopsWhenAllRequestsAreComplete) {
  auto gateway = RunningGateway();
  auto started = std::chrono::steady_clock::now();
  gateway.stop();
  cr_assert_lt(toSeconds(std::chrono::steady_clock::now() - started), 6.0);
}

Test(GatewaySettings, RejectsMissingAndInvalidFields) {
  for (auto const *text : {"{}", "torn", R"({"instance": 5})"}) {
    auto isRefused = false;
    try {
      (void)GatewaySettings::parse(text);
    } catch (std::exception const &) {
      isRefused = true;
    }
    cr_assert(isRefused, "%s", text);
  }
}

} // namespace dotterel::test
