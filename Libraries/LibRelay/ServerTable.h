/// \file
/// The backend servers as this instance knows them: what each says of itself,
/// what this instance and its peers have sent there, and how that went.
#pragma once

#include "LibControl/BackendHealth.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dotterel::relay {

/// Names a server in messages between instances: a hash of its id and start.
using ServerKey = std::uint32_t;

enum class EngineStage : std::uint8_t {
  /// Not a language model, or serves both stages.
  Any,
  Prefill,
  Decode,
};

/// Returns the word that stands for \p Stage in logs.
[[nodiscard]] auto toString(EngineStage Stage) -> std::string_view;

/// What a server says of itself.
struct ServerDescription {
  std::string Id;
  std::string Service;
  std::string Address;
  std::string Domain;
  std::uint32_t Slots = 1;
  bool IsDraining = false;
  EngineStage Stage = EngineStage::Any;
  /// Unix milliseconds of the server's start; a later start is another run
  /// that knows nothing of the one before.
  std::uint64_t StartedAt = 0;
  /// Revision of the entry that this was read from.
  std::uint64_t Revision = 0;

  [[nodiscard]] auto key() const -> ServerKey;
};

/// Work that was sent to a server and is not done.
struct ServerLoad {
  /// Requests without their final answer.
  std::uint32_t Requests = 0;
  /// Prompt tokens of requests that have not made their first token.
  std::uint64_t PromptTokens = 0;

  auto add(ServerLoad const &Other) -> void;
  auto subtract(ServerLoad const &Other) -> void;
};

/// What instances tell each other of a server that cannot be reached. One
/// instance may itself be cut off; two that agree are believed.
class Suspicion {
public:
  /// Records that \p Instance, a number that names it, found no connection.
  /// Returns whether traffic should avoid the server from now on.
  auto record(std::uint64_t Instance, Instant Now) -> bool;

  /// Records that this instance had an answer from the server.
  auto clear() -> void;

  /// Returns whether traffic should avoid the server at \p Now.
  [[nodiscard]] auto isConfirmed(Instant Now) const -> bool;

private:
  std::optional<std::uint64_t> LastInstance;
  Instant LastAt;
  Instant ConfirmedUntil;
};

/// One server.
struct Server {
  ServerDescription Description;
  ServerKey Key = 0;
  BackendHealth Health;
  /// Sent by this instance.
  ServerLoad OwnLoad;
  /// Sent by the other instances, by their word.
  ServerLoad PeerLoad;
  /// The server said that it was full; traffic avoids it until then.
  Instant FullUntil;
  /// The server is about to change its stage; traffic avoids it until then.
  Instant ChangingUntil;
  /// When this instance last found no connection to it.
  Instant UnreachableAt;
  Suspicion Suspicion;
  /// Another server answered at the address, so the entry is out of date.
  bool HasStaleAddress = false;
  /// Ratio of the time that requests took to what was forecast.
  double Slowness = 1;
  /// Share of recent requests that failed.
  double FailureShare = 0;

  [[nodiscard]] auto load() const -> ServerLoad;
  [[nodiscard]] auto isUsable(Instant Now) const -> bool {
    return !Description.IsDraining && !HasStaleAddress && Now >= ChangingUntil;
  }
  /// Records how long a request took against its forecast.
  /// Precondition: \p Forecast is positive.
  auto observeDuration(Duration Taken, Duration Forecast) -> void;
  auto observeOutcome(bool HasFailed) -> void;
  /// Records an answer that was whole.
  auto recordSuccess() -> void;
  /// Records a broken or impossible connection, or one that was given up.
  auto recordFailure(Instant Now) -> void;
  /// Returns whether the server is to be used only where no other is left.
  [[nodiscard]] auto isLastResort(Instant Now) const -> bool;
};

/// All servers by id and by service. Thread safety: none.
class ServerTable {
public:
  /// Adds or updates a server. Returns whether anything changed.
  auto put(ServerDescription Described) -> bool;

  /// Removes a server. Returns its address, or an empty string if unknown.
  auto remove(std::string_view Id) -> std::string;

  /// Returns the ids of all servers that \p Listed does not name.
  [[nodiscard]] auto
  missingFrom(std::span<ServerDescription const> Listed) const
      -> std::vector<std::string>;

  /// Returns the server, or null.
  [[nodiscard]] auto find(std::string_view Id) -> Server *;
  [[nodiscard]] auto findByKey(ServerKey Key) -> Server *;

  /// Returns the servers of a service, in no order that means anything.
  [[nodiscard]] auto serversOf(std::string_view Service) const
      -> std::span<Server *const>;

  [[nodiscard]] auto size() const -> std::size_t { return ById.size(); }
  [[nodiscard]] auto all() const
      -> std::map<std::string, std::unique_ptr<Server>, std::less<>> const & {
    return ById;
  }

private:
  auto unlink(Server const &Target) -> void;

  std::map<std::string, std::unique_ptr<Server>, std::less<>> ById;
  std::unordered_map<ServerKey, Server *> ByKey;
  std::map<std::string, std::vector<Server *>, std::less<>> ByService;
};

} // namespace dotterel::relay
