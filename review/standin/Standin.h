/// \file
/// Stand-ins for the scripts of the review: the platform's store, backend
/// servers, consumers and the machine that a relay runs on. They use loopback
/// addresses only.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Fields = std::vector<std::pair<std::string, std::string>>;

/// Writes what happens to record.txt. Thread safety: any thread.
class Record {
public:
  explicit Record(std::string const &Path) : Output(Path) {}
  auto add(std::string const &Line) -> void;
  /// Adds a line about one request, or counts it in a line for each second.
  auto addDetail(std::string const &Kind, std::string const &Line) -> void;
  auto summarizeDetails() -> void { IsSummarizing = true; }

private:
  auto write(std::string const &Line) -> void;

  std::mutex Mutex;
  std::atomic<bool> IsSummarizing = false;
  std::map<std::string, unsigned> Counts;
  Clock::time_point SummarizedAt = Clock::now();
  std::ofstream Output;
  Clock::time_point Start = Clock::now();
};

/// A request or a response.
struct Message {
  std::string Start;
  review::Fields Fields;
  std::string Body;

  [[nodiscard]] auto field(std::string const &Name) const -> std::string;
  /// Returns the status of a response.
  [[nodiscard]] auto status() const -> int;
};

/// A TCP connection with blocking operations. Thread safety: none.
class Channel {
public:
  explicit Channel(int Descriptor = -1) : Descriptor(Descriptor) {}
  ~Channel();
  Channel(Channel const &) = delete;
  auto operator=(Channel const &) -> Channel & = delete;

  /// \p ReceiveBytes bounds the receive buffer, if it is not zero.
  auto connect(std::string const &Address, int ReceiveBytes = 0) -> bool;
  auto send(std::string const &Bytes) -> bool;
  /// Reads one message with a body of known length. Returns false if the
  /// channel ends before it is complete, or after \p Timeout.
  auto read(Message &Output, Milliseconds Timeout) -> bool;
  /// The same, but the body is read at \p BytesPerSecond, unless it is zero.
  auto read(Message &Output, Milliseconds Timeout, double BytesPerSecond)
      -> bool;

private:
  auto fill(Clock::time_point Until, std::size_t Limit) -> bool;
  auto readHeader(Message &Output, Clock::time_point Until) -> bool;

  int Descriptor;
  std::string Buffer;
};

/// Accepts channels on an address and runs each on a thread of its own.
class Listener {
public:
  using Handler = std::function<void(Channel &)>;

  explicit Listener(Handler Serve) : Serve(std::move(Serve)) {}
  ~Listener() { stop(); }
  Listener(Listener const &) = delete;
  auto operator=(Listener const &) -> Listener & = delete;

  auto start(int Port) -> void;
  /// Resets all channels, as a process that is killed.
  auto stop() -> void;

private:
  struct State;
  Handler Serve;
  std::shared_ptr<State> Current;
};

/// Returns a port of 127.0.0.1 that is free for TCP and UDP.
[[nodiscard]] auto freePort() -> int;
[[nodiscard]] auto addressOf(int Port) -> std::string;

/// The platform's store: objects with revisions, lists and watches.
class Store {
public:
  Store();
  ~Store();
  Store(Store const &) = delete;
  auto operator=(Store const &) -> Store & = delete;

  [[nodiscard]] auto address() const -> std::string { return addressOf(Port); }
  /// Creates or replaces an object on behalf of the operator or a server.
  auto put(std::string const &Kind, std::string const &Name, Json Spec) -> void;
  auto remove(std::string const &Kind, std::string const &Name) -> void;
  [[nodiscard]] auto count(std::string const &Kind) -> std::size_t;

private:
  struct Change {
    std::uint64_t Revision;
    std::string Kind;
    bool IsDeleted;
    Json Object;
  };
  using Answer = std::pair<int, Json>;

  auto serve(Channel &Peer) -> void;
  auto answer(Message const &Request) -> Answer;
  auto list(std::string const &Kind) -> Answer;
  auto watch(std::string const &Kind, std::uint64_t After, Milliseconds Wait)
      -> Answer;
  auto write(std::string const &Kind, std::string const &Name, Json const &Body,
             bool IsNew) -> Answer;
  auto change(std::string const &Kind, std::string const &Name, Json Spec)
      -> Json;
  auto erase(std::string const &Kind, std::string const &Name) -> Answer;

  std::mutex Mutex;
  std::condition_variable Changed;
  bool IsStopping = false;
  std::uint64_t Revision = 100;
  std::map<std::string, std::map<std::string, Json>> Objects;
  std::vector<Change> History;
  int Port;
  Listener Accept;
};

/// A backend server: it works for some time on each request and answers with
/// its seal. Channels that close end no work.
class Server {
public:
  struct Options {
    std::string Id;
    std::string Service;
    Milliseconds Work{20};
    std::size_t BodyBytes = 800;
    /// A part of a prompt that ends the process; it is back after 2 s.
    std::string DeadlyPart = {};
  };

  Server(Store &Registry, Record &Log, Options Settings);

  /// Starts a new run and registers it.
  auto start() -> void;
  /// Ends the process.
  auto exit() -> void;
  /// Removes the entry without a notice, as a server that leaves and never
  /// reports "draining"; it continues to serve.
  auto leave() -> void;
  [[nodiscard]] auto runs() const -> unsigned { return Runs; }
  [[nodiscard]] auto hasRun(std::string const &Id) -> bool;
  /// Returns the number of requests that it works on.
  [[nodiscard]] auto inProgress() const -> int { return InProgress; }

private:
  auto serve(Channel &Peer) -> void;

  Store &Registry; // NOLINT: outlives the server
  Record &Log;     // NOLINT
  Options Settings;
  int Port;
  std::atomic<unsigned> Runs = 0;
  std::atomic<int> InProgress = 0;
  std::atomic<bool> IsEnding = false;
  std::mutex Mutex;
  std::set<std::string> Ids;
  Listener Accept;
};

/// A relay as the operators run it, with a settings file as the deploy file's
/// template gives it.
class Relay {
public:
  Relay(std::string Name, std::string StoreAddress, std::string Folder,
        Record &Log);
  ~Relay();
  Relay(Relay const &) = delete;
  auto operator=(Relay const &) -> Relay & = delete;

  auto start(bool IsFirstStart) -> void;
  auto signal(int Number) -> void;
  /// Returns whether the process has ended.
  auto hasEnded() -> bool;
  /// Waits until the process has ended; kills it after \p Timeout.
  auto join(Milliseconds Timeout) -> void;
  /// Waits until the readiness check succeeds.
  auto awaitReady(Milliseconds Timeout) -> bool;
  /// Returns the resident memory in bytes, or 0.
  [[nodiscard]] auto residentBytes() const -> std::size_t;
  [[nodiscard]] auto callerAddress() const -> std::string {
    return addressOf(CallerPort);
  }

  /// Limits of a machine, as in the settings.
  static constexpr auto MemoryMegabytes = std::size_t{182};
  static constexpr auto GraceSeconds = 8;

private:
  std::string Name;
  std::string StoreAddress;
  std::string Folder;
  Record &Log; // NOLINT: outlives the relay
  int CallerPort;
  int ReadyPort;
  int DirectoryPort;
  int PeerPort;
  int MetricsPort;
  int Process = -1;
};

/// Returns a manifest route of the host that all consumers use.
struct Route {
  std::string Name;
  std::string Kind;
  std::string Service;
  int TimeoutMs;
  int TargetMs;
  int MaximumServers;
};
/// The manifest's `header_timeout_ms`.
constexpr auto HeaderTimeoutMs = 3000;
[[nodiscard]] auto manifest(std::vector<Route> const &Routes) -> Json;

/// Returns the bytes of a request of a consumer.
[[nodiscard]] auto requestText(std::string const &Method,
                               std::string const &Target, std::string const &Id,
                               int DeadlineMs, std::string const &Body = {},
                               std::string const &Prompt = {}) -> std::string;

} // namespace review
