#include "Cases.h"

#include "Relay.h"
#include "Servers.h"

#include <memory>
#include <random>
#include <thread>

namespace review {

namespace {

/// Bounds of the site.
constexpr auto DrainMs = 2000;
constexpr auto ContactMs = 3000;
/// The least time after which TCP sends a lost segment again.
constexpr auto RetransmissionMs = 200;
/// A server that leaves serves on for this long after its removal.
constexpr auto ServeOnMs = 9000;
constexpr auto Departures = 5;
constexpr auto Engines = 6;
constexpr auto Relays = 3;
/// The heartbeats of the server that starts beside a leaving one come this much
/// later.
constexpr auto CompanionMs = 300;
/// Together below the site's rate of this kind of request.
constexpr auto CallersPerRelay = 4;
constexpr auto MeanCallIntervalMs = 240;
constexpr auto WorkMs = 60;

auto promptFields(int Number) -> std::string {
  return "Model: m\r\nToken-Counts: 1460,14\r\nPrompt-Prefix: 5c1e07a2:350," +
         std::to_string(Number) + ":1110\r\n";
}

/// Calls a relay until the case has ended.
auto callSteadily(Relay const &Target, int Number,
                  std::atomic<bool> const &HasEnded, std::atomic<int> &Sent,
                  std::atomic<int> &Served) -> void {
  auto caller = Caller(Target.callers());
  auto random = std::mt19937(static_cast<unsigned>(Number));
  auto interval =
      std::exponential_distribution<double>(1.0 / MeanCallIntervalMs);
  for (auto n = 0; !HasEnded; ++n) {
    auto const id = Target.machine().Name + "." + std::to_string(Number) + "." +
                    std::to_string(n);
    ++Sent;
    auto const outcome = caller.call(
        requestText("POST", "/triage/x", id, 5000, promptFields(n)), 7000);
    Served += outcome.Status == 200 ? 1 : 0;
    pauseMs(static_cast<std::int64_t>(interval(random)));
  }
}

struct Departure {
  Server *Leaving = nullptr;
  std::int64_t RemovedAt = 0;
  std::int64_t DelayEnd = -1;
};

/// Three relays, two of which watch the store, and servers that leave.
class DrainCase {
public:
  DrainCase(std::string const &Folder, std::string const &RecordPath);

  auto run() -> int;

private:
  struct Instance {
    StoreLink *Link = nullptr;
    std::unique_ptr<Relay> Process;
    std::atomic<int> Sent = 0;
    std::atomic<int> Served = 0;
  };

  auto startServer(std::string const &Id, std::string const &Ip,
                   std::int64_t ColdMs) -> Server &;
  /// Chooses the watcher whose link is disturbed. Returns false if there is
  /// none.
  [[nodiscard]] auto findWatcher() -> bool;
  auto depart(int Number) -> void;
  /// Returns how many requests were sent too late by machines in touch.
  [[nodiscard]] auto countLate(Departure const &Target) -> int;
  auto recordTotals() -> void;

  Record Output;
  /// The threads of the stand-ins run until the process ends.
  Store &Registry;
  std::vector<std::unique_ptr<Instance>> Instances;
  Instance *Watcher = nullptr;
  std::vector<Departure> Departed;
};

DrainCase::DrainCase(std::string const &Folder, std::string const &RecordPath)
    : Output(RecordPath), Registry(*new Store("127.61.0.1")) {
  Registry.put("config", "main", manifest());
  for (auto n = 1; n <= Engines; ++n)
    (void)startServer("i-" + std::to_string(n), "127.61.1." + std::to_string(n),
                      0);
  for (auto n = 1; n <= Relays; ++n) {
    auto const number = std::to_string(n);
    auto &instance = *Instances.emplace_back(std::make_unique<Instance>());
    instance.Link = new StoreLink("127.61.2." + number, Registry.address());
    instance.Process =
        std::make_unique<Relay>(Folder,
                                Machine{"edge-" + number, "mu-north-a",
                                        "127.61.3." + number, 0.17, 182},
                                instance.Link->address());
    instance.Process->start();
  }
}

auto DrainCase::startServer(std::string const &Id, std::string const &Ip,
                            std::int64_t ColdMs) -> Server & {
  auto *server = new Server(
      Registry, ServerEntry{Id, "underwrite-lm", "mu-north-a", 64, "decode"},
      Ip, ColdMs);
  server->setWork(WorkMs);
  return *server;
}

auto DrainCase::findWatcher() -> bool {
  for (auto const &it : Instances) {
    auto const line = it->Process->lastLog("event=store-following");
    Output.line(it->Process->machine().Name + ": " + line);
    if (line.find("watcher=true") != std::string::npos)
      Watcher = it.get();
  }
  if (Watcher == nullptr)
    return false;
  Output.line("the link of " + Watcher->Process->machine().Name +
              " to the store loses single segments");
  return true;
}

auto DrainCase::depart(int Number) -> void {
  auto const number = std::to_string(Number);
  // A server that has just started writes its entry at each heartbeat, as long
  // as it is cold.
  constexpr auto ColdMs = 20000;
  auto &leaving = startServer("i-cold-" + number, "127.61.4." + number, ColdMs);
  pauseMs(CompanionMs);
  auto &companion =
      startServer("i-new-" + number, "127.61.5." + number, ColdMs);
  while (leaving.heartbeats() < 2)
    pauseMs(1);
  pauseMs(50);
  if (hasTrouble())
    Watcher->Link->delayNext(leaving.id(), RetransmissionMs);
  while (leaving.heartbeats() < 3)
    pauseMs(1);
  pauseMs(RetransmissionMs / 2);
  auto const removedAt = leaving.removeEntry();
  auto const delayEnd = Watcher->Link->lastDelayEnd();
  Departed.push_back({&leaving, removedAt, delayEnd});
  Output.line(leaving.id() + " left: entry removed at " +
              std::to_string(removedAt) + ", delayed segment arrived at " +
              std::to_string(delayEnd));
  pauseMs(ServeOnMs);
  companion.removeEntry();
  pauseMs(DrainMs + 1000);
  leaving.crash();
  companion.crash();
  Output.line(leaving.id() + " has ended");
}

auto DrainCase::countLate(Departure const &Target) -> int {
  auto const watcherName = Watcher->Process->machine().Name + ".";
  auto late = 0;
  auto counts = std::map<std::string, int>{};
  for (auto const &arrival : Target.Leaving->arrivals()) {
    if (arrival.AtMs <= Target.RemovedAt + DrainMs)
      continue;
    Output.line(Target.Leaving->id() + " received " + arrival.Id + " at " +
                std::to_string(arrival.AtMs));
    auto const isDisturbed = arrival.Id.rfind(watcherName, 0) == 0;
    // A machine whose link lost a segment is out of touch for a while.
    auto const isInTouch =
        !isDisturbed || arrival.AtMs > Target.DelayEnd + ContactMs;
    auto const name = arrival.Id.substr(0, arrival.Id.find('.'));
    ++counts[name + (isInTouch ? "" : " (out of touch)")];
    late += isInTouch ? 1 : 0;
  }
  for (auto const &count : counts)
    Output.line(
        Target.Leaving->id() + " received " + std::to_string(count.second) +
        " requests later than drain_ms after its removal, from " + count.first);
  return late;
}

auto DrainCase::recordTotals() -> void {
  for (auto const &it : Instances)
    Output.line(it->Process->machine().Name + ": sent " +
                std::to_string(it->Sent) + ", answered 200 " +
                std::to_string(it->Served));
  auto const [segments, delayed] = Watcher->Link->counts();
  Output.line("segments from the store on the disturbed link: " +
              std::to_string(segments) +
              ", delayed: " + std::to_string(delayed));
}

auto DrainCase::run() -> int {
  for (auto const &it : Instances) {
    if (!it->Process->awaitReady(10000))
      return Output.line("a relay did not become ready"), 2;
  }
  // The relays have to find each other and agree who watches the store.
  pauseMs(6000);
  if (!findWatcher())
    return Output.line("no relay watches the store"), 2;
  auto hasEnded = std::atomic<bool>{false};
  auto threads = std::vector<std::thread>{};
  for (auto const &it : Instances) {
    for (auto caller = 0; caller < CallersPerRelay; ++caller)
      threads.emplace_back([&, target = it.get(), caller] {
        callSteadily(*target->Process, caller, hasEnded, target->Sent,
                     target->Served);
      });
  }
  for (auto n = 1; n <= Departures; ++n)
    depart(n);
  hasEnded = true;
  for (auto &it : threads)
    it.join();
  auto late = 0;
  for (auto const &it : Departed)
    late += countLate(it);
  recordTotals();
  Output.line("late requests by machines in touch: " + std::to_string(late));
  return late > 0 ? 1 : 0;
}

} // namespace

auto runDrain(std::string const &Folder, std::string const &RecordPath) -> int {
  return DrainCase(Folder, RecordPath).run();
}

} // namespace review
