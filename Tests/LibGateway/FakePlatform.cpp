#include "LibGateway/FakePlatform.h"

#include "LibNet/HttpServer.h"

#include <atomic>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace dotterel::test {

namespace {

using nlohmann::json;

constexpr auto StorePort = 21741;
constexpr auto ServerPort = 21742;
constexpr auto FirstRevision = std::uint64_t{10};

auto address(int Port) -> std::string {
  return fmt::format("127.0.0.1:{}", Port);
}

auto configuration() -> json {
  auto route = [](std::string const &Name, std::string const &Kind) {
    return json{{"name", Name},
                {"host", "h.example"},
                {"path_prefix", "/" + Name + "/"},
                {"kind", Kind},
                {"timeout_ms", 2000},
                {"target_latency_ms", 300},
                {"priority", 0},
                {"service", "s1"},
                {"max_attempts", 1},
                {"target_gap_ms", 200}};
  };
  return {{"version", 3},
          {"routes",
           {route("once", "non_idempotent"), route("stream", "streaming")}},
          {"services", {{{"name", "s1"}, {"max_conns", 100}}}}};
}

} // namespace

struct FakePlatform::Implementation {
  explicit Implementation(std::string AnnouncedAddress)
      : AnnouncedAddress(AnnouncedAddress.empty()
                             ? address(ServerPort)
                             : std::move(AnnouncedAddress)),
        Store(
            Context, address(StorePort), HttpLimits{},
            [this](HttpExchange &it) { return serveStore(it); }, refuse),
        Server(
            Context, address(ServerPort), HttpLimits{},
            [this](HttpExchange &it) { return serve(it); }, refuse) {
    Store.start();
    Server.start();
    Thread = std::thread([this] { Context.run(); });
  }

  ~Implementation() {
    Context.stop();
    Thread.join();
  }

  static auto refuse(ResultCode Code) -> HttpResponse {
    return {describe(Code).HttpStatus, "", {}, ""};
  }

  auto serverObject() -> json {
    return {{"metadata", {{"name", "i-1"}, {"revision", Revision.load()}}},
            {"spec",
             {{"service", "s1"},
              {"address", AnnouncedAddress},
              {"zone", "z1"},
              {"slots", 6},
              {"state", IsDraining ? "draining" : "ready"},
              {"born", 1000}}}};
  }

  auto serveStore(HttpExchange &Exchange) -> Awaitable<void> {
    auto path = std::string(Exchange.path());
    auto watched = Exchange.query("watch");
    if (path == "/-/objects/quarantine")
      co_return co_await serveQuarantine(Exchange);
    if (Exchange.method() != "GET")
      ++Registrations;
    auto items = json::array();
    if (path == "/-/objects/servers")
      items.push_back(serverObject());
    if (path == "/-/objects/config")
      items.push_back({{"metadata", {{"name", "main"}, {"revision", 2}}},
                       {"spec", configuration()}});
    auto body = json{{"as_of", Revision.load()}};
    if (watched.empty()) {
      body["items"] = items;
      body["more_pages"] = false;
    } else {
      co_await waitForNewer(std::stoull(watched));
      if (std::stoull(watched) > Revision)
        co_return co_await respondFromStore(Exchange, 410, "");
      body["as_of"] = Revision.load();
      body["events"] = json::array();
      if (path == "/-/objects/servers" && Revision > std::stoull(watched))
        body["events"].push_back(
            {{"deleted", false}, {"object", serverObject()}});
    }
    co_await respondFromStore(Exchange, 200, body.dump());
  }

  auto serveQuarantine(HttpExchange &Exchange) -> Awaitable<void> {
    auto items = json::array();
    {
      auto lock = std::lock_guard(Mutex);
      if (Exchange.method() == "POST") {
        auto object = json::parse(Exchange.body());
        Quarantine.insert(object["metadata"]["name"].get<std::string>());
      }
      for (auto const &it : Quarantine)
        items.push_back({{"metadata", {{"name", it}, {"revision", 3}}},
                         {"spec", json::object()}});
    }
    auto body = json{
        {"as_of", Revision.load()}, {"items", items}, {"more_pages", false}};
    co_await respondFromStore(Exchange, 200, body.dump());
  }

  auto respondFromStore(HttpExchange &Exchange, unsigned Status,
                        std::string Body) -> Awaitable<void> {
    co_await Exchange.respond({Status,
                               "application/json",
                               {{"Store-Era", std::to_string(Era.load())}},
                               std::move(Body)});
  }

  auto waitForNewer(std::uint64_t Known) -> Awaitable<void> {
    auto timer = asio::steady_timer(Context);
    auto const era = Era.load();
    for (auto n = 0; n < 20 && Revision <= Known && Era == era; ++n) {
      timer.expires_after(10ms);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  auto serve(HttpExchange &Exchange) -> Awaitable<void> {
    ++Served;
    auto fields = std::string{};
    Exchange.visitFields([&](std::string_view Name, std::string_view Value) {
      fields += fmt::format("{}: {}\n", Name, Value);
    });
    {
      auto lock = std::lock_guard(Mutex);
      LastFields = fields;
    }
    auto id = Exchange.field("Attempt-Id");
    switch (Mode.load()) {
    case ServerMode::Close:
      co_return Exchange.abort();
    case ServerMode::Refuse:
      co_return co_await Exchange.respond(
          {503, "", {{"Not-Executed", "1"}}, ""});
    case ServerMode::Leave:
      co_return co_await Exchange.respond(
          {200,
           "text/plain",
           {{"Attempt-Id", id}, {"Server-Seal", "s"}, {"Server-Leaving", "1"}},
           "left"});
    case ServerMode::Limit:
      co_return co_await Exchange.respond(
          {200,
           "text/plain",
           {{"Attempt-Id", id}, {"Server-Seal", "s"}, {"Server-Limit", "2"}},
           "limited"});
    case ServerMode::Pause:
      co_return co_await Exchange.respond(
          {503, "", {{"Not-Executed", "1"}, {"Retry-After", "3600"}}, ""});
    case ServerMode::StaleResponse:
      co_await respond(Exchange, "another", "late");
      co_return co_await respond(Exchange, id, "right");
    case ServerMode::Echo:
      co_return co_await respond(Exchange, id, Exchange.body());
    case ServerMode::Stream:
    case ServerMode::TruncatedStream:
      co_return co_await stream(Exchange, id);
    }
  }

  static auto respond(HttpExchange &Exchange, std::string Id, std::string Body)
      -> Awaitable<void> {
    co_await Exchange.respond(
        {200,
         "text/plain",
         {{"Attempt-Id", std::move(Id)}, {"Server-Seal", "seal-1"}},
         std::move(Body)});
  }

  auto stream(HttpExchange &Exchange, std::string Id) -> Awaitable<void> {
    co_await Exchange.beginStream(
        "text/event-stream",
        {{"Attempt-Id", std::move(Id)}, {"Server-Seal", "seal-1"}});
    for (auto n = 1; n <= 2; ++n)
      co_await Exchange.writeChunk(fmt::format("id: {}\ndata: {}\n\n", n, n));
    if (Mode == ServerMode::TruncatedStream) {
      co_await Exchange.writeChunk("id: 3\ndat");
      co_return Exchange.abort();
    }
    co_await Exchange.writeChunk("id: 3\ndata: 3\n\n");
    co_await Exchange.endStream();
  }

  std::string AnnouncedAddress;
  asio::io_context Context{1};
  std::atomic<ServerMode> Mode = ServerMode::Echo;
  std::atomic<bool> IsDraining = false;
  std::atomic<std::uint64_t> Revision = FirstRevision;
  std::atomic<std::uint64_t> Era = 0;
  std::atomic<unsigned> Registrations = 0;
  std::atomic<unsigned> Served = 0;
  std::mutex Mutex;
  std::string LastFields;
  std::set<std::string> Quarantine;
  HttpServer Store;
  HttpServer Server;
  std::thread Thread;
};

FakePlatform::FakePlatform(std::string ServerAddress)
    : Impl(std::make_unique<Implementation>(std::move(ServerAddress))) {}

FakePlatform::~FakePlatform() = default;

auto FakePlatform::setMode(ServerMode Mode) -> void { Impl->Mode = Mode; }

auto FakePlatform::drainServer() -> void {
  Impl->IsDraining = true;
  ++Impl->Revision;
}

auto FakePlatform::restoreStore() -> void {
  Impl->IsDraining = false;
  Impl->Revision = FirstRevision;
  {
    auto lock = std::lock_guard(Impl->Mutex);
    Impl->Quarantine.clear();
  }
  ++Impl->Era;
}

auto FakePlatform::addQuarantine(std::string const &Name) -> void {
  auto lock = std::lock_guard(Impl->Mutex);
  Impl->Quarantine.insert(Name);
}

auto FakePlatform::quarantine() const -> std::set<std::string> {
  auto lock = std::lock_guard(Impl->Mutex);
  return Impl->Quarantine;
}

auto FakePlatform::registrations() const -> unsigned {
  return Impl->Registrations;
}

auto FakePlatform::storeAddress() const -> std::string {
  return address(StorePort);
}

auto FakePlatform::served() const -> unsigned { return Impl->Served; }

auto FakePlatform::lastFields() const -> std::string {
  auto lock = std::lock_guard(Impl->Mutex);
  return Impl->LastFields;
}

} // namespace dotterel::test
