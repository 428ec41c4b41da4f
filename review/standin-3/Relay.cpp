#include "Relay.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

auto hasTrouble() -> bool {
  auto const *value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

auto Record::line(std::string const &Text) -> void {
  auto lock = std::lock_guard(Mutex);
  Output << elapsedMs() << " ms: " << Text << std::endl;
}

Relay::Relay(std::string const &Folder, Machine NewHost,
             Address const &StoreAddress)
    : Host(std::move(NewHost)), Callers{Host.Ip, freePort(Host.Ip)},
      Ready{Host.Ip, freePort(Host.Ip)}, Directory{Host.Ip, freePort(Host.Ip)},
      PeerPort(freePort(Host.Ip)),
      SettingsPath(Folder + "/" + Host.Name + ".json"),
      LogPath(Folder + "/" + Host.Name + ".log") {
  auto const settings = json{{"instance", Host.Name},
                             {"failureDomain", Host.Zone},
                             {"host", Host.Ip},
                             {"callerAddress", Callers.text()},
                             {"readinessAddress", Ready.text()},
                             {"directoryAddress", Directory.text()},
                             {"peerPort", PeerPort},
                             {"storeAddress", StoreAddress.text()},
                             {"metricsPort", freePort(Host.Ip)},
                             {"processorShare", Host.ProcessorShare},
                             {"memoryMb", Host.MemoryMb},
                             {"descriptors", 2870},
                             {"retryRatio", 0.2},
                             {"retrySlack", 126},
                             {"retryWindowSeconds", 10},
                             {"leavingServerMs", 2000},
                             {"serverHeartbeatMs", 1200},
                             {"leaderTasks", json::array()},
                             {"firstStart", false},
                             {"leaveBoundSeconds", 8},
                             {"steeringLifetimeSeconds", 5}};
  std::ofstream(SettingsPath) << settings.dump(2);
}

Relay::~Relay() { kill(); }

auto Relay::start() -> void {
  Pid = ::fork();
  if (Pid != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::setenv("DOTTERELSTREAM_SETTINGS", SettingsPath.c_str(), 1);
  auto const log = ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::execl("target/dotterelstream", "target/dotterelstream", "relay", nullptr);
  ::_exit(127);
}

auto Relay::signal(int Number) const -> void {
  if (Pid > 0)
    ::kill(Pid, Number);
}

auto Relay::kill() -> void {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
  Pid = -1;
}

auto Relay::isRunning() -> bool {
  if (Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) == Pid)
    Pid = -1;
  return Pid > 0;
}

auto Relay::isReady() const -> bool {
  return review::call(Ready, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n", 1000,
                      "")
             .Status == 200;
}

auto Relay::awaitReady(std::int64_t TimeoutMs) const -> bool {
  for (auto const until = elapsedMs() + TimeoutMs; elapsedMs() < until;) {
    if (isReady())
      return true;
    pauseMs(50);
  }
  return false;
}

auto Relay::residentMb() const -> double {
  auto file = std::ifstream("/proc/" + std::to_string(Pid) + "/status");
  for (auto line = std::string{}; std::getline(file, line);) {
    if (line.rfind("VmRSS:", 0) == 0)
      return std::strtod(line.c_str() + 6, nullptr) / 1024;
  }
  return 0;
}

auto Relay::lastLog(std::string const &Text) const -> std::string {
  auto file = std::ifstream(LogPath);
  auto found = std::string{};
  for (auto line = std::string{}; std::getline(file, line);) {
    if (line.find(Text) != std::string::npos)
      found = line;
  }
  return found;
}

auto call(Address const &Target, std::string const &Request,
          std::int64_t TimeoutMs, std::string const &Source) -> Outcome {
  auto const startedAt = elapsedMs();
  auto outcome = Outcome{};
  auto const connection = connectTo(Target, Source);
  if (connection.isOpen()) {
    connection.setReceiveTimeout(TimeoutMs);
    auto buffer = std::string{};
    if (connection.sendAll(Request)) {
      if (auto const answer = readMessage(connection, buffer)) {
        outcome.Status = answer->status();
        outcome.Body = answer->Body;
      }
    }
  }
  outcome.TookMs = elapsedMs() - startedAt;
  return outcome;
}

auto Caller::call(std::string const &Request, std::int64_t TimeoutMs)
    -> Outcome {
  auto const startedAt = elapsedMs();
  if (!Connection.isOpen() || hasInput(Connection)) {
    Connection = connectTo(Target, "");
    Buffer.clear();
  }
  auto outcome = Outcome{};
  if (Connection.isOpen()) {
    Connection.setReceiveTimeout(TimeoutMs);
    auto const answer = Connection.sendAll(Request)
                            ? readMessage(Connection, Buffer)
                            : std::nullopt;
    if (answer) {
      outcome.Status = answer->status();
      outcome.Body = answer->Body;
    }
    if (!answer || answer->field("connection") == "close")
      Connection = Socket();
  }
  outcome.TookMs = elapsedMs() - startedAt;
  return outcome;
}

auto requestText(std::string const &Method, std::string const &Path,
                 std::string const &Id, std::int64_t DeadlineMs,
                 std::string const &MoreFields) -> std::string {
  auto text = Method + " " + Path + " HTTP/1.1\r\nHost: h.example\r\n" +
              "Attempt-Id: " + Id +
              "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\n" +
              MoreFields;
  if (Method == "POST")
    text += "Content-Length: 4\r\n\r\nbody";
  else
    text += "\r\n";
  return text;
}

auto chunkedRequest(std::string const &Host, std::string const &Path,
                    std::string const &Id, std::int64_t DeadlineMs,
                    std::string const &MoreFields) -> std::string {
  return "POST " + Path + " HTTP/1.1\r\nHost: " + Host +
         "\r\nAttempt-Id: " + Id +
         "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\n" +
         MoreFields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
}

auto manifest() -> json {
  auto route = [](std::string const &Name, std::string const &Kind,
                  std::string const &Service, int TimeoutMs, int TargetMs) {
    return json{{"name", Name},
                {"host", "h.example"},
                {"path_prefix", "/" + Name + "/"},
                {"kind", Kind},
                {"timeout_ms", TimeoutMs},
                {"target_latency_ms", TargetMs},
                {"priority", 0},
                {"service", Service},
                {"max_attempts", 2},
                {"sticky", Kind == "streaming"},
                {"resumable", false},
                {"target_gap_ms", 200}};
  };
  auto const engine = json{{"slots", 64},
                           {"kv_tokens", 536565},
                           {"kv_token_bytes", 163840},
                           {"link_mbps", 1900000.0},
                           {"moves", true},
                           {"backups", true},
                           {"handle_ttl_s", 5.0},
                           {"reconfig_s", 3.0},
                           {"pin_ms", 4000.0},
                           {"hold_ms", 2000.0},
                           {"models", {{{"name", "m"}}}}};
  return {{"version", 7},
          {"routes",
           {route("issue", "non_idempotent", "bond-desk", 1500, 300),
            route("lookup", "idempotent", "bond-desk", 1500, 300),
            route("triage", "streaming", "underwrite-lm", 5000, 1000)}},
          {"services",
           {{{"name", "bond-desk"},
             {"health_path", "/health"},
             {"max_conns", 248},
             {"protocol", "h1"},
             {"tls", false}},
            {{"name", "underwrite-lm"},
             {"health_path", "/health"},
             {"max_conns", 832},
             {"protocol", "h1"},
             {"tls", false},
             {"engine", engine}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

} // namespace review
