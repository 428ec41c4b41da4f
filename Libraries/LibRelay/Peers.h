/// \file
/// Reports that the instances send each other as datagrams several times a
/// second: liveness, readiness for callers, and the load they placed on
/// servers.
#pragma once

#include "LibRelay/DemandMeter.h"
#include "LibRelay/RequestLimits.h"
#include "LibRelay/ServerTable.h"
#include "LibRelay/StoreWatch.h"
#include "LibRelay/SuspectQuarantine.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel::relay {

/// Load that one instance has placed on one server.
struct PeerServerLoad {
  ServerKey Server = 0;
  ServerLoad Load;
};

/// A prefix that was prefilled at a server on behalf of an instance since the
/// instance's previous report.
struct PeerPrefixUse {
  std::uint64_t Hash = 0;
  ServerKey Server = 0;
};

/// Demand on one service as observed by one instance.
struct PeerDemand {
  /// Hash of the service's name.
  std::uint64_t Service = 0;
  EngineDemand PerSecond;
};

/// Content of one datagram.
struct PeerReport {
  /// Instance, CallerAddress and Demands change rarely; partial reports omit
  /// them.
  bool IsFull = true;
  std::string Instance;
  std::uint64_t Incarnation = 0;
  /// Increases by one with each report of an incarnation.
  std::uint64_t SequenceNumber = 0;
  std::string CallerAddress;
  /// Address that the report came from; not part of the datagram.
  std::string PeerAddress;
  /// The instance accepts new connections from callers.
  bool IsReady = false;
  bool IsLeaving = false;
  /// Share of callers that the instance should receive, relative to its peers.
  double Weight = 1;
  std::vector<PeerServerLoad> Loads;
  std::vector<PeerPrefixUse> Prefixes;
  std::vector<PeerDemand> Demands;
  /// Servers that are about to change their stage.
  std::vector<ServerKey> Changing;
  /// Servers to which connections failed recently.
  std::vector<ServerKey> Unreachable;
  /// Servers that announced that they are leaving.
  std::vector<ServerKey> Leaving;
  /// Version of the configuration in force, and the era of the store in which
  /// it was read last.
  std::uint64_t ConfigurationVersion = 0;
  std::uint64_t ConfigurationEra = 0;
  QuarantineReport Quarantine;
  /// Limits that the instance observed recently.
  std::vector<LimitReport> Limits;
  /// Set by watchers of the store.
  std::optional<WatchReport> Watch;
  /// Fencing number of the leader lease if the instance holds it, or 0.
  std::uint64_t LeaderFence = 0;
  /// Version of its last write of that lease.
  StoreVersion LeaderVersion;
};

/// Returns whether an instance is preferred over another one for work for the
/// whole fleet: those with more processor time come first.
[[nodiscard]] auto hasPrecedence(PeerReport const &Instance, double OtherWeight,
                                 std::string_view OtherInstance) -> bool;

[[nodiscard]] auto encodePeerReport(PeerReport const &Report) -> std::string;

/// An update of a server that a report contains and that cannot be used.
struct RejectedUpdate {
  std::string Server;
  std::string Reason;
};

/// Turns the updates of servers that cannot be used into removals, and returns
/// them: instances of earlier versions pass on what they read.
/// Thread safety: any thread.
[[nodiscard]] auto rejectUnusableUpdates(PeerReport &Report)
    -> std::vector<RejectedUpdate>;

/// Returns std::nullopt if \p Bytes is not a valid report.
[[nodiscard]] auto decodePeerReport(std::string_view Bytes)
    -> std::optional<PeerReport>;

/// Entry of an instance in the store's registry of instances.
struct PeerRecord {
  std::string Instance;
  std::string PeerAddress;
};

/// Another instance of the same system.
struct Peer {
  std::string PeerAddress;
  std::optional<PeerReport> LastReport;
  Instant LastHeardAt;
  /// Time of the first report of this incarnation after the peer was silent.
  Instant HeardSince;
  Instant LastSentAt;
  /// Reports sent to the peer since it was discovered.
  std::uint64_t ReportsSent = 0;
};

/// The peers that a report is sent to.
struct PeerRecipients {
  std::vector<std::string> Addresses;
  /// Some of them are not alive. They may lack the full report without which
  /// they ignore partial ones.
  bool HasSilent = false;
};

/// The other instances by peer address. Thread safety: none.
class PeerTable {
public:
  /// Adds an instance that was found in the registry.
  auto discover(PeerRecord const &Record, Instant Now) -> void;

  /// Applies a report. Returns false if it is older than the last one of the
  /// same peer, or partial without a preceding full report.
  auto accept(PeerReport Report, Instant Now, ServerTable &Servers) -> bool;

  /// Removes the load of silent peers from \p Servers, and removes peers that
  /// have been silent for 60 s.
  auto expire(Instant Now, ServerTable &Servers) -> void;

  /// Recomputes the peers' load of a server that was added or changed, from
  /// their last reports.
  auto restoreLoads(Server &Target) const -> void;

  /// Returns the sum of the demand on a service over all live peers.
  [[nodiscard]] auto demandOf(std::string_view Service, Instant Now) const
      -> EngineDemand;

  /// Returns the peers to send the next report to. Those that are not alive are
  /// sent reports less often.
  [[nodiscard]] auto recipients(Instant Now) -> PeerRecipients;

  [[nodiscard]] auto isAlive(Peer const &Target, Instant Now) const -> bool;

  /// Returns whether a peer watches the store and has received a response from
  /// it within \p MaximumAge.
  [[nodiscard]] auto isFresh(Peer const &Target, Instant Now,
                             Duration MaximumAge) const -> bool;

  /// Time between two reports. Grows with the fleet so that the number of
  /// reports that an instance receives per second is bounded.
  [[nodiscard]] auto reportInterval() const -> Duration;

  /// Returns the number of known instances, including this one.
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
