#include "Cases.h"

#include "Site.h"

#include <thread>

namespace review {

namespace {

constexpr auto CrowdSize = 300;
constexpr auto CrowdAddresses = 200;
/// Time for which an engine works on a request of the crowd.
constexpr auto EngineWorkMs = 2500;
constexpr auto DurationMs = 12000;

/// Returns a request whose body is sent in chunks and followed by short fields,
/// or by two of them if the case runs without its disruption.
auto requestOfManyTrailers(int Number) -> std::string {
  // Head and trailer together stay below the site's limit of 16,384 bytes.
  constexpr auto TrailerBytes = std::size_t{16000};
  constexpr auto Field = std::string_view{"a:\r\n"};
  auto text =
      chunkedRequest("h.example", "/triage/x", "c" + std::to_string(Number),
                     5000, "Model: m\r\nToken-Counts: 40,14\r\n");
  auto const fields = hasTrouble() ? TrailerBytes / Field.size() : 2;
  for (auto n = std::size_t{0}; n < fields; ++n)
    text += Field;
  return text + "\r\n";
}

/// Sends one request of the crowd and reads its answer.
auto callInCrowd(Relay const &Target, int Number, Counts &Result) -> void {
  auto const source = "127.62.9." + std::to_string(1 + Number % CrowdAddresses);
  Result.count(
      call(Target.callers(), requestOfManyTrailers(Number), 7000, source)
          .Status);
}

} // namespace

auto runTrailers(std::string const &Folder, std::string const &RecordPath)
    -> int {
  auto record = Record(RecordPath);
  auto const site = Site("127.62", EngineWorkMs);
  auto relay =
      Relay(Folder, {"edge-1", "mu-north-a", "127.62.3.1", 0.17, MemoryMb},
            site.Registry.address());
  relay.start();
  if (!relay.awaitReady(10000))
    return record.line("the relay did not become ready"), 2;
  pauseMs(3000);
  auto hasEnded = std::atomic<bool>{false};
  auto ordinary = Counts{};
  auto crowd = Counts{};
  auto threads = std::vector<std::thread>{};
  threads.emplace_back([&] { callOrdinarily(relay, hasEnded, ordinary); });
  pauseMs(1000);
  for (auto n = 0; n < CrowdSize; ++n) {
    threads.emplace_back([&, n] { callInCrowd(relay, n, crowd); });
    if (n % 10 == 9)
      pauseMs(10);
  }
  auto const kills = guardMemory(relay, record, DurationMs);
  hasEnded = true;
  for (auto &it : threads)
    it.join();
  record.line("crowd: " + crowd.text());
  record.line("ordinary callers: " + ordinary.text());
  record.line("requests that the engines received: " +
              std::to_string(site.engineArrivals()));
  return kills > 0 ? 1 : 0;
}

} // namespace review
