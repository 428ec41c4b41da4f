/// \file
/// Stand-ins for the users' servers: plain ones and engines.
#pragma once

#include "Store.h"

#include <atomic>
#include <string>
#include <vector>

namespace review {

/// A request that a server received.
struct Arrival {
  std::string Id;
  std::int64_t AtMs = 0;
  /// It was not run, because it was meant for another server.
  bool IsMisdirected = false;
};

/// What a server says of itself in the store.
struct ServerEntry {
  std::string Id;
  std::string Service;
  std::string Zone;
  int Slots = 6;
  /// Left out of the entry if it is empty.
  std::string Stage;
};

/// A server of one service. Its threads run until the process ends.
class Server {
public:
  /// Starts to listen at \p Ip and registers in \p Registry. The server stays
  /// slow for \p ColdMs, which each heartbeat writes down.
  Server(Store &Registry, ServerEntry Entry, std::string const &Ip,
         std::int64_t ColdMs);

  /// Time that a run takes.
  auto setWork(std::int64_t Ms) -> void { WorkMs = Ms; }
  /// Spoils each answer whose number is a multiple of \p Interval: it says that
  /// its body has another coding than chunks, and ends with its channel.
  auto spoilAnswers(int Interval) -> void { SpoilInterval = Interval; }
  /// Leaves without a notice: the entry is removed, heartbeats end, and
  /// requests are still run. Returns the time of the removal.
  auto removeEntry() -> std::int64_t;
  /// Crashes: connections are reset and new ones refused. The entry stays.
  auto crash() -> void;

  [[nodiscard]] auto id() const -> std::string const & { return Entry.Id; }
  [[nodiscard]] auto address() const -> Address { return Listening; }
  /// Returns the requests received so far.
  [[nodiscard]] auto arrivals() const -> std::vector<Arrival>;
  /// Returns the number of heartbeats sent.
  [[nodiscard]] auto heartbeats() const -> int { return Heartbeats; }
  /// Returns how many requests are at work.
  [[nodiscard]] auto running() const -> int { return Running; }

private:
  [[nodiscard]] auto spec() const -> json;
  auto beat() -> void;
  auto accept() -> void;
  auto serve(std::shared_ptr<Socket> const &Connection) -> void;
  /// Returns false if the connection has to be closed.
  [[nodiscard]] auto respond(Message const &Request, Socket const &Connection)
      -> bool;
  [[nodiscard]] auto respondToRequest(Message const &Request,
                                      Socket const &Connection) -> bool;
  [[nodiscard]] auto stream(Socket const &Connection, std::string const &Id)
      -> bool;
  /// Sends the answer of a plain server.
  [[nodiscard]] auto answerPlainly(Socket const &Connection,
                                   std::string const &Id) -> bool;
  /// Works for \p Ms. Returns false if the caller left or the server crashed.
  [[nodiscard]] auto work(Socket const &Connection, std::int64_t Ms) const
      -> bool;
  [[nodiscard]] auto takeOrder(Message const &Request) -> int;

  Store &Registry; // NOLINT: outlives the server
  ServerEntry Entry;
  Address Listening;
  Socket Listener;
  std::int64_t BornMs = unixMs();
  std::int64_t ColdUntilMs = 0;
  std::atomic<std::int64_t> WorkMs = 15;
  std::atomic<int> Heartbeats = 0;
  std::atomic<int> Running = 0;
  std::atomic<int> OrdersTaken = 0;
  std::atomic<int> SpoilInterval = 0;
  std::atomic<int> Answers = 0;
  std::atomic<bool> IsListed = true;
  std::atomic<bool> HasCrashed = false;
  mutable std::mutex Mutex;
  std::vector<Arrival> Arrivals;
  std::string Stage;
};

/// Time between two heartbeats.
inline constexpr auto HeartbeatMs = 1200;

} // namespace review
