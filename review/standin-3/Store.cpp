#include "Store.h"

#include <sys/socket.h>

namespace review {

namespace {

constexpr auto ObjectsPath = std::string_view{"/-/objects/"};
/// Time in which the store answers a call.
constexpr auto AnswerMs = 4;

auto readBody(Message const &Request) -> json {
  return json::parse(Request.Body, nullptr, false);
}

} // namespace

Store::Store(std::string const &Ip) : Listening{Ip, 0} {
  auto listener = listenOn(Listening);
  serveForever(std::move(listener),
               [this](Socket it) { serve(std::move(it)); });
}

auto Store::describe(std::string const &Name, Object const &Target) -> json {
  return {{"metadata",
           {{"name", Name},
            {"revision", Target.Revision},
            {"created", Target.Created},
            {"finalizers", Target.Finalizers},
            {"deleting", false}}},
          {"spec", Target.Spec},
          {"status", Target.Status}};
}

auto Store::record(std::string const &Kind, std::string const &Name,
                   Object const &Target, bool IsRemoved) -> void {
  History.push_back(
      {Revision,
       Kind,
       {{"deleted", IsRemoved}, {"object", describe(Name, Target)}}});
  Changed.notify_all();
}

auto Store::put(std::string const &Kind, std::string const &Name, json Spec)
    -> std::uint64_t {
  auto lock = std::lock_guard(Mutex);
  auto &object = Objects[Kind][Name];
  object.Revision = ++Revision;
  if (object.Created == 0)
    object.Created = Revision;
  object.Spec = std::move(Spec);
  record(Kind, Name, object, false);
  return Revision;
}

auto Store::refresh(std::string const &Kind, std::string const &Name, json Spec)
    -> void {
  auto lock = std::lock_guard(Mutex);
  auto it = Objects[Kind].find(Name);
  if (it != Objects[Kind].end())
    it->second.Spec = std::move(Spec);
}

auto Store::remove(std::string const &Kind, std::string const &Name) -> void {
  auto lock = std::lock_guard(Mutex);
  auto it = Objects[Kind].find(Name);
  if (it == Objects[Kind].end())
    return;
  auto object = it->second;
  Objects[Kind].erase(it);
  object.Revision = ++Revision;
  record(Kind, Name, object, true);
}

auto Store::serve(Socket Connection) -> void {
  auto buffer = std::string{};
  while (auto request = readMessage(Connection, buffer)) {
    auto const [status, body] = answer(*request);
    if (!Connection.sendAll(writeResponse(
            status, {{"Content-Type", "application/json"}}, body)))
      return;
  }
}

auto Store::answer(Message const &Request) -> std::pair<int, std::string> {
  auto path = Request.path();
  if (path.rfind(ObjectsPath, 0) != 0)
    return {404, "{}"};
  path.erase(0, ObjectsPath.size());
  auto const slash = path.find('/');
  auto const kind = path.substr(0, slash);
  auto const name =
      slash == std::string::npos ? std::string{} : path.substr(slash + 1);
  if (Request.Start[0] == "GET" && !Request.query("watch").empty())
    return watch(Request, kind);
  pauseMs(AnswerMs);
  if (Request.Start[0] == "GET" && name.empty())
    return {200, list(Request, kind)};
  return change(Request, kind, name);
}

auto Store::list(Message const &Request, std::string const &Kind)
    -> std::string {
  constexpr auto PageSize = std::size_t{500};
  auto lock = std::lock_guard(Mutex);
  auto const &objects = Objects[Kind];
  auto items = json::array();
  auto it = objects.upper_bound(Request.query("after"));
  for (; it != objects.end() && items.size() < PageSize; ++it)
    items.push_back(describe(it->first, it->second));
  return json{{"items", items},
              {"more_pages", it != objects.end()},
              {"as_of", Revision}}
      .dump();
}

auto Store::watch(Message const &Request, std::string const &Kind)
    -> std::pair<int, std::string> {
  auto const known = std::stoull(Request.query("watch"));
  auto const wait = std::stoll(Request.query("wait_ms"));
  auto const until = Clock::now() + Milliseconds(wait);
  auto lock = std::unique_lock(Mutex);
  if (known > Revision)
    return {410, "{}"};
  auto events = json::array();
  while (true) {
    for (auto const &it : History) {
      if (it.Kind == Kind && it.Revision > known)
        events.push_back(it.Content);
    }
    if (!events.empty() ||
        Changed.wait_until(lock, until) == std::cv_status::timeout)
      break;
  }
  return {200, json{{"events", events}, {"as_of", Revision}}.dump()};
}

auto Store::change(Message const &Request, std::string const &Kind,
                   std::string const &Name) -> std::pair<int, std::string> {
  auto const &method = Request.Start[0];
  auto const body = readBody(Request);
  auto lock = std::lock_guard(Mutex);
  auto &objects = Objects[Kind];
  if (method == "POST") {
    auto const name = body.at("metadata").at("name").get<std::string>();
    if (auto it = objects.find(name); it != objects.end())
      return {409, describe(name, it->second).dump()};
    auto &object = objects[name];
    object.Revision = object.Created = ++Revision;
    object.Spec = body.value("spec", json(nullptr));
    record(Kind, name, object, false);
    return {201, describe(name, object).dump()};
  }
  auto it = objects.find(Name);
  if (it == objects.end())
    return {404, "{}"};
  auto &object = it->second;
  if (method == "GET")
    return {200, describe(Name, object).dump()};
  auto expected = Request.query("revision");
  if (body.is_object() && body.contains("metadata") &&
      body["metadata"].contains("revision"))
    expected = body["metadata"]["revision"].dump();
  if (!expected.empty() && expected != std::to_string(object.Revision))
    return {409, describe(Name, object).dump()};
  auto const isRemoved = method == "DELETE";
  auto const text = describe(Name, object).dump();
  if (!isRemoved && body.value("spec", json(nullptr)) == object.Spec)
    return {200, text};
  object.Revision = ++Revision;
  if (isRemoved) {
    record(Kind, Name, object, true);
    objects.erase(it);
    return {200, text};
  }
  object.Spec = body.value("spec", json(nullptr));
  record(Kind, Name, object, false);
  return {200, describe(Name, object).dump()};
}

StoreLink::StoreLink(std::string const &Ip, Address Target)
    : Listening{Ip, 0}, Target(std::move(Target)) {
  auto listener = listenOn(Listening);
  serveForever(std::move(listener), [this](Socket it) {
    auto relay = std::make_shared<Socket>(std::move(it));
    auto store = std::make_shared<Socket>(connectTo(this->Target, ""));
    startThread([this, relay, store] { pass(*store, *relay, true); });
    pass(*relay, *store, false);
  });
}

auto StoreLink::delayNext(std::string Text, std::int64_t Ms) -> void {
  auto lock = std::lock_guard(Mutex);
  Awaited = std::move(Text);
  DelayMs = Ms;
}

auto StoreLink::lastDelayEnd() const -> std::int64_t {
  auto lock = std::lock_guard(Mutex);
  return DelayEnd;
}

auto StoreLink::counts() const -> std::pair<int, int> {
  auto lock = std::lock_guard(Mutex);
  return {Segments, Delayed};
}

auto StoreLink::pass(Socket const &From, Socket const &To, bool IsFromStore)
    -> void {
  auto part = std::string{};
  while (From.receive(part)) {
    auto delay = std::int64_t{0};
    if (IsFromStore) {
      auto lock = std::lock_guard(Mutex);
      ++Segments;
      if (!Awaited.empty() && part.find(Awaited) != std::string::npos) {
        delay = DelayMs;
        Awaited.clear();
        ++Delayed;
        DelayEnd = elapsedMs() + delay;
      }
    }
    if (delay > 0)
      pauseMs(delay);
    if (!To.sendAll(part))
      break;
    part.clear();
  }
  ::shutdown(From.handle(), SHUT_RDWR);
  ::shutdown(To.handle(), SHUT_RDWR);
}

} // namespace review
