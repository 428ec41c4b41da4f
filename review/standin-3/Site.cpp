#include "Site.h"

#include <algorithm>

namespace review {

namespace {

constexpr auto EngineCount = 18;
constexpr auto PlainServers = 3;
/// The platform starts a process again this long after its end.
constexpr auto RestartMs = 500;

} // namespace

Site::Site(std::string const &Network, std::int64_t EngineWorkMs)
    : Registry(*new Store(Network + ".0.1")) {
  Registry.put("config", "main", manifest());
  auto const engineNetwork = Network + ".1.";
  auto const plainNetwork = Network + ".2.";
  for (auto n = 1; n <= EngineCount; ++n) {
    auto const number = std::to_string(n);
    Engines.push_back(new Server(
        Registry, {"e-" + number, "underwrite-lm", "mu-north-a", 64, "decode"},
        engineNetwork + number, 0));
    Engines.back()->setWork(EngineWorkMs);
  }
  for (auto n = 1; n <= PlainServers; ++n) {
    auto const number = std::to_string(n);
    (void)new Server(Registry,
                     {"i-" + number, "bond-desk", "mu-north-a", 6, ""},
                     plainNetwork + number, 0);
  }
}

auto Site::engineArrivals() const -> std::size_t {
  auto sum = std::size_t{0};
  for (auto const *it : Engines)
    sum += it->arrivals().size();
  return sum;
}

auto Counts::count(int Status) -> void {
  ++Sent;
  if (Status == 200)
    ++Answered;
  else if (Status != 0)
    ++Refused;
  else
    ++Lost;
}

auto Counts::text() const -> std::string {
  return "sent " + std::to_string(Sent) + ", answered 200 " +
         std::to_string(Answered) + ", other answers " +
         std::to_string(Refused) + ", no answer " + std::to_string(Lost);
}

auto callOrdinarily(Relay const &Target, std::atomic<bool> const &HasEnded,
                    Counts &Result) -> void {
  auto caller = Caller(Target.callers());
  for (auto n = 0; !HasEnded; ++n) {
    auto const text =
        requestText("POST", "/issue/x", "o" + std::to_string(n), 1500, "");
    Result.count(caller.call(text, 3000).Status);
    pauseMs(50);
  }
}

auto guardMemory(Relay &Target, Record &Output, std::int64_t DurationMs)
    -> int {
  constexpr auto LineIntervalMs = 2000;
  auto kills = 0;
  auto peak = 0.0;
  auto nextLine = elapsedMs();
  for (auto const until = elapsedMs() + DurationMs; elapsedMs() < until;) {
    pauseMs(10);
    auto const resident = Target.residentMb();
    peak = std::max(peak, resident);
    if (elapsedMs() >= nextLine) {
      Output.line("resident " + std::to_string(resident) + " MB");
      nextLine += LineIntervalMs;
    }
    if (resident <= MemoryMb)
      continue;
    ++kills;
    Output.line("resident " + std::to_string(resident) + " MB of " +
                std::to_string(MemoryMb) + ": the platform kills the process");
    Target.kill();
    pauseMs(RestartMs);
    Target.start();
  }
  Output.line("highest resident memory: " + std::to_string(peak) + " MB of " +
              std::to_string(MemoryMb));
  Output.line("processes killed: " + std::to_string(kills));
  return kills;
}

} // namespace review
