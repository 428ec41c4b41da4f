/// \file
/// Runs one case of the second review: starts the project's relaying instance
/// as a process of its own, plays the platform's store, the servers and the
/// clients on loopback addresses, and writes what they saw to a record. All
/// stand-ins share one event loop, so the instance cannot delay them.
#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>
#include <queue>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

/// Milliseconds of the steady clock since the start of the run.
auto now() -> double {
  static auto start = 0.0;
  auto it = timespec{};
  clock_gettime(CLOCK_MONOTONIC, &it);
  auto const ms = static_cast<double>(it.tv_sec) * 1e3 +
                  static_cast<double>(it.tv_nsec) / 1e6;
  if (start == 0)
    start = ms;
  return ms - start;
}

std::ofstream Record;

auto record(char const *Format, ...) -> void {
  char text[2048];
  auto list = va_list{};
  va_start(list, Format);
  vsnprintf(text, sizeof text, Format, list);
  va_end(list);
  Record << text << '\n';
}

/// The case could not be run.
[[noreturn]] auto giveUp(std::string const &Reason) -> void {
  record("cannot run: %s", Reason.c_str());
  Record.flush();
  throw std::runtime_error(Reason);
}

auto field(std::string const &Header, std::string const &Name) -> std::string {
  auto at = std::size_t{0};
  while ((at = Header.find("\r\n", at)) != std::string::npos) {
    at += 2;
    if (strncasecmp(Header.c_str() + at, Name.c_str(), Name.size()) != 0 ||
        Header[at + Name.size()] != ':')
      continue;
    auto from = Header.find_first_not_of(' ', at + Name.size() + 1);
    return Header.substr(from, Header.find("\r\n", from) - from);
  }
  return {};
}

auto endpoint(std::string const &Address) -> sockaddr_in {
  auto const colon = Address.find(':');
  auto result = sockaddr_in{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(
      std::strtoul(Address.c_str() + colon + 1, nullptr, 10)));
  inet_pton(AF_INET, Address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

/// One event loop for all stand-ins.
class Loop {
public:
  struct Connection {
    int Handle = -1;
    std::string In;
    std::string Out;
    bool ClosesAfterOut = false;
    bool IsOpen = true;
    /// Called with new input in In.
    std::function<void(Connection &)> OnInput;
    std::function<void(Connection &)> OnClose;
  };
  using Pointer = std::shared_ptr<Connection>;

  auto after(double Delay, std::function<void()> Task) -> void {
    Timers.push({now() + Delay, ++LastTimer, std::move(Task)});
  }

  auto listen(std::string const &Address,
              std::function<void(Pointer const &)> OnAccept) -> void {
    auto const handle = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    auto const yes = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    auto const at = endpoint(Address);
    if (::bind(handle, reinterpret_cast<sockaddr const *>(&at), sizeof at) !=
            0 ||
        ::listen(handle, 1024) != 0)
      giveUp("no free address " + Address);
    Listeners.push_back({handle, std::move(OnAccept)});
  }

  auto connect(std::string const &Address) -> Pointer {
    auto connection = std::make_shared<Connection>();
    connection->Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    auto const at = endpoint(Address);
    (void)::connect(connection->Handle, reinterpret_cast<sockaddr const *>(&at),
                    sizeof at);
    Connections.push_back(connection);
    return connection;
  }

  auto close(Connection &Target) -> void {
    if (!Target.IsOpen)
      return;
    Target.IsOpen = false;
    ::close(Target.Handle);
    if (auto notify = std::exchange(Target.OnClose, nullptr))
      notify(Target);
  }

  auto run(double Until) -> void {
    while (!IsStopped && now() < Until)
      step(Until);
  }

  auto stop() -> void { IsStopped = true; }

private:
  struct Timer {
    double At;
    std::uint64_t Number;
    std::function<void()> Task;
    auto operator<(Timer const &Other) const -> bool {
      return std::pair(At, Number) > std::pair(Other.At, Other.Number);
    }
  };
  struct Listener {
    int Handle;
    std::function<void(Pointer const &)> OnAccept;
  };

  auto step(double Until) -> void {
    std::erase_if(Connections, [](auto const &it) { return !it->IsOpen; });
    auto polled = std::vector<pollfd>{};
    for (auto const &it : Listeners)
      polled.push_back({it.Handle, POLLIN, 0});
    auto const open = Connections;
    for (auto const &it : open)
      polled.push_back(
          {it->Handle,
           static_cast<short>(POLLIN | (it->Out.empty() ? 0 : POLLOUT)), 0});
    auto const next = Timers.empty() ? Until : Timers.top().At;
    auto const wait = std::max(0.0, std::min(next, Until) - now());
    ::poll(polled.data(), polled.size(), static_cast<int>(wait) + 1);
    for (auto n = std::size_t{0}; n < Listeners.size(); ++n) {
      if (polled[n].revents != 0)
        accept(Listeners[n]);
    }
    for (auto n = std::size_t{0}; n < open.size(); ++n)
      serve(*open[n], polled[Listeners.size() + n].revents);
    while (!Timers.empty() && Timers.top().At <= now()) {
      auto const task = Timers.top().Task;
      Timers.pop();
      task();
    }
  }

  auto accept(Listener const &Target) -> void {
    for (auto handle = 0; handle >= 0;) {
      handle = ::accept4(Target.Handle, nullptr, nullptr, SOCK_NONBLOCK);
      if (handle < 0)
        return;
      auto const yes = 1;
      setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      auto connection = std::make_shared<Connection>();
      connection->Handle = handle;
      Connections.push_back(connection);
      Target.OnAccept(connection);
    }
  }

  auto serve(Connection &Target, short Events) -> void {
    if (!Target.IsOpen || Events == 0)
      return;
    if ((Events & POLLOUT) != 0 && !Target.Out.empty()) {
      auto const n = ::send(Target.Handle, Target.Out.data(), Target.Out.size(),
                            MSG_NOSIGNAL);
      if (n > 0)
        Target.Out.erase(0, static_cast<std::size_t>(n));
      if (Target.Out.empty() && Target.ClosesAfterOut)
        return close(Target);
    }
    if ((Events & (POLLIN | POLLHUP | POLLERR)) == 0)
      return;
    char bytes[65536];
    auto const n = ::recv(Target.Handle, bytes, sizeof bytes, 0);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINPROGRESS))
      return close(Target);
    if (n < 0)
      return;
    Target.In.append(bytes, static_cast<std::size_t>(n));
    if (Target.OnInput)
      Target.OnInput(Target);
  }

  std::vector<Pointer> Connections;
  std::vector<Listener> Listeners;
  std::priority_queue<Timer> Timers;
  std::uint64_t LastTimer = 0;
  bool IsStopped = false;
};

/// A request as a stand-in receives it.
struct Message {
  std::string Method;
  std::string Target;
  std::string Header;
  std::string Body;
};

/// Takes the next complete request from \p In. The instance sends bodies with
/// their length.
auto takeMessage(std::string &In, Message &Output) -> bool {
  auto const end = In.find("\r\n\r\n");
  if (end == std::string::npos)
    return false;
  auto const header = In.substr(0, end + 2);
  auto const length =
      std::strtoul(field(header, "Content-Length").c_str(), nullptr, 10);
  if (In.size() < end + 4 + length)
    return false;
  auto line = std::istringstream(header);
  Output = {};
  line >> Output.Method >> Output.Target;
  Output.Header = header;
  Output.Body = In.substr(end + 4, length);
  In.erase(0, end + 4 + length);
  return true;
}

auto respond(Loop::Connection &Target, std::string const &Status,
             std::string const &Body, std::string const &Fields = "") -> void {
  Target.Out +=
      "HTTP/1.1 " + Status + "\r\nContent-Type: application/json\r\n" + Fields +
      "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// The platform's store: objects by kind and name, lists, watches, and
/// conditional writes.
class Store {
public:
  Store(Loop &Events, std::string const &Address) : Events(Events) {
    Events.listen(Address, [this](Loop::Pointer const &it) {
      it->OnInput = [this, weak = std::weak_ptr(it)](Loop::Connection &) {
        auto const connection = weak.lock();
        auto message = Message{};
        while (connection && takeMessage(connection->In, message))
          serve(connection, message);
      };
    });
  }

  auto put(std::string const &Kind, std::string const &Name,
           std::string const &Spec) -> void {
    Objects[Kind][Name] = {++Revision, Spec};
    changed(Kind, Name, false);
  }

  auto remove(std::string const &Kind, std::string const &Name) -> void {
    auto const text = objectText(Name, Objects[Kind][Name]);
    Objects[Kind].erase(Name);
    ++Revision;
    changed(Kind, Name, true, text);
  }

private:
  struct Object {
    std::uint64_t Revision = 0;
    std::string Spec;
  };
  struct Change {
    std::uint64_t Revision;
    std::string Kind;
    std::string Text;
  };
  struct Watch {
    std::weak_ptr<Loop::Connection> Connection;
    std::string Kind;
    std::uint64_t From;
    std::uint64_t Number;
  };

  static auto objectText(std::string const &Name, Object const &It)
      -> std::string {
    return R"({"metadata":{"name":")" + Name + R"(","revision":)" +
           std::to_string(It.Revision) +
           R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" +
           It.Spec + R"(,"status":null})";
  }

  auto changed(std::string const &Kind, std::string const &Name, bool IsDeleted,
               std::string const &Old = "") -> void {
    auto const object = IsDeleted ? Old : objectText(Name, Objects[Kind][Name]);
    History.push_back({Revision, Kind,
                       std::string(R"({"deleted":)") +
                           (IsDeleted ? "true" : "false") + R"(,"object":)" +
                           object + "}"});
    auto const waiting = std::exchange(Watches, {});
    for (auto const &it : waiting) {
      if (it.Kind == Kind)
        answerWatch(it);
      else
        Watches.push_back(it);
    }
  }

  auto answerWatch(Watch const &Target) -> void {
    auto const connection = Target.Connection.lock();
    if (!connection || !connection->IsOpen)
      return;
    auto events = std::string{};
    for (auto const &it : History) {
      if (it.Kind == Target.Kind && it.Revision > Target.From)
        events += (events.empty() ? "" : ",") + it.Text;
    }
    respond(*connection, "200 OK",
            R"({"events":[)" + events + R"(],"as_of":)" +
                std::to_string(Revision) + "}");
  }

  static auto query(std::string const &Target, std::string const &Name)
      -> std::string {
    auto const at = Target.find(Name + "=");
    if (at == std::string::npos)
      return {};
    auto const from = at + Name.size() + 1;
    return Target.substr(from, Target.find('&', from) - from);
  }

  static auto between(std::string const &Text, std::string const &Key)
      -> std::string {
    auto at = Text.find("\"" + Key + "\":");
    if (at == std::string::npos)
      return {};
    at += Key.size() + 3;
    auto const end = Text[at] == '"' ? Text.find('"', at + 1) + 1
                                     : Text.find_first_of(",}", at);
    auto value = Text.substr(at, end - at);
    return value.starts_with('"') ? value.substr(1, value.size() - 2) : value;
  }

  /// Returns the object that begins after "spec".
  static auto specOf(std::string const &Body) -> std::string {
    auto const from = Body.find("\"spec\":") + 7;
    auto depth = 0;
    for (auto n = from; n < Body.size(); ++n) {
      depth += Body[n] == '{' ? 1 : Body[n] == '}' ? -1 : 0;
      if (depth == 0)
        return Body.substr(from, n + 1 - from);
    }
    return "{}";
  }

  auto serve(Loop::Pointer const &Connection, Message const &It) -> void {
    constexpr auto Prefix = std::string_view{"/-/objects/"};
    auto const path = It.Target.substr(0, It.Target.find('?'));
    auto const rest = path.substr(std::min(path.size(), Prefix.size()));
    auto const slash = rest.find('/');
    auto const kind = rest.substr(0, slash);
    auto name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    auto &objects = Objects[kind];
    if (It.Method == "GET" && name.empty() &&
        It.Target.find("watch=") != std::string::npos) {
      auto watch =
          Watch{Connection, kind,
                std::strtoull(query(It.Target, "watch").c_str(), nullptr, 10),
                ++LastWatch};
      auto const isNew =
          !History.empty() &&
          std::any_of(History.begin(), History.end(), [&](auto const &Past) {
            return Past.Kind == kind && Past.Revision > watch.From;
          });
      if (isNew)
        return answerWatch(watch);
      Watches.push_back(watch);
      Events.after(std::strtod(query(It.Target, "wait_ms").c_str(), nullptr),
                   [this, number = watch.Number] {
                     for (auto it = Watches.begin(); it != Watches.end();
                          ++it) {
                       if (it->Number != number)
                         continue;
                       auto const ended = *it;
                       Watches.erase(it);
                       return answerWatch(ended);
                     }
                   });
      return;
    }
    if (It.Method == "GET" && name.empty()) {
      auto items = std::string{};
      for (auto const &[id, object] : objects)
        items += (items.empty() ? "" : ",") + objectText(id, object);
      return respond(*Connection, "200 OK",
                     R"({"items":[)" + items +
                         R"(],"more_pages":false,"as_of":)" +
                         std::to_string(Revision) + "}");
    }
    if (It.Method == "POST")
      name = between(It.Body, "name");
    auto const exists = objects.contains(name);
    if (It.Method != "POST" && !exists)
      return respond(*Connection, "404 Not Found", "{}");
    auto const expected =
        It.Method == "PUT" ? between(It.Body, "revision") : "";
    if ((It.Method == "POST" && exists) ||
        (!expected.empty() &&
         expected != std::to_string(objects[name].Revision)))
      return respond(*Connection, "409 Conflict",
                     objectText(name, objects[name]));
    if (It.Method == "DELETE") {
      remove(kind, name);
      return respond(*Connection, "200 OK", "{}");
    }
    if (It.Method != "GET")
      put(kind, name, specOf(It.Body));
    respond(*Connection, It.Method == "POST" ? "201 Created" : "200 OK",
            objectText(name, objects[name]));
  }

  Loop &Events;
  std::uint64_t Revision = 100;
  std::uint64_t LastWatch = 0;
  std::map<std::string, std::map<std::string, Object>> Objects;
  std::vector<Change> History;
  std::vector<Watch> Watches;
};

/// A part of a response and the time after the request at which it is sent.
struct Part {
  double At = 0;
  std::string Bytes;
};

/// Servers of one service. Each answers a request with the parts that \p Plan
/// returns, and drops it when its channel closes.
class Servers {
public:
  using Planner = std::function<std::vector<Part>(std::size_t Server,
                                                  Message const &Request)>;

  Servers(Loop &Events, Store &Registry, std::string const &Service,
          std::vector<std::string> const &Addresses, unsigned Slots,
          Planner Plan)
      : Events(Events), Plan(std::move(Plan)) {
    for (auto n = std::size_t{0}; n < Addresses.size(); ++n) {
      auto const id = "i-" + Service + std::to_string(n);
      Events.listen(Addresses[n], [this, n, id](Loop::Pointer const &it) {
        it->OnInput = [this, n, id, weak = std::weak_ptr(it)](
                          Loop::Connection &) { serve(weak, n, id); };
      });
      Registry.put("servers", id,
                   R"({"service":")" + Service + R"(","address":")" +
                       Addresses[n] +
                       R"(","zone":"z1","version":"v1","slots":)" +
                       std::to_string(Slots) +
                       R"(,"state":"ready","cold_left_ms":0,"seq":1,"born":)" +
                       std::to_string(1700000000000 + n) + "}");
    }
  }

  std::size_t Received = 0;
  /// Ids of the requests that were received.
  std::set<std::string> Ids;

private:
  auto serve(std::weak_ptr<Loop::Connection> const &Weak, std::size_t Server,
             std::string const &Id) -> void {
    auto const connection = Weak.lock();
    auto message = Message{};
    while (connection && connection->IsOpen &&
           takeMessage(connection->In, message)) {
      auto const expected = field(message.Header, "Expect-Instance");
      if (!expected.empty() && expected != Id) {
        respond(*connection, "421 Misdirected Request", "{}",
                "Attempt-Id: " + field(message.Header, "Attempt-Id") +
                    "\r\nInstance-Id: " + Id + "\r\n");
        continue;
      }
      ++Received;
      Ids.insert(field(message.Header, "Attempt-Id"));
      for (auto const &it : Plan(Server, message)) {
        Events.after(it.At, [Weak, bytes = it.Bytes] {
          auto const target = Weak.lock();
          if (target && target->IsOpen)
            target->Out += bytes;
        });
      }
    }
  }

  Loop &Events;
  Planner Plan;
};

auto seal(Message const &Request) -> std::string {
  auto const id = field(Request.Header, "Attempt-Id");
  return "Attempt-Id: " + id + "\r\nServer-Seal: seal-" + id + "\r\n";
}

auto chunk(std::string const &Bytes) -> std::string {
  char size[32];
  snprintf(size, sizeof size, "%zx\r\n", Bytes.size());
  return size + Bytes + "\r\n";
}

/// A stream of \p Count events, the first after \p First ms.
auto planStream(Message const &Request, double First, unsigned Count,
                double Gap) -> std::vector<Part> {
  auto parts = std::vector<Part>{};
  for (auto n = 1U; n <= Count; ++n) {
    auto bytes = chunk("id: " + std::to_string(n) + "\ndata: token\n\n");
    if (n == 1)
      bytes.insert(0, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                          seal(Request) + "Transfer-Encoding: chunked\r\n\r\n");
    if (n == Count)
      bytes += "0\r\n\r\n";
    parts.push_back({First + Gap * (n - 1), std::move(bytes)});
  }
  return parts;
}

/// A response of 800 bytes after \p Delay ms.
auto planPlain(Message const &Request, double Delay) -> std::vector<Part> {
  return {{Delay, "HTTP/1.1 200 OK\r\n" + seal(Request) +
                      "Content-Length: 800\r\n\r\n" + std::string(800, 'x')}};
}

/// One request of a client on a channel of its own.
struct Call {
  std::string Id;
  double SentAt = 0;
  double FirstAt = -1;
  /// When the response was complete, or the channel closed.
  double EndedAt = -1;
  unsigned Status = 0;
  bool IsComplete = false;
  bool HasLeft = false;
  Loop::Pointer Connection;
};
using CallPointer = std::shared_ptr<Call>;

class Client {
public:
  Client(Loop &Events, std::string Front)
      : Events(Events), Front(std::move(Front)) {}

  /// Sends a request with the further header lines \p Fields. The client leaves
  /// after \p LeaveAfter ms, unless that is 0.
  auto send(std::string const &Method, std::string const &Path,
            unsigned DeadlineMs, std::string const &Fields,
            double LeaveAfter = 0) -> CallPointer {
    auto call = std::make_shared<Call>();
    char id[32];
    snprintf(id, sizeof id, "%016llx", 0x9c41d07b00000000ULL + ++Last);
    call->Id = id;
    call->SentAt = now();
    call->Connection = Events.connect(Front);
    call->Connection->Out =
        Method + " " + Path +
        " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id +
        "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\n" +
        (Method == "POST" ? "Content-Length: 0\r\n" : "") + Fields + "\r\n";
    auto weak = std::weak_ptr(call);
    call->Connection->OnInput = [this, weak](Loop::Connection &) {
      if (auto const it = weak.lock())
        read(*it);
    };
    call->Connection->OnClose = [weak](Loop::Connection &) {
      auto const it = weak.lock();
      if (it && it->EndedAt < 0)
        it->EndedAt = now();
    };
    if (LeaveAfter > 0)
      Events.after(LeaveAfter, [this, call] {
        call->HasLeft = call->EndedAt < 0;
        Events.close(*call->Connection);
      });
    Calls.push_back(call);
    return call;
  }

  std::vector<CallPointer> Calls;

private:
  auto read(Call &Target) -> void {
    auto const &in = Target.Connection->In;
    if (Target.FirstAt < 0)
      Target.FirstAt = now();
    auto const end = in.find("\r\n\r\n");
    if (end == std::string::npos)
      return;
    auto const header = in.substr(0, end + 2);
    Target.Status =
        static_cast<unsigned>(std::strtoul(in.c_str() + 9, nullptr, 10));
    auto const isChunked = !field(header, "Transfer-Encoding").empty();
    auto const length =
        std::strtoul(field(header, "Content-Length").c_str(), nullptr, 10);
    Target.IsComplete = isChunked ? in.ends_with("\r\n0\r\n\r\n")
                                  : in.size() >= end + 4 + length;
    if (!Target.IsComplete || Target.EndedAt >= 0)
      return;
    Target.EndedAt = now();
    Events.close(*Target.Connection);
  }

  Loop &Events;
  std::string Front;
  std::uint64_t Last = 0;
};

/// A client that keeps its channel and sends one request after another.
class KeptClient {
public:
  KeptClient(Loop &Events, std::string Front, std::string Path, unsigned Number)
      : Events(Events), Front(std::move(Front)), Path(std::move(Path)),
        Number(Number) {
    open();
  }
  KeptClient(KeptClient const &) = delete;
  auto operator=(KeptClient const &) -> KeptClient & = delete;

  std::size_t Answered = 0;
  std::size_t Succeeded = 0;
  /// Requests on a channel that had been used before, whose channel was closed
  /// without an answer.
  std::vector<std::string> Unanswered;

private:
  static constexpr auto Pause = 10.0;

  auto open() -> void {
    Connection = Events.connect(Front);
    AnsweredOnChannel = 0;
    Connection->OnInput = [this](Loop::Connection &) { read(); };
    Connection->OnClose = [this](Loop::Connection &) {
      if (IsWaiting && AnsweredOnChannel > 0)
        Unanswered.push_back(Id);
      IsWaiting = false;
      Events.after(1000, [this] { open(); });
    };
    send();
  }

  auto send() -> void {
    char id[32];
    snprintf(id, sizeof id, "%08x%08x", 0xc0000000U + Number, ++Sent);
    Id = id;
    IsWaiting = true;
    Connection->Out += "POST " + Path +
                       " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + Id +
                       "\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
  }

  auto read() -> void {
    auto &in = Connection->In;
    auto const end = in.find("\r\n\r\n");
    if (end == std::string::npos)
      return;
    auto const header = in.substr(0, end + 2);
    auto const length =
        std::strtoul(field(header, "Content-Length").c_str(), nullptr, 10);
    if (in.size() < end + 4 + length)
      return;
    Succeeded += in.starts_with("HTTP/1.1 200") ? 1 : 0;
    in.erase(0, end + 4 + length);
    ++Answered;
    ++AnsweredOnChannel;
    IsWaiting = false;
    Events.after(Pause, [this, channel = std::weak_ptr(Connection)] {
      auto const it = channel.lock();
      if (it && it->IsOpen)
        send();
    });
  }

  Loop &Events;
  std::string Front;
  std::string Path;
  unsigned Number;
  unsigned Sent = 0;
  std::string Id;
  bool IsWaiting = false;
  std::size_t AnsweredOnChannel = 0;
  Loop::Pointer Connection;
};

/// The relaying instance, as the deploy file starts it.
class Instance {
public:
  Instance(std::string Host, std::string const &StoreAddress, unsigned Memory)
      : Host(std::move(Host)) {
    char folder[] = "/tmp/review-2-XXXXXX";
    if (mkdtemp(folder) == nullptr)
      giveUp("no temporary folder");
    Folder = folder;
    auto settings = std::ofstream(Folder + "/settings.json");
    settings << R"({"instance":"edge-z1-1","failureDomain":"z1","host":")"
             << this->Host << R"(","callerAddress":")" << front()
             << R"(","readinessAddress":")" << this->Host
             << R"(:8141","directoryAddress":")" << this->Host
             << R"(:8143","peerPort":7380,"storeAddress":")" << StoreAddress
             << R"(","metricsPort":9464,"processorShare":0.17,"memoryMb":)"
             << Memory
             << R"(,"descriptors":2870,"retryRatio":0.2,"retrySlack":119,)"
             << R"("retryWindowSeconds":10,"leavingServerMs":2000,)"
             << R"("serverHeartbeatMs":1200,"leaderTasks":[],)"
             << R"("firstStart":false,"leaveBoundSeconds":8,)"
             << R"("steeringLifetimeSeconds":5})";
    settings.close();
    Pid = ::fork();
    if (Pid != 0)
      return;
    auto const log =
        ::open((Folder + "/log").c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::setenv("DOTTERELSTREAM_SETTINGS", (Folder + "/settings.json").c_str(), 1);
    ::execl("target/dotterelstream", "target/dotterelstream", "relay",
            static_cast<char *>(nullptr));
    ::_exit(127);
  }
  ~Instance() {
    end();
    if (std::getenv("KEEP_LOG") == nullptr) {
      ::unlink((Folder + "/settings.json").c_str());
      ::unlink((Folder + "/log").c_str());
      ::rmdir(Folder.c_str());
    }
  }
  Instance(Instance const &) = delete;
  auto operator=(Instance const &) -> Instance & = delete;

  auto end() -> void {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
    Pid = -1;
  }

  [[nodiscard]] auto front() const -> std::string { return Host + ":8149"; }
  [[nodiscard]] auto ready() const -> std::string { return Host + ":8141"; }

  /// Returns whether the process has ended by itself.
  auto hasEnded() -> bool {
    if (Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) == Pid)
      Pid = -1;
    return Pid < 0;
  }

  /// Returns a figure of /proc/PID/status in MB.
  [[nodiscard]] auto memory(std::string const &Name) const -> double {
    auto status = std::ifstream("/proc/" + std::to_string(Pid) + "/status");
    auto line = std::string{};
    while (std::getline(status, line)) {
      if (line.starts_with(Name + ":"))
        return std::strtod(line.c_str() + Name.size() + 1, nullptr) / 1024;
    }
    return 0;
  }

private:
  std::string Host;
  std::string Folder;
  pid_t Pid = -1;
};

/// What all cases share.
struct Site {
  explicit Site(std::string const &Base, unsigned Memory)
      : Base(Base), Registry(Events, Base + ".2:8142"), Memory(Memory) {}

  auto configure(std::string const &Routes) -> void {
    Registry.put("config", "main",
                 R"({"version":7,"routes":[)" + Routes +
                     R"(],"services":[{"name":"lm","health_path":"/health",)"
                     R"("max_conns":786,"protocol":"h1","tls":false},)"
                     R"({"name":"app","health_path":"/health","max_conns":234,)"
                     R"("protocol":"h1","tls":false}],"limits":{)"
                     R"("max_header_bytes":16384,"max_body_bytes":4194304,)"
                     R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})");
  }

  /// Starts the instance and waits until it counts as ready.
  auto start() -> void {
    Process = std::make_unique<Instance>(Base + ".10", storeAddress(), Memory);
    Clients = std::make_unique<Client>(Events, Process->front());
    auto probes = Client(Events, Process->ready());
    for (auto n = 0; n < 100; ++n) {
      auto const probe = probes.send("GET", "/-/ready", 1000, "");
      Events.run(now() + 100);
      if (probe->Status == 200 && probe->IsComplete) {
        // Long enough to count as in touch.
        Events.run(now() + 3500);
        record("%8.0f ms: the instance is ready, %.0f MB", now(),
               Process->memory("VmRSS"));
        return;
      }
    }
    giveUp("the instance is not ready");
  }

  auto storeAddress() const -> std::string { return Base + ".2:8142"; }

  auto addresses(unsigned First, unsigned Count) const
      -> std::vector<std::string> {
    auto result = std::vector<std::string>{};
    for (auto n = 0U; n < Count; ++n)
      result.push_back(Base + "." + std::to_string(First + n) + ":8080");
    return result;
  }

  std::string Base;
  Loop Events;
  Store Registry;
  unsigned Memory;
  std::unique_ptr<Instance> Process;
  std::unique_ptr<Client> Clients;
};

auto route(std::string const &Name, std::string const &Kind,
           std::string const &Service, unsigned Timeout, unsigned Target,
           std::string const &Further) -> std::string {
  return R"({"name":")" + Name + R"(","host":"site.example","path_prefix":"/)" +
         Name + R"(/","kind":")" + Kind + R"(","timeout_ms":)" +
         std::to_string(Timeout) + R"(,"target_latency_ms":)" +
         std::to_string(Target) + R"(,"priority":1,"service":")" + Service +
         R"(")" + Further + "}";
}

/// A prompt of \p Count parts of one token each; the ids begin at \p First.
auto promptFields(unsigned First, unsigned Count) -> std::string {
  auto value = std::string{};
  for (auto n = 0U; n < Count; ++n) {
    char part[32];
    snprintf(part, sizeof part, "%s%x:1", n == 0 ? "" : ",", First + n);
    value += part;
  }
  return "Model: m\r\nPrompt-Prefix: " + value + "\r\n";
}

struct Lateness {
  std::size_t AtTimeout = 0;
  std::size_t HalfSecondLater = 0;
};

/// Counts the requests that had no final answer at \p Timeout, and half a
/// second later. Those that the clients left, or that began less than that
/// before \p End, are left out.
auto countLate(std::vector<CallPointer> const &Calls, double Timeout,
               double End) -> Lateness {
  auto late = Lateness{};
  for (auto const &it : Calls) {
    if (it->HasLeft || it->SentAt + Timeout + 500 > End)
      continue;
    auto const taken = (it->EndedAt < 0 ? End : it->EndedAt) - it->SentAt;
    late.AtTimeout += taken > Timeout ? 1 : 0;
    late.HalfSecondLater += taken > Timeout + 500 ? 1 : 0;
  }
  return late;
}

#include "Cases.h"

} // namespace

auto main(int Count, char **Values) -> int {
  if (Count != 3)
    return 2;
  Record.open(Values[2]);
  auto const *trouble = std::getenv("TROUBLE");
  auto const hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  auto const pid = static_cast<unsigned>(::getpid());
  auto const base = "127." + std::to_string(20 + pid / 250 % 200) + "." +
                    std::to_string(1 + pid % 250);
  ::signal(SIGPIPE, SIG_IGN);
  (void)now();
  try {
    auto const found = Cases.find(Values[1]);
    if (found == Cases.end())
      return 2;
    auto const isBroken = found->second(base, hasTrouble);
    record("result: the rule %s", isBroken ? "was broken" : "held");
    Record.flush();
    return isBroken ? 1 : 0;
  } catch (std::exception const &error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
