#include "Cases.h"

#include "Site.h"

#include <thread>

namespace review {

namespace {

/// Time for which an engine works on a request.
constexpr auto EngineWorkMs = 1000;
constexpr auto Leavers = 16;
/// A caller leaves this long after it has sent its request.
constexpr auto LeaveAfterMs = 200;
constexpr auto DurationMs = 40000;
constexpr auto Ids = 1 << 24;

/// Sends requests and closes each connection before its answer.
auto leaveAgainAndAgain(Relay const &Target, int Number,
                        std::atomic<bool> const &HasEnded,
                        std::atomic<int> &Left) -> void {
  auto const source = "127.63.9." + std::to_string(1 + Number);
  for (auto n = Number; !HasEnded; n += Leavers) {
    auto const connection = connectTo(Target.callers(), source);
    auto const text = requestText(
        "POST", "/triage/x", "l" + std::to_string(n), 5000,
        "Model: m\r\nToken-Counts: 1460,14\r\n" + promptField(n, Ids));
    if (connection.isOpen() && connection.sendAll(text))
      ++Left;
    pauseMs(LeaveAfterMs);
  }
}

} // namespace

auto runLeavers(std::string const &Folder, std::string const &RecordPath)
    -> int {
  auto record = Record(RecordPath);
  auto const site = Site("127.63", EngineWorkMs);
  auto relay =
      Relay(Folder, {"edge-1", "mu-north-a", "127.63.3.1", 0.17, MemoryMb},
            site.Registry.address());
  relay.start();
  if (!relay.awaitReady(10000))
    return record.line("the relay did not become ready"), 2;
  pauseMs(3000);
  auto hasEnded = std::atomic<bool>{false};
  auto left = std::atomic<int>{0};
  auto ordinary = Counts{};
  auto threads = std::vector<std::thread>{};
  threads.emplace_back([&] { callOrdinarily(relay, hasEnded, ordinary); });
  for (auto n = 0; n < Leavers; ++n)
    threads.emplace_back(
        [&, n] { leaveAgainAndAgain(relay, n, hasEnded, left); });
  auto const kills = guardMemory(relay, record, DurationMs);
  hasEnded = true;
  for (auto &it : threads)
    it.join();
  record.line("callers that left: " + std::to_string(left));
  record.line("ordinary callers: " + ordinary.text());
  record.line("requests that the engines received: " +
              std::to_string(site.engineArrivals()));
  return kills > 0 ? 1 : 0;
}

} // namespace review
