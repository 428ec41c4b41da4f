#include "Cases.h"

#include "Relay.h"
#include "Servers.h"

#include <thread>

namespace review {

namespace {

constexpr auto Callers = 8;
constexpr auto RequestsPerCaller = 150;
/// One answer in so many is spoiled at the faulty server.
constexpr auto SpoilInterval = 50;
constexpr auto AnswerBytes = std::size_t{800};

/// Sends requests one after the other and compares the answers.
auto callAndCompare(Relay const &Target, int Number, Record &Output,
                    std::atomic<int> &Answered, std::atomic<int> &Wrong)
    -> void {
  auto const body = std::string(AnswerBytes, 'x');
  auto caller = Caller(Target.callers());
  for (auto n = 0; n < RequestsPerCaller; ++n) {
    auto const id = "r" + std::to_string(Number) + "." + std::to_string(n);
    auto const isLookup = n % 2 == 0;
    auto const outcome = caller.call(
        requestText(isLookup ? "GET" : "POST",
                    isLookup ? "/lookup/x" : "/issue/x", id, 1500, ""),
        3000);
    Answered += outcome.Status == 200 ? 1 : 0;
    if (outcome.Status == 200 && outcome.Body == body)
      continue;
    Output.line(id + ": status " + std::to_string(outcome.Status) + ", " +
                std::to_string(outcome.Body.size()) +
                " bytes: " + outcome.Body.substr(0, 12));
    Wrong += outcome.Status == 200 ? 1 : 0;
  }
}

} // namespace

auto runCoding(std::string const &Folder, std::string const &RecordPath)
    -> int {
  auto record = Record(RecordPath);
  // The threads of the stand-ins run until the process ends.
  auto &store = *new Store("127.68.0.1");
  store.put("config", "main", manifest());
  auto servers = std::vector<Server *>{};
  for (auto n = 1; n <= 3; ++n)
    servers.push_back(new Server(
        store, {"i-" + std::to_string(n), "bond-desk", "mu-north-a", 6, ""},
        "127.68.1." + std::to_string(n), 0));
  if (hasTrouble())
    servers.front()->spoilAnswers(SpoilInterval);
  auto relay = Relay(Folder, {"edge-1", "mu-north-a", "127.68.3.1", 0.17, 182},
                     store.address());
  relay.start();
  if (!relay.awaitReady(10000))
    return record.line("the relay did not become ready"), 2;
  pauseMs(2000);
  auto answered = std::atomic<int>{0};
  auto wrong = std::atomic<int>{0};
  auto threads = std::vector<std::thread>{};
  for (auto n = 0; n < Callers; ++n)
    threads.emplace_back(
        [&, n] { callAndCompare(relay, n, record, answered, wrong); });
  for (auto &it : threads)
    it.join();
  for (auto const *it : servers)
    record.line(it->id() + " ran " + std::to_string(it->arrivals().size()) +
                " requests");
  record.line("sent " + std::to_string(Callers * RequestsPerCaller) +
              ", answered 200 " + std::to_string(answered) +
              ", of these with another body " + std::to_string(wrong));
  return wrong > 0 ? 1 : 0;
}

} // namespace review
