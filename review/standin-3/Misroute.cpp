#include "Cases.h"

#include "Relay.h"
#include "Servers.h"

namespace review {

namespace {

constexpr auto Requests = 50;

/// Returns a manifest in which two hosts have the same paths and a service
/// each.
auto twoHosts() -> json {
  auto content = manifest();
  auto second = content["routes"][0];
  second["name"] = "issue-2";
  second["host"] = "other.example";
  second["service"] = "archive";
  content["routes"].push_back(second);
  content["services"].push_back({{"name", "archive"},
                                 {"health_path", "/health"},
                                 {"max_conns", 248},
                                 {"protocol", "h1"},
                                 {"tls", false}});
  return content;
}

auto recordArrivals(Record &Output, std::string const &Service,
                    std::vector<Server *> const &Servers) -> std::size_t {
  auto count = std::size_t{0};
  for (auto const *server : Servers) {
    for (auto const &it : server->arrivals()) {
      Output.line(it.Id + " was run by " + server->id() + " of " + Service);
      ++count;
    }
  }
  return count;
}

} // namespace

auto runMisroute(std::string const &Folder, std::string const &RecordPath)
    -> int {
  auto record = Record(RecordPath);
  // The threads of the stand-ins run until the process ends.
  auto &store = *new Store("127.65.0.1");
  store.put("config", "main", twoHosts());
  auto start = [&store](std::string const &Id, std::string const &Service,
                        std::string const &Ip) {
    return new Server(store, {Id, Service, "mu-north-a", 6, ""}, Ip, 0);
  };
  auto const right = std::vector{start("i-1", "bond-desk", "127.65.1.1"),
                                 start("i-2", "bond-desk", "127.65.1.2")};
  auto const wrong = std::vector{start("j-1", "archive", "127.65.1.3"),
                                 start("j-2", "archive", "127.65.1.4")};
  auto relay = Relay(Folder, {"edge-1", "mu-north-a", "127.65.3.1", 0.17, 182},
                     store.address());
  relay.start();
  if (!relay.awaitReady(10000))
    return record.line("the relay did not become ready"), 2;
  pauseMs(2000);
  auto caller = Caller(relay.callers());
  auto answered = 0;
  for (auto n = 0; n < Requests; ++n) {
    auto const id = "r" + std::to_string(n);
    auto const *trailer =
        hasTrouble() ? "Host: other.example\r\n" : "X-Digest: 1\r\n";
    auto const outcome =
        caller.call(chunkedRequest("h.example", "/issue/x", id, 1500, "") +
                        trailer + "\r\n",
                    3000);
    record.line(id + " was sent to h.example/issue/x: status " +
                std::to_string(outcome.Status));
    answered += outcome.Status == 200 ? 1 : 0;
  }
  recordArrivals(record, "bond-desk", right);
  auto const misrouted = recordArrivals(record, "archive", wrong);
  record.line("sent " + std::to_string(Requests) + ", answered 200 " +
              std::to_string(answered) + ", run by a service without a route " +
              std::to_string(misrouted));
  return misrouted > 0 ? 1 : 0;
}

} // namespace review
