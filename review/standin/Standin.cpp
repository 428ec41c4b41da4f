#include "Standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <list>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

auto socketAddress(int Port) -> sockaddr_in {
  auto target = sockaddr_in{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<std::uint16_t>(Port));
  target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return target;
}

auto bindTo(int Descriptor, int Port) -> bool {
  auto target = socketAddress(Port);
  return ::bind(Descriptor, reinterpret_cast<sockaddr *>(&target),
                sizeof target) == 0;
}

auto statusText(int Status) -> std::string {
  return std::to_string(Status) + (Status < 300 ? " OK" : " Failure");
}

auto query(std::string const &Target, std::string const &Name) -> std::string {
  auto at = Target.find('?');
  auto input = std::istringstream(at == std::string::npos ? std::string{}
                                                          : Target.substr(at));
  input.get();
  for (auto item = std::string{}; std::getline(input, item, '&');) {
    if (item.starts_with(Name + "="))
      return item.substr(Name.size() + 1);
  }
  return {};
}

auto responseText(int Status, Fields const &Extra, std::string const &Body)
    -> std::string {
  auto text = "HTTP/1.1 " + statusText(Status) + "\r\n";
  for (auto const &it : Extra)
    text += it.first + ": " + it.second + "\r\n";
  return text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

auto unixMilliseconds() -> std::uint64_t {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

auto Record::write(std::string const &Line) -> void {
  auto at =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - Start).count();
  Output << at << " ms " << Line << std::endl;
}

auto Record::add(std::string const &Line) -> void {
  auto lock = std::lock_guard(Mutex);
  write(Line);
}

auto Record::addDetail(std::string const &Kind, std::string const &Line)
    -> void {
  auto lock = std::lock_guard(Mutex);
  if (!IsSummarizing)
    return write(Line);
  ++Counts[Kind];
  if (Clock::now() - SummarizedAt < std::chrono::seconds(1))
    return;
  SummarizedAt = Clock::now();
  for (auto const &it : Counts)
    write(it.first + ": " + std::to_string(it.second) + " so far");
}

auto Message::field(std::string const &Name) const -> std::string {
  for (auto const &it : Fields) {
    if (::strcasecmp(it.first.c_str(), Name.c_str()) == 0)
      return it.second;
  }
  return {};
}

auto Message::status() const -> int {
  constexpr auto StatusAt = std::size_t{9};
  return Start.size() > StatusAt ? std::stoi(Start.substr(StatusAt)) : 0;
}

Channel::~Channel() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

auto Channel::connect(std::string const &Address, int ReceiveBytes) -> bool {
  Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBytes > 0)
    ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                 sizeof ReceiveBytes);
  auto target = socketAddress(std::stoi(Address.substr(Address.find(':') + 1)));
  return ::connect(Descriptor, reinterpret_cast<sockaddr *>(&target),
                   sizeof target) == 0;
}

auto Channel::send(std::string const &Bytes) -> bool {
  for (auto done = std::size_t{0}; done < Bytes.size();) {
    auto n = ::send(Descriptor, Bytes.data() + done, Bytes.size() - done,
                    MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

auto Channel::fill(Clock::time_point Until, std::size_t Limit) -> bool {
  auto left =
      std::chrono::duration_cast<Milliseconds>(Until - Clock::now()).count();
  auto entry = pollfd{Descriptor, POLLIN, 0};
  if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
    return false;
  auto chunk = std::string(Limit, '\0');
  auto n = ::recv(Descriptor, chunk.data(), chunk.size(), 0);
  if (n <= 0)
    return false;
  Buffer.append(chunk, 0, static_cast<std::size_t>(n));
  return true;
}

auto Channel::readHeader(Message &Output, Clock::time_point Until) -> bool {
  constexpr auto HeaderPiece = std::size_t{4096};
  auto end = Buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!fill(Until, HeaderPiece))
      return false;
    end = Buffer.find("\r\n\r\n");
  }
  auto input = std::istringstream(Buffer.substr(0, end));
  Buffer.erase(0, end + 4);
  Output = {};
  for (auto line = std::string{}; std::getline(input, line);) {
    if (line.ends_with('\r'))
      line.pop_back();
    auto colon = line.find(": ");
    if (Output.Start.empty())
      Output.Start = line;
    else if (colon != std::string::npos)
      Output.Fields.emplace_back(line.substr(0, colon), line.substr(colon + 2));
  }
  return true;
}

auto Channel::read(Message &Output, Milliseconds Timeout) -> bool {
  return read(Output, Timeout, 0);
}

auto Channel::read(Message &Output, Milliseconds Timeout, double BytesPerSecond)
    -> bool {
  constexpr auto Piece = std::size_t{16384};
  auto const until = Clock::now() + Timeout;
  if (!readHeader(Output, until))
    return false;
  auto const text = Output.field("Content-Length");
  auto const length = text.empty() ? 0 : std::stoul(text);
  auto const start = Clock::now();
  while (Buffer.size() < length) {
    if (BytesPerSecond > 0) {
      auto due = std::chrono::duration<double>(
          static_cast<double>(Buffer.size()) / BytesPerSecond);
      std::this_thread::sleep_until(
          start + std::chrono::duration_cast<Clock::duration>(due));
    }
    if (!fill(until, Piece)) {
      Output.Body = Buffer;
      return false;
    }
  }
  Output.Body = Buffer.substr(0, length);
  Buffer.erase(0, length);
  return true;
}

struct Listener::State {
  std::mutex Mutex;
  int Descriptor = -1;
  bool IsStopped = false;
  std::list<int> Peers;
};

auto Listener::start(int Port) -> void {
  auto state = std::make_shared<State>();
  state->Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto yes = 1;
  ::setsockopt(state->Descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (!bindTo(state->Descriptor, Port) || ::listen(state->Descriptor, 512) != 0)
    throw std::runtime_error("port in use");
  Current = state;
  std::thread([state, serve = Serve] {
    while (true) {
      auto peer = ::accept4(state->Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      auto lock = std::lock_guard(state->Mutex);
      if (peer < 0 || state->IsStopped) {
        ::close(peer);
        return;
      }
      auto on = 1;
      ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      state->Peers.push_back(peer);
      std::thread([state, serve, peer] {
        auto channel = Channel(peer);
        serve(channel);
        auto inner = std::lock_guard(state->Mutex);
        (void)state->Peers.remove(peer);
      }).detach();
    }
  }).detach();
}

auto Listener::stop() -> void {
  if (!Current)
    return;
  auto lock = std::lock_guard(Current->Mutex);
  Current->IsStopped = true;
  ::shutdown(Current->Descriptor, SHUT_RDWR);
  ::close(Current->Descriptor);
  // Closes with a reset once the thread of the channel lets it go.
  for (auto it : Current->Peers) {
    auto reset = linger{1, 0};
    ::setsockopt(it, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    auto unspecified = sockaddr{};
    unspecified.sa_family = AF_UNSPEC;
    (void)::connect(it, &unspecified, sizeof unspecified);
  }
}

auto freePort() -> int {
  // Below the ports that the system assigns to outgoing connections.
  constexpr auto First = 20000;
  constexpr auto Count = 12000;
  static auto mutex = std::mutex();
  static auto next = static_cast<int>(::getpid() * 37 % Count);
  auto lock = std::lock_guard(mutex);
  while (true) {
    auto const port = First + next;
    next = (next + 1) % Count;
    auto stream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto datagram = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    auto const isFree = bindTo(stream, port) && bindTo(datagram, port);
    ::close(stream);
    ::close(datagram);
    if (isFree)
      return port;
  }
}

auto addressOf(int Port) -> std::string {
  return "127.0.0.1:" + std::to_string(Port);
}

Store::Store()
    : Port(freePort()), Accept([this](Channel &Peer) { serve(Peer); }) {
  Accept.start(Port);
}

Store::~Store() {
  auto lock = std::lock_guard(Mutex);
  IsStopping = true;
  Changed.notify_all();
}

auto Store::change(std::string const &Kind, std::string const &Name, Json Spec)
    -> Json {
  auto &object = Objects[Kind][Name];
  if (!object.is_null() && object["spec"] == Spec)
    return object;
  object = Json{{"metadata",
                 {{"name", Name},
                  {"revision", ++Revision},
                  {"created", Revision},
                  {"finalizers", Json::array()},
                  {"deleting", false}}},
                {"spec", std::move(Spec)},
                {"status", nullptr}};
  History.push_back({Revision, Kind, false, object});
  Changed.notify_all();
  return object;
}

auto Store::put(std::string const &Kind, std::string const &Name, Json Spec)
    -> void {
  auto lock = std::lock_guard(Mutex);
  (void)change(Kind, Name, std::move(Spec));
}

auto Store::erase(std::string const &Kind, std::string const &Name) -> Answer {
  auto it = Objects[Kind].find(Name);
  if (it == Objects[Kind].end())
    return {404, Json::object()};
  it->second["metadata"]["revision"] = ++Revision;
  History.push_back({Revision, Kind, true, it->second});
  Objects[Kind].erase(it);
  Changed.notify_all();
  return {200, Json::object()};
}

auto Store::remove(std::string const &Kind, std::string const &Name) -> void {
  auto lock = std::lock_guard(Mutex);
  (void)erase(Kind, Name);
}

auto Store::count(std::string const &Kind) -> std::size_t {
  auto lock = std::lock_guard(Mutex);
  return Objects[Kind].size();
}

auto Store::list(std::string const &Kind) -> Answer {
  auto items = Json::array();
  for (auto const &it : Objects[Kind])
    items.push_back(it.second);
  return {200,
          Json{{"items", items}, {"more_pages", false}, {"as_of", Revision}}};
}

auto Store::watch(std::string const &Kind, std::uint64_t After,
                  Milliseconds Wait) -> Answer {
  auto lock = std::unique_lock(Mutex);
  auto events = Json::array();
  auto collect = [&] {
    for (auto const &it : History) {
      if (it.Revision > After && it.Kind == Kind)
        events.push_back({{"object", it.Object}, {"deleted", it.IsDeleted}});
    }
    return !events.empty() || IsStopping;
  };
  (void)Changed.wait_for(lock, Wait, collect);
  return {200, Json{{"events", events}, {"as_of", Revision}}};
}

auto Store::write(std::string const &Kind, std::string const &Name,
                  Json const &Body, bool IsNew) -> Answer {
  auto found = Objects[Kind].find(Name);
  if (IsNew && found != Objects[Kind].end())
    return {409, found->second};
  if (!IsNew && found == Objects[Kind].end())
    return {404, Json::object()};
  auto const &metadata = Body.at("metadata");
  if (!IsNew && metadata.contains("revision") &&
      metadata["revision"] != found->second["metadata"]["revision"])
    return {409, found->second};
  return {IsNew ? 201 : 200, change(Kind, Name, Body.at("spec"))};
}

auto Store::answer(Message const &Request) -> Answer {
  auto input = std::istringstream(Request.Start);
  auto method = std::string{};
  auto target = std::string{};
  input >> method >> target;
  auto const path = target.substr(0, target.find('?'));
  constexpr auto Prefix = std::string_view{"/-/objects/"};
  if (!path.starts_with(Prefix))
    return {404, Json::object()};
  auto rest = path.substr(Prefix.size());
  auto slash = rest.find('/');
  auto const kind = rest.substr(0, slash);
  auto const name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (auto after = query(target, "watch"); !after.empty())
    return watch(kind, std::stoull(after),
                 Milliseconds(std::stoi("0" + query(target, "wait_ms"))));
  auto lock = std::lock_guard(Mutex);
  if (method == "DELETE")
    return erase(kind, name);
  if (method == "GET" && name.empty())
    return list(kind);
  if (method == "GET") {
    auto it = Objects[kind].find(name);
    return it == Objects[kind].end() ? Answer{404, Json::object()}
                                     : Answer{200, it->second};
  }
  auto const body = Json::parse(Request.Body);
  auto const isNew = method == "POST";
  return write(kind,
               isNew ? body.at("metadata").at("name").get<std::string>() : name,
               body, isNew);
}

auto Store::serve(Channel &Peer) -> void {
  constexpr auto IdleTimeout = Milliseconds{60000};
  auto request = Message{};
  while (Peer.read(request, IdleTimeout)) {
    auto const result = answer(request);
    if (!Peer.send(responseText(result.first,
                                {{"Content-Type", "application/json"}},
                                result.second.dump())))
      return;
  }
}

Server::Server(Store &Registry, Record &Log, Options Settings)
    : Registry(Registry), Log(Log), Settings(std::move(Settings)),
      Port(freePort()), Accept([this](Channel &Peer) { serve(Peer); }) {}

auto Server::start() -> void {
  Accept.start(Port);
  Registry.put("servers", Settings.Id,
               {{"service", Settings.Service},
                {"address", addressOf(Port)},
                {"zone", "z1"},
                {"version", "v1"},
                {"slots", 64},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"seq", 0},
                {"born", unixMilliseconds()}});
  Log.add("server " + Settings.Id + " starts");
}

auto Server::exit() -> void {
  Log.add("server " + Settings.Id + " exits");
  Accept.stop();
}

auto Server::leave() -> void {
  Log.add("server " + Settings.Id + " leaves the list and continues to serve");
  Registry.remove("servers", Settings.Id);
}

auto Server::hasRun(std::string const &Id) -> bool {
  auto lock = std::lock_guard(Mutex);
  return Ids.contains(Id);
}

auto Server::serve(Channel &Peer) -> void {
  constexpr auto IdleTimeout = Milliseconds{60000};
  auto const body = std::string(Settings.BodyBytes, 'x');
  auto request = Message{};
  while (Peer.read(request, IdleTimeout)) {
    auto const id = request.field("Attempt-Id");
    auto const expected = request.field("Expect-Instance");
    if (!expected.empty() && expected != Settings.Id) {
      if (!Peer.send(responseText(421, {{"Instance-Id", Settings.Id}}, "")))
        return;
      continue;
    }
    ++Runs;
    {
      auto lock = std::lock_guard(Mutex);
      Ids.insert(id);
    }
    Log.addDetail("run by a server", "server " + Settings.Id + " runs " + id);
    if (!Settings.DeadlyPart.empty() &&
        request.field("Prompt-Prefix").find(Settings.DeadlyPart) !=
            std::string::npos) {
      if (!IsEnding.exchange(true))
        std::thread([this] {
          std::this_thread::sleep_for(Milliseconds{100});
          exit();
          std::this_thread::sleep_for(Milliseconds{2000});
          IsEnding = false;
          start();
        }).detach();
      std::this_thread::sleep_for(Milliseconds{1000});
      return;
    }
    ++InProgress;
    std::this_thread::sleep_for(Settings.Work);
    --InProgress;
    if (!Peer.send(responseText(
            200, {{"Attempt-Id", id}, {"Server-Seal", Settings.Id + "." + id}},
            body)))
      return;
    Log.addDetail("answered by a server",
                  "server " + Settings.Id + " has answered " + id);
  }
}

Relay::Relay(std::string Name, std::string StoreAddress, std::string Folder,
             Record &Log)
    : Name(std::move(Name)), StoreAddress(std::move(StoreAddress)),
      Folder(std::move(Folder)), Log(Log), CallerPort(freePort()),
      ReadyPort(freePort()), DirectoryPort(freePort()), PeerPort(freePort()),
      MetricsPort(freePort()) {}

Relay::~Relay() {
  if (Process > 0)
    join(Milliseconds{0});
}

auto Relay::start(bool IsFirstStart) -> void {
  auto const settings = Folder + "/" + Name + ".json";
  std::ofstream(settings) << Json{
      {"instance", Name},
      {"failureDomain", "z1"},
      {"host", "127.0.0.1"},
      {"callerAddress", addressOf(CallerPort)},
      {"readinessAddress", addressOf(ReadyPort)},
      {"directoryAddress", addressOf(DirectoryPort)},
      {"peerPort", PeerPort},
      {"storeAddress", StoreAddress},
      {"metricsPort", MetricsPort},
      {"processorShare", 0.17},
      {"memoryMb", MemoryMegabytes},
      {"descriptors", 2870},
      {"retryRatio", 0.2},
      {"retrySlack", 119},
      {"retryWindowSeconds", 10},
      {"leavingServerMs", 2000},
      {"serverHeartbeatMs", 1200},
      {"leaderTasks", Json::array()},
      {"firstStart", IsFirstStart},
      {"leaveBoundSeconds", GraceSeconds},
      {"steeringLifetimeSeconds",
       5}}.dump(2);
  auto const log = Folder + "/" + Name + ".log";
  auto const variable = "DOTTERELSTREAM_SETTINGS=" + settings;
  Process = ::fork();
  if (Process == 0) {
    // No relay outlives the scenario.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    auto output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    char const *environment[] = {variable.c_str(), "LANG=C.UTF-8", nullptr};
    ::execle("target/dotterelstream", "target/dotterelstream", "relay", nullptr,
             const_cast<char *const *>(environment));
    ::_exit(127);
  }
  Log.add("relay " + Name + " starts");
}

auto Relay::signal(int Number) -> void {
  Log.add("relay " + Name + " gets signal " + std::to_string(Number));
  ::kill(Process, Number);
}

auto Relay::hasEnded() -> bool {
  if (Process <= 0)
    return true;
  auto status = 0;
  if (::waitpid(Process, &status, WNOHANG) != Process)
    return false;
  Log.add("relay " + Name + " has ended, status " + std::to_string(status));
  Process = -1;
  return true;
}

auto Relay::join(Milliseconds Timeout) -> void {
  auto const until = Clock::now() + Timeout;
  while (!hasEnded()) {
    if (Clock::now() >= until)
      ::kill(Process, SIGKILL);
    std::this_thread::sleep_for(Milliseconds{10});
  }
}

auto Relay::awaitReady(Milliseconds Timeout) -> bool {
  auto const until = Clock::now() + Timeout;
  while (Clock::now() < until) {
    auto channel = Channel();
    auto response = Message{};
    if (channel.connect(addressOf(ReadyPort)) &&
        channel.send("GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n") &&
        channel.read(response, Milliseconds{1000}) && response.status() == 200)
      return true;
    std::this_thread::sleep_for(Milliseconds{50});
  }
  return false;
}

auto Relay::residentBytes() const -> std::size_t {
  auto input = std::ifstream("/proc/" + std::to_string(Process) + "/statm");
  auto total = std::size_t{0};
  auto resident = std::size_t{0};
  input >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

auto manifest(std::vector<Route> const &Routes) -> Json {
  auto routes = Json::array();
  auto services = std::map<std::string, Json>{};
  for (auto const &it : Routes) {
    routes.push_back({{"name", it.Name},
                      {"host", "h.example"},
                      {"path_prefix", "/" + it.Name + "/"},
                      {"kind", it.Kind},
                      {"timeout_ms", it.TimeoutMs},
                      {"target_latency_ms", it.TargetMs},
                      {"priority", 1},
                      {"service", it.Service},
                      {"max_attempts", it.MaximumServers}});
    services[it.Service] = {
        {"name", it.Service}, {"health_path", "/health"}, {"max_conns", 234}};
  }
  auto list = Json::array();
  for (auto const &it : services)
    list.push_back(it.second);
  return {{"version", 7},
          {"routes", routes},
          {"services", list},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", HeaderTimeoutMs},
            {"idle_timeout_ms", 15000}}}};
}

auto requestText(std::string const &Method, std::string const &Target,
                 std::string const &Id, int DeadlineMs, std::string const &Body,
                 std::string const &Prompt) -> std::string {
  auto text = Method + " " + Target + " HTTP/1.1\r\nHost: h.example\r\n";
  text += "Attempt-Id: " + Id + "\r\n";
  text += "Deadline-Ms: " + std::to_string(DeadlineMs) + "\r\n";
  if (!Prompt.empty())
    text += "Model: m\r\nPrompt-Prefix: " + Prompt + "\r\n";
  if (!Body.empty())
    text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return text + "\r\n" + Body;
}

} // namespace review
