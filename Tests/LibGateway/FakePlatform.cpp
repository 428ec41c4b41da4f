#include "LibGateway/FakePlatform.h"

#include "LibNet/HttpServer.h"

#include <atomic>
#include <fmt/format.h>
#include <map>
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

auto objectText(std::string_view Name, std::string_view Spec) -> std::string {
  return fmt::format(
      R"({{"metadata":{{"name":"{}","revision":@REVISION}},"spec":{}}})", Name,
      Spec);
}

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
    writeInitialObjects();
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

  /// An object as the store sends it, and the revision of its last change.
  struct StoredText {
    std::string Text;
    std::uint64_t Revision = 0;
  };

  /// Writes the objects that the store holds at the start.
  auto writeInitialObjects() -> void {
    constexpr auto InitialObjects = 2;
    Revision = FirstRevision - InitialObjects;
    putObject("config", "main", objectText("main", configuration().dump()));
    putObject("servers", "i-1", objectText("i-1", serverSpec("ready")));
  }

  auto serverSpec(std::string const &State) const -> std::string {
    return json{{"service", "s1"}, {"address", AnnouncedAddress},
                {"zone", "z1"},    {"slots", 6},
                {"state", State},  {"born", 1000}}
        .dump();
  }

  auto putObject(std::string const &Kind, std::string const &Name,
                 std::string Text) -> void {
    auto lock = std::lock_guard(Mutex);
    auto const revision = Revision + 1;
    constexpr auto Placeholder = std::string_view{"@REVISION"};
    if (auto at = Text.find(Placeholder); at != std::string::npos)
      Text.replace(at, Placeholder.size(), std::to_string(revision));
    Objects[Kind][Name] = {std::move(Text), revision};
    Revision = revision;
  }

  /// Returns the body of a page of \p Kind.
  auto pageText(std::string const &Kind, std::string const &After)
      -> std::string {
    auto lock = std::lock_guard(Mutex);
    auto const &objects = Objects[Kind];
    auto items = std::vector<std::string>{};
    auto it = objects.upper_bound(After);
    for (; it != objects.end() && items.size() < PageSize; ++it)
      items.push_back(it->second.Text);
    return fmt::format(R"({{"as_of":{},"items":[{}],"more_pages":{}}})",
                       Revision.load(), fmt::join(items, ","),
                       it != objects.end());
  }

  /// Returns the body of a watch's response.
  auto changesText(std::string const &Kind, std::uint64_t Known)
      -> std::string {
    auto lock = std::lock_guard(Mutex);
    auto events = std::vector<std::string>{};
    for (auto const &it : Objects[Kind]) {
      if (it.second.Revision > Known)
        events.push_back(
            fmt::format(R"({{"deleted":false,"object":{}}})", it.second.Text));
    }
    return fmt::format(R"({{"as_of":{},"events":[{}]}})", Revision.load(),
                       fmt::join(events, ","));
  }

  auto serveStore(HttpExchange &Exchange) -> Awaitable<void> {
    auto path = std::string(Exchange.path());
    auto watched = Exchange.query("watch");
    constexpr auto Prefix = std::string_view{"/-/objects/"};
    auto const kind = path.substr(std::min(path.size(), Prefix.size()));
    if (kind == "quarantine")
      co_return co_await serveQuarantine(Exchange);
    if (Exchange.method() != "GET")
      ++Registrations;
    if (watched.empty())
      co_return co_await respondFromStore(
          Exchange, 200, pageText(kind, Exchange.query("after")));
    auto const known = std::stoull(watched);
    co_await waitForNewer(known);
    if (known > Revision)
      co_return co_await respondFromStore(Exchange, 410, "");
    co_await respondFromStore(Exchange, 200, changesText(kind, known));
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
  std::atomic<std::uint64_t> Revision = FirstRevision;
  std::atomic<std::uint64_t> Era = 0;
  std::atomic<unsigned> Registrations = 0;
  std::atomic<unsigned> Served = 0;
  std::mutex Mutex;
  std::string LastFields;
  std::set<std::string> Quarantine;
  std::map<std::string, std::map<std::string, StoredText>> Objects;
  std::atomic<std::size_t> PageSize = 500;
  HttpServer Store;
  HttpServer Server;
  std::thread Thread;
};

FakePlatform::FakePlatform(std::string ServerAddress)
    : Impl(std::make_unique<Implementation>(std::move(ServerAddress))) {}

FakePlatform::~FakePlatform() = default;

auto FakePlatform::setMode(ServerMode Mode) -> void { Impl->Mode = Mode; }

auto FakePlatform::drainServer() -> void {
  Impl->putObject("servers", "i-1",
                  objectText("i-1", Impl->serverSpec("draining")));
}

auto FakePlatform::restoreStore() -> void {
  {
    auto lock = std::lock_guard(Impl->Mutex);
    Impl->Quarantine.clear();
    Impl->Objects.clear();
  }
  Impl->writeInitialObjects();
  ++Impl->Era;
}

auto FakePlatform::putObject(std::string const &Kind, std::string const &Name,
                             std::string Text) -> void {
  Impl->putObject(Kind, Name, std::move(Text));
}

auto FakePlatform::setPageSize(std::size_t Objects) -> void {
  Impl->PageSize = Objects;
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
