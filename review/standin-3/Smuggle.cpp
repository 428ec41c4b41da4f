#include "Cases.h"

#include "Relay.h"
#include "Servers.h"

#include <array>
#include <cstdio>

namespace review {

namespace {

constexpr auto Requests = 20;

/// Returns one request whose body has the form of another request. The body is
/// sent with an encoding that is not chunked, or in chunks if the case runs
/// without its disruption.
auto requestWithRequestInBody(int Number) -> std::string {
  auto const number = std::to_string(Number);
  auto const body =
      requestText("POST", "/issue/x", "inner-" + number, 1500, "");
  auto text = "POST /issue/x HTTP/1.1\r\nHost: h.example\r\n"
              "Attempt-Id: outer-" +
              number + "\r\nDeadline-Ms: 1500\r\nTransfer-Encoding: ";
  if (hasTrouble())
    return text + "gzip\r\n\r\n" + body;
  auto size = std::array<char, 16>{};
  std::snprintf(size.data(), size.size(), "%zx", body.size());
  return text + "chunked\r\n\r\n" + size.data() + "\r\n" + body +
         "\r\n0\r\n\r\n";
}

} // namespace

auto runSmuggle(std::string const &Folder, std::string const &RecordPath)
    -> int {
  auto record = Record(RecordPath);
  // The threads of the stand-ins run until the process ends.
  auto &store = *new Store("127.66.0.1");
  store.put("config", "main", manifest());
  auto servers = std::vector<Server *>{};
  for (auto n = 1; n <= 3; ++n)
    servers.push_back(new Server(
        store, {"i-" + std::to_string(n), "bond-desk", "mu-north-a", 6, ""},
        "127.66.1." + std::to_string(n), 0));
  auto relay = Relay(Folder, {"edge-1", "mu-north-a", "127.66.3.1", 0.17, 182},
                     store.address());
  relay.start();
  if (!relay.awaitReady(10000))
    return record.line("the relay did not become ready"), 2;
  pauseMs(2000);
  for (auto n = 0; n < Requests; ++n) {
    auto caller = Caller(relay.callers());
    auto const outcome = caller.call(requestWithRequestInBody(n), 3000);
    record.line("outer-" + std::to_string(n) + " was sent: status " +
                std::to_string(outcome.Status));
    // The channel stays open for a while, as consumers keep theirs.
    pauseMs(300);
    if (caller.hasUnexpectedInput())
      record.line("an answer that nobody waits for arrived on the channel");
  }
  auto asked = 0;
  auto smuggled = 0;
  for (auto const *server : servers) {
    for (auto const &it : server->arrivals()) {
      record.line(it.Id + " was run by " + server->id());
      ++(it.Id.rfind("inner-", 0) == 0 ? smuggled : asked);
    }
  }
  record.line(
      "requests sent " + std::to_string(Requests) +
      ", run: " + std::to_string(asked) +
      ", run though they were bodies of others: " + std::to_string(smuggled));
  return smuggled > 0 ? 1 : 0;
}

} // namespace review
