/// \file
/// The scenarios of the review's scripts. Usage: scenario NAME RECORD FOLDER;
/// with TROUBLE=0 in the environment, without the disruption. Exits with 1 if
/// the rule was broken, 0 if it held, and 2 if the case could not run.

#include "Standin.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace review {

namespace {

constexpr auto Held = 0;
constexpr auto Broken = 1;
constexpr auto NotRun = 2;

struct Scenario {
  review::Record &Record; // NOLINT: outlives the scenario
  std::string Folder;
  bool HasTrouble;
};

/// The outcome of one request of a consumer.
struct Outcome {
  std::string Id;
  int Status = 0;
  bool IsComplete = false;
  std::size_t Bytes = 0;
  Milliseconds Taken{};
};

auto describe(Outcome const &Target) -> std::string {
  return "consumer's request " + Target.Id + ": status " +
         std::to_string(Target.Status) + ", " + std::to_string(Target.Bytes) +
         " bytes, " +
         (Target.IsComplete ? "complete" : "channel ended or timed out") +
         " after " + std::to_string(Target.Taken.count()) + " ms";
}

/// Sends a request on an open channel and reads its answer.
auto request(Channel &Connection, Record &Log, std::string const &Target,
             Outcome &Result, int DeadlineMs, double BytesPerSecond,
             std::string const &Method = "GET", std::string const &Prompt = {})
    -> void {
  auto const start = Clock::now();
  auto response = Message{};
  Log.addDetail("sent by consumers",
                "consumer sends " + Method + " " + Target + " as " + Result.Id);
  auto const body = Method == "POST" ? std::string("{}") : std::string{};
  Result.IsComplete =
      Connection.send(
          requestText(Method, Target, Result.Id, DeadlineMs, body, Prompt)) &&
      Connection.read(response, Milliseconds(DeadlineMs), BytesPerSecond);
  Result.Status = response.status();
  Result.Bytes = response.Body.size();
  Result.Taken = std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
  if (Result.IsComplete)
    Log.addDetail("answered with " + std::to_string(Result.Status),
                  describe(Result));
  else
    Log.add(describe(Result));
}

/// Ends the scenario. Threads of the stand-ins still wait for their peers, so
/// nothing is destroyed.
auto finish(Record &Log, int Result) -> int {
  Log.add("result " + std::to_string(Result));
  std::cout << "result " << Result << "\n" << std::flush;
  std::_Exit(Result);
}

auto isServed(Outcome const &Target) -> bool {
  return Target.IsComplete && Target.Status == 200;
}

/// Consumers read answers of some megabytes at the rate of a slow link while
/// the relay that they are connected to is stopped.
auto runStop(Scenario const &Context) -> int {
  constexpr auto Consumers = 4;
  constexpr auto DeadlineMs = 8000;
  constexpr auto AnswerBytes = std::size_t{14} << 20U;
  constexpr auto BytesPerSecond = 2.4 * (1 << 20U);
  auto &log = Context.Record;
  auto store = Store();
  auto server =
      Server(store, log, {"s-1", "exports", Milliseconds{20}, AnswerBytes});
  auto small = Server(store, log, {"s-2", "desk", Milliseconds{20}, 800});
  store.put("config", "main",
            manifest({{"export", "idempotent", "exports", DeadlineMs, 1000, 1},
                      {"desk", "idempotent", "desk", DeadlineMs, 1000, 1}}));
  server.start();
  small.start();
  auto relay = Relay("relay-1", store.address(), Context.Folder, log);
  relay.start(true);
  if (!relay.awaitReady(Milliseconds{10000}))
    return finish(log, NotRun);
  auto outcomes = std::vector<Outcome>(Consumers);
  auto threads = std::vector<std::thread>{};
  for (auto n = 0; n < Consumers; ++n) {
    threads.emplace_back([&, n] {
      auto channel = Channel();
      auto first = Outcome{"small-" + std::to_string(n)};
      auto &outcome = outcomes[static_cast<std::size_t>(n)];
      outcome.Id = "export-" + std::to_string(n);
      if (!channel.connect(relay.callerAddress(), 65536))
        return;
      request(channel, log, "/desk/x", first, DeadlineMs, 0);
      request(channel, log, "/export/x", outcome, DeadlineMs, BytesPerSecond);
    });
  }
  std::this_thread::sleep_for(Milliseconds{700});
  if (Context.HasTrouble)
    relay.signal(SIGTERM);
  for (auto &it : threads)
    it.join();
  auto cut = 0;
  for (auto const &it : outcomes) {
    // An answer that used up its time budget does not count.
    if (!it.IsComplete && it.Taken < Milliseconds(DeadlineMs - 500))
      ++cut;
  }
  if (!Context.HasTrouble)
    relay.signal(SIGTERM);
  relay.join(Milliseconds(Relay::GraceSeconds * 1000));
  log.add("answers cut: " + std::to_string(cut));
  return finish(log, server.runs() < Consumers ? NotRun
                     : cut > 0                 ? Broken
                                               : Held);
}

/// Kills a relay whose memory exceeds that of its machine, as the platform
/// does. Returns whether it was killed.
auto enforceMemory(Relay &Target, Record &Log, std::atomic<bool> const &IsDone)
    -> bool {
  auto most = std::size_t{0};
  while (!IsDone && !Target.hasEnded()) {
    auto const bytes = Target.residentBytes();
    most = std::max(most, bytes);
    if (bytes > Relay::MemoryMegabytes << 20U) {
      Log.add("relay uses " + std::to_string(bytes >> 20U) + " MB of " +
              std::to_string(Relay::MemoryMegabytes));
      Target.signal(SIGKILL);
      return true;
    }
    std::this_thread::sleep_for(Milliseconds{10});
  }
  Log.add("most memory of the relay: " + std::to_string(most >> 20U) + " MB");
  return false;
}

/// Consumers read answers of some megabytes slowly. Others, which read at once,
/// have work accepted meanwhile.
auto runMemory(Scenario const &Context) -> int {
  constexpr auto Readers = 60;
  constexpr auto Bookers = 8;
  constexpr auto DeadlineMs = 8000;
  constexpr auto AnswerBytes = std::size_t{8} << 20U;
  auto const rate = Context.HasTrouble ? 256.0 * 1024 : 0.0;
  auto &log = Context.Record;
  auto store = Store();
  auto exports =
      Server(store, log, {"s-1", "exports", Milliseconds{20}, AnswerBytes});
  auto desk = Server(store, log, {"s-2", "desk", Milliseconds{1500}, 800});
  store.put(
      "config", "main",
      manifest({{"export", "idempotent", "exports", DeadlineMs, 1000, 1},
                {"book", "non_idempotent", "desk", DeadlineMs, 2000, 1}}));
  exports.start();
  desk.start();
  auto relay = Relay("relay-1", store.address(), Context.Folder, log);
  relay.start(true);
  if (!relay.awaitReady(Milliseconds{10000}))
    return finish(log, NotRun);
  auto isDone = std::atomic<bool>{false};
  auto isKilled = std::atomic<bool>{false};
  auto lost = std::atomic<int>{0};
  auto platform =
      std::thread([&] { isKilled = enforceMemory(relay, log, isDone); });
  auto threads = std::vector<std::thread>{};
  for (auto n = 0; n < Bookers; ++n) {
    threads.emplace_back([&, n] {
      auto channel = Channel();
      if (!channel.connect(relay.callerAddress()))
        return;
      for (auto round = 0; round < 7; ++round) {
        auto outcome =
            Outcome{"book-" + std::to_string(n) + "-" + std::to_string(round)};
        request(channel, log, "/book/x", outcome, DeadlineMs, 0, "POST");
        if (outcome.IsComplete)
          continue;
        // The channel was kept, except for its first request.
        lost += round > 0 && desk.hasRun(outcome.Id) ? 1 : 0;
        return;
      }
    });
  }
  std::this_thread::sleep_for(Milliseconds{2000});
  for (auto n = 0; n < Readers; ++n) {
    threads.emplace_back([&, n] {
      auto channel = Channel();
      auto outcome = Outcome{"export-" + std::to_string(n)};
      if (channel.connect(relay.callerAddress(), 65536))
        request(channel, log, "/export/x", outcome, DeadlineMs, rate);
    });
    std::this_thread::sleep_for(Milliseconds{100});
  }
  for (auto &it : threads)
    it.join();
  isDone = true;
  platform.join();
  log.add("killed: " + std::to_string(isKilled) +
          ", bookings on kept channels lost: " + std::to_string(lost));
  if (exports.runs() == 0 || desk.runs() < Bookers)
    return finish(log, NotRun);
  constexpr auto AllowedLosses = 3;
  return finish(log, isKilled && lost > AllowedLosses ? Broken : Held);
}

auto exportOne(Relay const &Target, Record &Log, std::string const &Id)
    -> bool {
  constexpr auto DeadlineMs = 8000;
  auto channel = Channel();
  auto outcome = Outcome{Id};
  if (!channel.connect(Target.callerAddress()))
    return false;
  request(channel, Log, "/export/report?item=" + Id, outcome, DeadlineMs, 0);
  return isServed(outcome);
}

/// Sends \p Count requests at once, each with a query of its own. Returns the
/// number of those that are served.
auto exportWave(Relay const &Target, Record &Log, std::string const &Prefix,
                int Count) -> int {
  auto served = std::atomic<int>{0};
  auto threads = std::vector<std::thread>{};
  for (auto n = 0; n < Count; ++n)
    threads.emplace_back([&, n] {
      served +=
          exportOne(Target, Log, Prefix + "-" + std::to_string(n)) ? 1 : 0;
    });
  for (auto &it : threads)
    it.join();
  return served;
}

/// Removes three busy servers from the list, one after the other. They finish
/// their work and exit later.
auto scaleIn(std::vector<std::unique_ptr<Server>> const &Servers) -> void {
  constexpr auto Leaving = 3;
  auto chosen = std::vector<Server *>{};
  for (auto const &it : Servers) {
    if (it->inProgress() > 0 && chosen.size() < Leaving)
      chosen.push_back(it.get());
  }
  for (auto *it : chosen) {
    it->leave();
    std::this_thread::sleep_for(Milliseconds{100});
  }
  std::this_thread::sleep_for(Milliseconds{4000});
  for (auto *it : chosen)
    it->exit();
}

/// Three of twenty servers are taken away as planned. Later the day ends with
/// its final fault: all processes of the system are killed.
auto runScaleIn(Scenario const &Context) -> int {
  constexpr auto RecoverSeconds = 12;
  constexpr auto Wave = 12;
  constexpr auto WavesBefore = 3;
  constexpr auto WavesAfter = 6;
  auto &log = Context.Record;
  auto store = Store();
  auto servers = std::vector<std::unique_ptr<Server>>{};
  for (auto n = 1; n <= 20; ++n)
    servers.push_back(std::make_unique<Server>(
        store, log,
        Server::Options{"s-" + std::to_string(n), "exports", Milliseconds{2500},
                        800}));
  store.put("config", "main",
            manifest({{"export", "idempotent", "exports", 8000, 3000, 2}}));
  for (auto &it : servers)
    it->start();
  auto relay = Relay("relay-1", store.address(), Context.Folder, log);
  relay.start(true);
  if (!relay.awaitReady(Milliseconds{10000}))
    return finish(log, NotRun);
  auto before = 0;
  for (auto n = 0; n < WavesBefore; ++n)
    before += exportWave(relay, log, "a" + std::to_string(n), Wave);
  auto planned = std::thread([&] {
    std::this_thread::sleep_for(Milliseconds{700});
    if (Context.HasTrouble)
      scaleIn(servers);
  });
  before += exportWave(relay, log, "b", Wave);
  planned.join();
  log.add("final fault: all processes of the system are killed");
  relay.signal(SIGKILL);
  relay.join(Milliseconds{1000});
  std::this_thread::sleep_for(Milliseconds{600});
  relay.start(false);
  std::this_thread::sleep_for(std::chrono::seconds(RecoverSeconds));
  auto after = 0;
  for (auto n = 0; n < WavesAfter; ++n) {
    after += exportWave(relay, log, "c" + std::to_string(n), Wave);
    std::this_thread::sleep_for(Milliseconds{1000});
  }
  log.add("served before the final fault: " + std::to_string(before) + " of " +
          std::to_string((WavesBefore + 1) * Wave) +
          ", after recover_s: " + std::to_string(after) + " of " +
          std::to_string(WavesAfter * Wave) + "; objects of kind quarantine: " +
          std::to_string(store.count("quarantine")));
  relay.signal(SIGTERM);
  relay.join(Milliseconds(Relay::GraceSeconds * 1000));
  if (before * 4 < (WavesBefore + 1) * Wave)
    return finish(log, NotRun);
  return finish(log, after * 4 < WavesAfter * Wave ? Broken : Held);
}

/// Asks with a prompt of its own that begins with the part that all share.
auto ask(Relay const &Target, Record &Log, std::string const &Id,
         std::string const &Middle) -> bool {
  constexpr auto DeadlineMs = 6000;
  auto channel = Channel();
  auto outcome = Outcome{Id};
  if (!channel.connect(Target.callerAddress()))
    return false;
  auto const own = std::to_string(std::hash<std::string>{}(Id) % 1000000);
  request(channel, Log, "/ask/x", outcome, DeadlineMs, 0, "GET",
          "5c1e07a2:800," + Middle + "ab" + own + ":250");
  return isServed(outcome);
}

auto askAll(Relay const &Target, Record &Log, std::string const &Prefix,
            int Count) -> int {
  auto served = 0;
  for (auto n = 0; n < Count; ++n) {
    served += ask(Target, Log, Prefix + "-" + std::to_string(n), "") ? 1 : 0;
    std::this_thread::sleep_for(Milliseconds{100});
  }
  return served;
}

/// A few requests crash the servers that run them by one part of their prompts.
/// Sound ones share the other parts. Later all processes are killed.
auto runDeadly(Scenario const &Context) -> int {
  constexpr auto RecoverSeconds = 12;
  constexpr auto Before = 40;
  constexpr auto Deadly = 4;
  constexpr auto After = 100;
  auto &log = Context.Record;
  auto store = Store();
  auto servers = std::vector<std::unique_ptr<Server>>{};
  for (auto n = 1; n <= 12; ++n)
    servers.push_back(std::make_unique<Server>(
        store, log,
        Server::Options{"s-" + std::to_string(n), "answers", Milliseconds{50},
                        800, "91bd3f06"}));
  store.put("config", "main",
            manifest({{"ask", "idempotent", "answers", 6000, 1000, 2}}));
  for (auto &it : servers)
    it->start();
  auto relay = Relay("relay-1", store.address(), Context.Folder, log);
  relay.start(true);
  if (!relay.awaitReady(Milliseconds{10000}))
    return finish(log, NotRun);
  auto const before = askAll(relay, log, "a", Before);
  // Nobody asks for six seconds.
  std::this_thread::sleep_for(Milliseconds{6000});
  auto threads = std::vector<std::thread>{};
  for (auto n = 0; n < Deadly; ++n)
    threads.emplace_back([&, n] {
      (void)ask(relay, log, "b-" + std::to_string(n),
                Context.HasTrouble ? "91bd3f06:410," : "77bd3f06:410,");
    });
  for (auto &it : threads)
    it.join();
  std::this_thread::sleep_for(Milliseconds{5000});
  log.add("final fault: all processes of the system are killed");
  relay.signal(SIGKILL);
  relay.join(Milliseconds{1000});
  std::this_thread::sleep_for(Milliseconds{600});
  relay.start(false);
  std::this_thread::sleep_for(std::chrono::seconds(RecoverSeconds));
  auto const after = askAll(relay, log, "c", After);
  log.add("sound requests served before the final fault: " +
          std::to_string(before) + " of " + std::to_string(Before) +
          ", after recover_s: " + std::to_string(after) + " of " +
          std::to_string(After) + "; objects of kind quarantine: " +
          std::to_string(store.count("quarantine")));
  relay.signal(SIGTERM);
  relay.join(Milliseconds(Relay::GraceSeconds * 1000));
  if (before * 4 < Before)
    return finish(log, NotRun);
  return finish(log, after * 4 < After ? Broken : Held);
}

/// Sends a part of a request and the rest after a second, or gives up instead
/// and closes the channel: after the time that the manifest allows for sending
/// a request, and up to two milliseconds later.
auto sendSlowly(Relay const &Target, Record &Log, std::string const &Id,
                bool GivesUp) -> void {
  constexpr auto DeadlineMs = 8000;
  constexpr auto SentBytes = std::size_t{400};
  constexpr auto JitterUs = 2000;
  auto const jitter = std::chrono::microseconds(
      static_cast<int>(std::hash<std::string>{}(Id) % JitterUs));
  auto channel = Channel();
  auto response = Message{};
  auto const text =
      requestText("POST", "/book/x", Id, DeadlineMs, std::string(800, 'b'));
  if (!channel.connect(Target.callerAddress()))
    return;
  auto const start = Clock::now();
  if (!channel.send(text.substr(0, SentBytes)))
    return;
  Log.addDetail("begun by slow consumers", "slow consumer begins " + Id);
  if (GivesUp)
    return std::this_thread::sleep_until(start + Milliseconds(HeaderTimeoutMs) +
                                         jitter);
  std::this_thread::sleep_until(start + Milliseconds{1000});
  if (channel.send(text.substr(SentBytes)) &&
      channel.read(response, Milliseconds(DeadlineMs)))
    Log.addDetail("answered to slow consumers", Id + " is answered");
}

/// Has work done until \p IsDone. Every other consumer opens a channel for each
/// request. Returns whether an answer was lost on a channel that was kept,
/// though \p Worker ran the request.
auto book(Relay const &Target, Server &Worker, Record &Log, int Number,
          std::atomic<bool> const &IsDone) -> bool {
  constexpr auto DeadlineMs = 8000;
  constexpr auto Pause = Milliseconds{20};
  auto const keepsChannel = Number % 2 == 0;
  auto kept = Channel();
  if (!kept.connect(Target.callerAddress()))
    return false;
  std::this_thread::sleep_for(Milliseconds(7 * Number));
  for (auto round = 0; !IsDone; ++round) {
    auto opened = Channel();
    if (!keepsChannel && !opened.connect(Target.callerAddress()))
      return false;
    auto outcome =
        Outcome{"book-" + std::to_string(Number) + "-" + std::to_string(round)};
    request(keepsChannel ? kept : opened, Log, "/book/x", outcome, DeadlineMs,
            0, "POST");
    if (!outcome.IsComplete && !IsDone)
      return keepsChannel && round > 0 && Worker.hasRun(outcome.Id);
    std::this_thread::sleep_for(Pause);
  }
  return false;
}

/// Many consumers send requests slowly and give up. Others have work done
/// meanwhile.
auto runGiveUp(Scenario const &Context) -> int {
  constexpr auto Slow = 400;
  constexpr auto Bookers = 100;
  constexpr auto Length = std::chrono::seconds{85};
  // They come together, as after an outage of their network.
  constexpr auto Interval = Milliseconds{3500};
  constexpr auto AllowedLosses = 3;
  auto &log = Context.Record;
  auto store = Store();
  auto desk = Server(store, log, {"s-1", "desk", Milliseconds{200}, 800});
  store.put("config", "main",
            manifest({{"book", "non_idempotent", "desk", 8000, 1000, 1}}));
  desk.start();
  auto relay = Relay("relay-1", store.address(), Context.Folder, log);
  relay.start(true);
  if (!relay.awaitReady(Milliseconds{10000}))
    return finish(log, NotRun);
  log.summarizeDetails();
  auto const begin = Clock::now();
  auto const until = begin + Length;
  auto isDone = std::atomic<bool>{false};
  auto lost = std::atomic<int>{0};
  auto threads = std::vector<std::thread>{};
  for (auto n = 0; n < Bookers; ++n)
    threads.emplace_back(
        [&, n] { lost += book(relay, desk, log, n, isDone) ? 1 : 0; });
  for (auto n = 0; n < Slow; ++n)
    threads.emplace_back([&, n] {
      for (auto round = 0; !isDone; ++round) {
        std::this_thread::sleep_until(begin + round * Interval);
        sendSlowly(relay, log,
                   "slow-" + std::to_string(n) + "-" + std::to_string(round),
                   Context.HasTrouble);
      }
    });
  auto hasCrashed = false;
  while (!hasCrashed && Clock::now() < until) {
    std::this_thread::sleep_for(Milliseconds{20});
    hasCrashed = relay.hasEnded();
  }
  std::this_thread::sleep_for(Milliseconds{200});
  log.add("relay has ended by itself: " + std::to_string(hasCrashed) +
          ", non-idempotent requests lost on kept channels: " +
          std::to_string(lost));
  isDone = true;
  return finish(log, desk.runs() < Bookers                ? NotRun
                     : hasCrashed && lost > AllowedLosses ? Broken
                                                          : Held);
}

auto run(std::string const &Name, Scenario const &Context) -> int {
  if (Name == "stop")
    return runStop(Context);
  if (Name == "memory")
    return runMemory(Context);
  if (Name == "deadly")
    return runDeadly(Context);
  if (Name == "give-up")
    return runGiveUp(Context);
  if (Name == "scale-in")
    return runScaleIn(Context);
  return NotRun;
}

} // namespace

} // namespace review

auto main(int Count, char **Arguments) -> int {
  if (Count != 4) {
    std::cerr << "usage: scenario NAME RECORD FOLDER\n";
    return 2;
  }
  auto const *trouble = std::getenv("TROUBLE");
  auto record = review::Record(Arguments[2]);
  try {
    return review::run(Arguments[1],
                       {record, Arguments[3],
                        trouble == nullptr || std::string(trouble) != "0"});
  } catch (std::exception const &error) {
    record.add(std::string("error: ") + error.what());
    return review::finish(record, 2);
  }
}
