#include "Cases.h"

#include "Site.h"

#include <thread>

namespace review {

namespace {

constexpr auto CrowdAddresses = 200;
/// Time for which an engine works on a request of the crowd.
constexpr auto EngineWorkMs = 2500;
constexpr auto DurationMs = 12000;

/// Returns the request \p Number of a crowd.
using RequestMaker = std::string (*)(int Number);

auto requestOfManyParts(int Number) -> std::string {
  return requestText("POST", "/triage/x", "c" + std::to_string(Number), 5000,
                     "Model: m\r\nToken-Counts: 40,14\r\n" +
                         promptField(Number, 16));
}

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
auto callInCrowd(Relay const &Target, int Number, RequestMaker Make,
                 Counts &Result) -> void {
  auto const source = "127.62.9." + std::to_string(1 + Number % CrowdAddresses);
  Result.count(call(Target.callers(), Make(Number), 7000, source).Status);
}

/// Lets \p Size callers send one request each within a second or so, and
/// guards the memory of the relay meanwhile.
auto runCrowdOf(int Size, RequestMaker Make, std::string const &Folder,
                std::string const &RecordPath) -> int {
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
  for (auto n = 0; n < Size; ++n) {
    threads.emplace_back([&, n] { callInCrowd(relay, n, Make, crowd); });
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

} // namespace

auto runCrowd(std::string const &Folder, std::string const &RecordPath) -> int {
  constexpr auto Size = 1300;
  return runCrowdOf(Size, requestOfManyParts, Folder, RecordPath);
}

auto runTrailers(std::string const &Folder, std::string const &RecordPath)
    -> int {
  constexpr auto Size = 300;
  return runCrowdOf(Size, requestOfManyTrailers, Folder, RecordPath);
}

} // namespace review
