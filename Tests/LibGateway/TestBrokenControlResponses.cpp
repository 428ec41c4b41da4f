/// \file
/// Broken responses to calls whose responses are not forwarded: to the store,
/// for reports and orders, and to prefills. None may be used.
#include "LibGateway/ScriptedRoutes.h"
#include "LibGateway/ServerClient.h"
#include "LibGateway/StoreClient.h"

#include "LibCore/BootClock.h"
#include "LibTest/ScriptedServer.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

constexpr auto Page = std::string_view{
    R"({"as_of":5,"items":[{"metadata":{"name":"i-9","revision":4},)"
    R"("spec":{}}],"more_pages":false})"};
constexpr auto Report = std::string_view{
    R"({"stage":"decode","models":[],"busy":false,"seq":2,"queued":1})"};
constexpr auto Prefill =
    std::string_view{R"({"kv_handle":"3fa0","tokens":20000,"version":1})"};

auto response(std::string_view Head, std::string_view Body) -> std::string {
  return fmt::format("{}Content-Type: application/json\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     Head, Body.size(), Body);
}

auto valid(std::string_view Body) -> std::string {
  return response("HTTP/1.1 200 OK\r\n", Body);
}

/// Returns broken responses whose body is \p Body, or reads like a valid
/// response with it.
auto broken(std::string_view Body) -> std::vector<std::string> {
  auto const inner = valid(Body);
  return {response("HTTP/1.1 000 Status\r\n", inner),
          response("HTTP/1.1 101 Switching Protocols\r\n", inner),
          response("HTTP/1.1 999 Status\r\n", Body),
          response("HTTP/1.1 200 OK\r\nA: b\r\n X-Field: v\r\n", Body),
          response("HTTP/1.1 200 OK\r\nX Field: v\r\n", Body)};
}

/// A loop that carries out no effects.
auto makeLoop() -> RelayLoop {
  auto loop =
      RelayLoop(relay::makeState({}, {}, std::chrono::steady_clock::now()));
  loop.setEffectHandler([](relay::Effect &) {});
  return loop;
}

/// Returns whether a store that sends \p Response lists its objects.
auto lists(std::string const &Response) -> bool {
  auto server = ScriptedServer(address(ScriptedPort), {Response});
  auto context = asio::io_context{1};
  auto loop = makeLoop();
  auto client = StoreClient(context, address(ScriptedPort), loop);
  auto objects = std::vector<platform::StoredObject>{};
  auto version = std::optional<relay::StoreVersion>{};
  spawnTask(context, "list", [&]() -> Awaitable<void> {
    version = co_await client.list("servers", objects);
    client.close();
  });
  context.run();
  cr_expect_eq(version.has_value(), !objects.empty(), "%s", Response.c_str());
  return version.has_value();
}

/// Returns whether a server that sends \p Response to a request for its report
/// gets an order.
auto isOrdered(std::string const &Response) -> bool {
  auto server =
      KeepAliveServer({address(ScriptedPort)}, {{Response}, {valid("{}")}});
  auto context = asio::io_context{1};
  auto loop = makeLoop();
  auto client = ServerClient(context, loop, {});
  client.run(relay::SendOrder{"i-1", address(ScriptedPort),
                              relay::EngineStage::Prefill, "i0", 1,
                              bootTime() + 10s});
  context.run();
  cr_expect_geq(server.requests(), 1U);
  return server.requests() == 2;
}

/// Puts an engine for each stage, in the order prefill, decode.
auto prepareStages(FakePlatform &Platform) -> void {
  prepareRoutes({}, 2,
                R"(,"engine":{"slots":64,"kv_tokens":500000,)"
                R"("kv_token_bytes":1000,"link_mbps":1000})")(Platform);
  auto port = ScriptedPort;
  for (auto const *stage : {"prefill", "decode"}) {
    auto const name = fmt::format("i-{}", port - ScriptedPort + 1);
    Platform.putObject(
        "servers", name,
        objectText(name,
                   fmt::format(R"({{"service":"s1","address":"{}","zone":"z1",)"
                               R"("slots":6,"state":"ready","born":1000,)"
                               R"("stage":"{}"}})",
                               address(port++), stage)));
  }
}

/// Returns whether the handle is used of an engine that sends \p Response to a
/// prefill.
auto isPrefilled(std::string const &Response) -> bool {
  auto prefill = KeepAliveServer({address(ScriptedPort)}, {{Response}});
  auto decode =
      KeepAliveServer({address(SecondScriptedPort)}, {success(Streams)});
  auto gateway = RunningGateway("", prepareStages);
  (void)gateway.request(Streams, {{"Attempt-Id", "r-1"},
                                  {"Token-Counts", "20000,10"},
                                  {"Prompt-Prefix", "5c1e:20000"}});
  cr_expect_geq(prefill.requests(), 1U, "%s", Response.c_str());
  return decode.lastHeader().find("/3fa0\r\n") != std::string::npos;
}

} // namespace

Test(BrokenControlResponses, StoreListsNothing) {
  cr_assert(lists(valid(Page)));
  for (auto const &it : broken(Page))
    cr_expect_not(lists(it), "%s", it.c_str());
}

Test(BrokenControlResponses, ReportsLeadToNoOrder) {
  cr_assert(isOrdered(valid(Report)));
  for (auto const &it : broken(Report))
    cr_expect_not(isOrdered(it), "%s", it.c_str());
}

Test(BrokenControlResponses, PrefillsGiveNoHandle) {
  cr_assert(isPrefilled(valid(Prefill)));
  for (auto const &it : broken(Prefill))
    cr_expect_not(isPrefilled(it), "%s", it.c_str());
}

} // namespace dotterel::test
