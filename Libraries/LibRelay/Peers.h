/// \file
/// What the instances tell each other, a few times a second and by datagram:
/// that they live, whether they take callers, and what they sent where.
#pragma once

#include "LibRelay/DemandMeter.h"
#include "LibRelay/ServerTable.h"
#include "LibRelay/StoreWatch.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel::relay {

/// Work of one instance at one server.
struct PeerServerLoad {
  ServerKey Server = 0;
  ServerLoad Load;
};

/// A prefix that an instance had read at a server since its last message.
struct PeerPrefixUse {
  std::uint64_t Hash = 0;
  ServerKey Server = 0;
};

/// Demand on one service, as one instance sees it.
struct PeerDemand {
  /// Hash of the service's name.
  std::uint64_t Service = 0;
  EngineDemand PerSecond;
};

/// One datagram.
struct PeerReport {
  /// Instance, CallerAddress and Demands change seldom; reports that are not
  /// full leave them out.
  bool IsFull = true;
  std::string Instance;
  std::uint64_t Incarnation = 0;
  /// Rises by one with each message of an incarnation.
  std::uint64_t SequenceNumber = 0;
  std::string CallerAddress;
  /// Where the report came from; not part of the datagram.
  std::string PeerAddress;
  /// Takes new connections of callers.
  bool IsReady = false;
  bool IsLeaving = false;
  /// Part of the callers that it should get, against others.
  double Weight = 1;
  std::vector<PeerServerLoad> Loads;
  std::vector<PeerPrefixUse> Prefixes;
  std::vector<PeerDemand> Demands;
  /// Servers that are about to change their stage.
  std::vector<ServerKey> Changing;
  /// Servers to which no connection was found lately.
  std::vector<ServerKey> Unreachable;
  /// Set by instances that watch the store for all.
  std::optional<WatchReport> Watch;
};

[[nodiscard]] auto encodePeerReport(PeerReport const &Message) -> std::string;

/// Returns nothing if \p Bytes are not a report.
[[nodiscard]] auto decodePeerReport(std::string_view Bytes)
    -> std::optional<PeerReport>;

/// How an instance registers itself where the others find it.
struct PeerRecord {
  std::string Instance;
  std::string PeerAddress;
};

/// One other instance.
struct Peer {
  std::string PeerAddress;
  std::optional<PeerReport> LastReport;
  Instant LastHeardAt;
  Instant LastSentAt;
};

/// The other instances by peer address. Thread safety: none.
class PeerTable {
public:
  /// Adds an instance that was found in the registry.
  auto discover(PeerRecord const &Found, Instant Now) -> void;

  /// Takes in a report. Returns false if it is older than what is known.
  auto accept(PeerReport Message, Instant Now, ServerTable &Servers) -> bool;

  /// Takes the loads of silent peers out of \p Servers and forgets peers that
  /// have been silent for long.
  auto expire(Instant Now, ServerTable &Servers) -> void;

  /// Adds the loads of all live peers to a server that was just put.
  auto restoreLoads(Server &Target) const -> void;

  /// Returns the demand on a service that all live peers see.
  [[nodiscard]] auto demandOf(std::string_view Service, Instant Now) const
      -> EngineDemand;

  /// Returns the addresses to send the next report to. Peers that have not
  /// been heard are tried less often.
  [[nodiscard]] auto recipients(Instant Now) -> std::vector<std::string>;

  [[nodiscard]] auto isAlive(Peer const &Target, Instant Now) const -> bool;

  /// Returns whether a peer watches the store and the store has answered it
  /// within \p Bound.
  [[nodiscard]] auto isFresh(Peer const &Target, Instant Now,
                             Duration Bound) const -> bool;

  /// Time between two reports; grows with the fleet so that what an instance
  /// receives per second does not.
  [[nodiscard]] auto reportInterval() const -> Duration;

  /// Instances that are known, this one included.
  [[nodiscard]] auto fleetSize() const -> std::uint32_t {
    return static_cast<std::uint32_t>(Peers.size() + 1);
  }
  [[nodiscard]] auto all() const -> std::map<std::string, Peer> const & {
    return Peers;
  }

private:
  static auto removeLoads(Peer &Target, ServerTable &Servers) -> void;

  std::map<std::string, Peer> Peers;
};

} // namespace dotterel::relay
