#include "Servers.h"

#include <array>
#include <cstdio>
#include <sys/socket.h>

namespace review {

namespace {

constexpr auto AnswerBytes = std::size_t{800};
constexpr auto Events = 5;
/// Time after which an engine that was told to change its stage is back.
constexpr auto StageChangeMs = 3000;

} // namespace

Server::Server(Store &Registry, ServerEntry NewEntry, std::string const &Ip,
               std::int64_t ColdMs)
    : Registry(Registry), Entry(std::move(NewEntry)), Listening{Ip, 0},
      Listener(listenOn(Listening)),
      ColdUntilMs(ColdMs == 0 ? 0 : elapsedMs() + ColdMs), Stage(Entry.Stage) {
  Registry.put("servers", Entry.Id, spec());
  startThread([this] { accept(); });
  startThread([this] { beat(); });
}

auto Server::spec() const -> json {
  auto cold = std::max(std::int64_t{0}, ColdUntilMs - elapsedMs());
  auto content = json{{"service", Entry.Service}, {"address", Listening.text()},
                      {"zone", Entry.Zone},       {"version", "v1"},
                      {"slots", Entry.Slots},     {"state", "ready"},
                      {"cold_left_ms", cold},     {"born", BornMs},
                      {"seq", Heartbeats.load()}};
  if (!Stage.empty()) {
    content["stage"] = Stage;
    content["models"] = json::array(
        {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
  }
  return content;
}

auto Server::beat() -> void {
  auto wasCold = ColdUntilMs > 0;
  auto lastStage = Entry.Stage;
  while (true) {
    pauseMs(HeartbeatMs);
    auto lock = std::lock_guard(Mutex);
    if (!IsListed || HasCrashed)
      return;
    ++Heartbeats;
    // An entry changes when more than its sequence number does.
    if (wasCold || Stage != lastStage)
      Registry.put("servers", Entry.Id, spec());
    else
      Registry.refresh("servers", Entry.Id, spec());
    wasCold = ColdUntilMs > elapsedMs();
    lastStage = Stage;
  }
}

auto Server::removeEntry() -> std::int64_t {
  auto lock = std::lock_guard(Mutex);
  IsListed = false;
  Registry.remove("servers", Entry.Id);
  return elapsedMs();
}

auto Server::crash() -> void {
  HasCrashed = true;
  ::shutdown(Listener.handle(), SHUT_RDWR);
}

auto Server::arrivals() const -> std::vector<Arrival> {
  auto lock = std::lock_guard(Mutex);
  return Arrivals;
}

auto Server::accept() -> void {
  while (true) {
    auto connection = std::make_shared<Socket>(acceptFrom(Listener));
    if (!connection->isOpen())
      break;
    startThread([this, connection] { serve(connection); });
  }
  Listener.close();
}

auto Server::serve(std::shared_ptr<Socket> const &Connection) -> void {
  auto buffer = std::string{};
  while (!HasCrashed) {
    auto const request = readMessage(*Connection, buffer);
    if (!request || !respond(*request, *Connection))
      break;
  }
  if (HasCrashed)
    Connection->reset();
}

auto Server::work(Socket const &Connection, std::int64_t Ms) const -> bool {
  constexpr auto StepMs = 5;
  for (auto const until = elapsedMs() + Ms; elapsedMs() < until;) {
    pauseMs(std::min<std::int64_t>(StepMs, until - elapsedMs()));
    if (HasCrashed || hasInput(Connection))
      return false;
  }
  return true;
}

auto Server::respond(Message const &Request, Socket const &Connection) -> bool {
  auto const expected = Request.field("Expect-Instance");
  if (!expected.empty() && expected != Entry.Id) {
    auto lock = std::lock_guard(Mutex);
    Arrivals.push_back({Request.field("Attempt-Id"), elapsedMs(), true});
    return Connection.sendAll(
        writeResponse(421,
                      {{"Instance-Id", Entry.Id},
                       {"Attempt-Id", Request.field("Attempt-Id")}},
                      ""));
  }
  if (Request.path() == "/-/report") {
    auto const report =
        json{{"stage", Stage},
             {"models",
              {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}},
             {"busy", false},
             {"seq", OrdersTaken.load()},
             {"queued", 0},
             {"running", Running.load()},
             {"kv_used", 0},
             {"kv_total", 531757},
             {"handles", 0}};
    return Connection.sendAll(writeResponse(
        200, {{"Content-Type", "application/json"}}, report.dump()));
  }
  if (Request.path() == "/-/order")
    return Connection.sendAll(writeResponse(takeOrder(Request), {}, ""));
  if (Request.path().rfind("/-/", 0) == 0)
    return Connection.sendAll(writeResponse(200, {}, ""));
  if (Request.path() == "/health")
    return Connection.sendAll(
        writeResponse(200, {{"Instance-Id", Entry.Id}}, ""));
  return respondToRequest(Request, Connection);
}

auto Server::takeOrder(Message const &Request) -> int {
  auto const body = json::parse(Request.Body, nullptr, false);
  auto const next = body.value("stage", "");
  auto lock = std::lock_guard(Mutex);
  if (next == Stage)
    return 200;
  ++OrdersTaken;
  startThread([this, next] {
    pauseMs(StageChangeMs);
    auto lock = std::lock_guard(Mutex);
    Stage = next;
  });
  return 202;
}

auto Server::respondToRequest(Message const &Request, Socket const &Connection)
    -> bool {
  auto const id = Request.field("Attempt-Id");
  auto isPrefill = Request.field("Serving-Stage") == "prefill";
  {
    auto lock = std::lock_guard(Mutex);
    Arrivals.push_back({id, elapsedMs(), false});
    if (!Stage.empty() && isPrefill != (Stage == "prefill"))
      return Connection.sendAll(writeResponse(421, {{"Attempt-Id", id}}, ""));
  }
  if (Running >= Entry.Slots * 4)
    return Connection.sendAll(
        writeResponse(503, {{"Not-Executed", "1"}, {"Attempt-Id", id}}, ""));
  ++Running;
  auto isOpen = work(Connection, WorkMs);
  if (isOpen && isPrefill)
    isOpen = Connection.sendAll(writeResponse(
        200, {{"Attempt-Id", id}},
        json{{"kv_handle", "h" + id}, {"tokens", 10}, {"version", 1}}.dump()));
  else if (isOpen && !Stage.empty())
    isOpen = stream(Connection, id);
  else if (isOpen)
    isOpen = answerPlainly(Connection, id);
  --Running;
  return isOpen;
}

auto Server::answerPlainly(Socket const &Connection, std::string const &Id)
    -> bool {
  auto const body = std::string(AnswerBytes, 'x');
  auto const number = ++Answers;
  if (SpoilInterval == 0 || number % SpoilInterval != 0)
    return Connection.sendAll(writeResponse(200,
                                            {{"Attempt-Id", Id},
                                             {"Server-Seal", Entry.Id},
                                             {"Keep-Alive", "timeout=30"}},
                                            body));
  // 800 bytes are 320 in hexadecimal.
  auto text = "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id +
              "\r\nServer-Seal: " + Entry.Id +
              "\r\nTransfer-Encoding: chunked, gzip\r\n\r\n320\r\n";
  text += body;
  text += "\r\n0\r\n\r\n";
  (void)Connection.sendAll(text);
  return false;
}

auto Server::stream(Socket const &Connection, std::string const &Id) -> bool {
  constexpr auto EventPauseMs = 20;
  auto text = "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id +
              "\r\nServer-Seal: " + Entry.Id +
              "\r\nContent-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n";
  if (!Connection.sendAll(text))
    return false;
  for (auto n = 1; n <= Events; ++n) {
    auto const event = "id: " + std::to_string(n) + "\ndata: token\n\n";
    auto size = std::array<char, 16>{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    auto chunk = std::string(size.data());
    chunk += event;
    chunk += "\r\n";
    if (!Connection.sendAll(chunk) || !work(Connection, EventPauseMs))
      return false;
  }
  return Connection.sendAll("0\r\n\r\n");
}

} // namespace review
