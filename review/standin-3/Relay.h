/// \file
/// Relays of the program under review as separate processes, ordinary callers,
/// and the record of a case.
#pragma once

#include "Wire.h"

#include <atomic>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// Whether the case runs with its disruption; TROUBLE=0 turns it off.
[[nodiscard]] auto hasTrouble() -> bool;

/// The file record.txt. Thread safety: any thread.
class Record {
public:
  explicit Record(std::string const &Path) : Output(Path) {}

  auto line(std::string const &Text) -> void;

private:
  std::mutex Mutex;
  std::ofstream Output;
};

/// Figures of one machine, as a site file gives them.
struct Machine {
  std::string Name;
  std::string Zone;
  std::string Ip;
  double ProcessorShare = 0.17;
  int MemoryMb = 182;
};

/// One instance, started as the deploy file says, with settings as its template
/// gives them. It is killed when this object is destroyed.
class Relay {
public:
  Relay(std::string const &Folder, Machine Host, Address const &StoreAddress);
  ~Relay();
  Relay(Relay const &) = delete;
  auto operator=(Relay const &) -> Relay & = delete;

  auto start() -> void;
  auto signal(int Number) const -> void;
  /// Kills the process and waits for its end.
  auto kill() -> void;
  /// Returns whether the process runs.
  [[nodiscard]] auto isRunning() -> bool;
  [[nodiscard]] auto isReady() const -> bool;
  [[nodiscard]] auto awaitReady(std::int64_t TimeoutMs) const -> bool;
  /// Returns the resident memory in megabytes.
  [[nodiscard]] auto residentMb() const -> double;
  /// Returns the last line of its log that contains \p Text.
  [[nodiscard]] auto lastLog(std::string const &Text) const -> std::string;

  [[nodiscard]] auto callers() const -> Address { return Callers; }
  [[nodiscard]] auto machine() const -> Machine const & { return Host; }

private:
  Machine Host;
  Address Callers;
  Address Ready;
  Address Directory;
  int PeerPort = 0;
  std::string SettingsPath;
  std::string LogPath;
  pid_t Pid = -1;
};

/// Outcome of one call: the status, or 0 if the channel ended without a
/// complete answer, and how long it took.
struct Outcome {
  int Status = 0;
  std::int64_t TookMs = 0;
  std::string Body;
};

/// Sends one request on a connection of its own from \p Source.
[[nodiscard]] auto call(Address const &Target, std::string const &Request,
                        std::int64_t TimeoutMs, std::string const &Source)
    -> Outcome;

/// A caller that keeps one connection. Thread safety: none.
class Caller {
public:
  explicit Caller(Address Target) : Target(std::move(Target)) {}

  [[nodiscard]] auto call(std::string const &Request, std::int64_t TimeoutMs)
      -> Outcome;

  /// Returns whether something arrived after the last answer.
  [[nodiscard]] auto hasUnexpectedInput() const -> bool {
    return !Buffer.empty() || (Connection.isOpen() && hasInput(Connection));
  }

private:
  Address Target;
  Socket Connection;
  std::string Buffer;
};

/// Returns a request to the route at \p Path.
[[nodiscard]] auto requestText(std::string const &Method,
                               std::string const &Path, std::string const &Id,
                               std::int64_t DeadlineMs,
                               std::string const &MoreFields) -> std::string;

/// Returns the start of a request whose body is sent in chunks: all but its
/// trailer and the blank line that ends it.
[[nodiscard]] auto chunkedRequest(std::string const &Host,
                                  std::string const &Path,
                                  std::string const &Id,
                                  std::int64_t DeadlineMs,
                                  std::string const &MoreFields) -> std::string;

/// Returns a manifest with the routes of a booking service and of a language
/// model service.
[[nodiscard]] auto manifest() -> nlohmann::json;

} // namespace review
