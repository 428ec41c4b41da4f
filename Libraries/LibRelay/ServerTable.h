/// \file
/// The backend servers known to this instance: their descriptions, the load
/// that this instance and its peers have placed on them, and their health.
#pragma once

#include "LibControl/BackendHealth.h"
#include "LibCore/Time.h"
#include "LibRelay/ServerHistory.h"

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

enum class EngineStage : std::uint8_t {
  /// Not a language model, or serves both stages.
  Any,
  Prefill,
  Decode,
};

/// Returns the name of \p Stage as used in logs.
[[nodiscard]] auto toString(EngineStage Stage) -> std::string_view;

/// A server's entry in the store.
struct ServerDescription {
  std::string Id;
  std::string Service;
  std::string Address;
  std::string Domain;
  std::uint32_t Slots = 1;
  bool IsDraining = false;
  EngineStage Stage = EngineStage::Any;
  /// The platform may take the server back at short notice.
  bool IsReclaimable = false;
  /// Start time of the server in milliseconds since the Unix epoch. A later
  /// start is a new run, without any state of the previous one.
  std::uint64_t StartedAt = 0;
  /// Version of the server's entry in the store.
  StoreVersion Version;

  [[nodiscard]] auto key() const -> ServerKey;
};

/// Returns why \p Description names no usable server, or an empty string. Other
/// programs write descriptions, too. Thread safety: any thread.
[[nodiscard]] auto findFault(ServerDescription const &Description)
    -> std::string;

/// Load of the requests in flight at a server.
struct ServerLoad {
  /// Requests whose final response has not arrived.
  std::uint32_t Requests = 0;
  /// Prompt tokens of requests that have not produced their first token.
  std::uint64_t PromptTokens = 0;

  auto add(ServerLoad const &Other) -> void;
  auto subtract(ServerLoad const &Other) -> void;
};

/// Reports of instances that cannot reach a server. A single instance may
/// itself be partitioned from the server, so a suspicion is confirmed only when
/// two instances agree.
class Suspicion {
public:
  /// Records that the instance with incarnation \p Incarnation could not
  /// connect. Returns whether the suspicion is confirmed by this report and was
  /// not confirmed before.
  auto record(std::uint64_t Incarnation, Instant Now) -> bool;

  /// Records that this instance received a response from the server.
  auto clear() -> void;

  /// Returns whether traffic should avoid the server at \p Now.
  [[nodiscard]] auto isConfirmed(Instant Now) const -> bool;

private:
  std::optional<std::uint64_t> LastIncarnation;
  Instant LastAt;
  Instant ConfirmedUntil;
};

/// A backend server with its load and health.
struct Server {
  ServerDescription Description;
  ServerKey Key = 0;
  BackendHealth Health;
  /// Load placed by this instance.
  ServerLoad OwnLoad;
  /// Load placed by the peers, according to their reports.
  ServerLoad PeerLoad;
  /// Traffic avoids the server until then because it responded that it was
  /// full.
  Instant FullUntil;
  /// Traffic avoids the server until then because it is about to change its
  /// stage.
  Instant ChangingUntil;
  /// Time of this instance's last failed connection to the server.
  Instant UnreachableAt;
  relay::Suspicion Suspicion;
  /// The server announced in a response that it is leaving.
  bool HasAnnouncedLeaving = false;
  /// The server asked this instance to send nothing until then.
  Instant PausedUntil;
  /// Until then, the entry may be that of a server that has left: it was
  /// removed and came back with a restored copy of the store.
  Instant HeldUntil;
  /// Another server responded at the address, so the entry is out of date.
  bool HasStaleAddress = false;
  /// Times until which idle connections to the server are kept.
  std::vector<Instant> IdleConnections;
  /// Moving average of the ratio of measured to forecast request times.
  double Slowness = 1;
  /// Moving average of the share of requests that failed.
  double FailureShare = 0;

  [[nodiscard]] auto load() const -> ServerLoad;
  [[nodiscard]] auto isUsable(Instant Now) const -> bool {
    return !isLeaving() && !HasStaleAddress && Now >= ChangingUntil &&
           Now >= PausedUntil && Now >= HeldUntil;
  }
  /// Returns whether the server must receive no new requests from any instance.
  [[nodiscard]] auto isLeaving() const -> bool {
    return Description.IsDraining || HasAnnouncedLeaving;
  }
  /// Returns whether a request can be sent without a new connection.
  [[nodiscard]] auto hasIdleConnection(Instant Now) const -> bool;
  /// Records that a request uses an idle connection, if there is one.
  auto takeIdleConnection(Instant Now) -> void;
  /// Records how long a request took compared to its forecast. Precondition:
  /// \p Forecast is positive.
  auto observeDuration(Duration Taken, Duration Forecast) -> void;
  auto observeOutcome(bool HasFailed) -> void;
  /// Records a successful response.
  auto recordSuccess() -> void;
  /// Records a connection that failed, broke or was abandoned.
  auto recordFailure(Instant Now) -> void;
  /// Returns whether the server should be used only if no other is available.
  [[nodiscard]] auto isLastResort(Instant Now) const -> bool;
};

/// All servers by id, by key and by service. Thread safety: none.
class ServerTable {
public:
  /// Adds or updates a server. Ignores descriptions older than the known one.
  /// Returns whether the server is new or its draining state or stage changed.
  auto put(ServerDescription Description) -> bool;

  /// Removes a server. Returns its address, or an empty string if it is
  /// unknown.
  auto remove(std::string_view Id) -> std::string;

  /// Returns the ids of all known servers that \p Listed does not contain.
  [[nodiscard]] auto
  missingFrom(std::span<ServerDescription const> Listed) const
      -> std::vector<std::string>;

  /// Returns the server, or null.
  [[nodiscard]] auto find(std::string_view Id) -> Server *;
  [[nodiscard]] auto findByKey(ServerKey Key) -> Server *;

  /// Returns the servers of a service in unspecified order.
  [[nodiscard]] auto serversOf(std::string_view Service) const
      -> std::span<Server *const>;

  [[nodiscard]] auto history() -> ServerHistory & { return History; }

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
  ServerHistory History;
};

} // namespace dotterel::relay
