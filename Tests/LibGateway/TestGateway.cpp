#include "LibGateway/RunningGateway.h"
#include "LibTest/ScriptedServer.h"

#include "LibRelay/PermitMessage.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <thread>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

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

Test(Gateway, ServerThatNamesALimitGetsNoMoreThanThat) {
  auto gateway = RunningGateway();
  gateway.Platform.setMode(ServerMode::Limit);
  // The instance learns that it has no peers.
  std::this_thread::sleep_for(2s);
  cr_assert_eq(status(gateway.request("once")), 200);
  auto before = gateway.Platform.served();
  auto refused = HttpResult{};
  auto const start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < 4s) {
    auto result = gateway.request("once");
    if (status(result) != 200)
      refused = result;
  }
  auto served = gateway.Platform.served() - before;
  constexpr auto Allowed = 1.5 * 2 * 4 + 5;
  cr_assert(served >= 6 && served <= Allowed, "%u", served);
  cr_assert_eq(status(refused), 503);
  gateway.Platform.setMode(ServerMode::Echo);
  std::this_thread::sleep_for(1s);
  for (auto n = 0; n < 20; ++n)
    cr_assert_eq(status(gateway.request("once")), 200);
}

Test(Gateway, AnswersAPeerThatAsksForAPermit) {
  auto gateway = RunningGateway();
  std::this_thread::sleep_for(2s);
  auto context = asio::io_context{1};
  auto socket =
      asio::ip::udp::socket(context, {asio::ip::make_address("127.0.0.1"), 0});
  auto ask = [&](std::uint32_t Number) {
    auto bytes = relay::encodePermitMessage(
        relay::PermitRequest{77, {5, Number}, 9, 100, 1ms});
    socket.send_to(asio::buffer(bytes),
                   {asio::ip::make_address("127.0.0.1"), PeerPort});
    auto buf = std::array<char, 200>{};
    auto n = socket.receive(asio::buffer(buf));
    return std::get<relay::PermitResponse>(
        *relay::decodePermitMessage({buf.data(), n}));
  };
  auto first = ask(1);
  cr_assert(first.Server == 77 && first.Attempt.Number == 1 &&
            first.Incarnation == 9);
  cr_assert_not(first.IsGranted);
  std::this_thread::sleep_for(first.Wait + 1ms);
  cr_assert(ask(2).IsGranted);
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

// Regression test: the process ended at its start if another one had the port
// of the metrics.
Test(Gateway, ServesCallersIfThePortOfTheMetricsIsTaken) {
  auto const other = ScriptedServer(address(MetricsPort), {"taken"});
  auto gateway = RunningGateway();
  cr_assert_eq(status(gateway.request("once")), 200);
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
