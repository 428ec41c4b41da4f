/// \file
/// Leases on shards of engines, and the orders that lease holders send.
#pragma once

#include "LibControl/LeaseLifecycle.h"
#include "LibControl/OrderLifecycle.h"
#include "LibControl/ShardRecord.h"
#include "LibCore/Time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dotterel {

/// An unresolved order at the holder of the lease.
struct OrderProgress {
  OrderLifecycle Lifecycle;
  OrderRecord Record;
  /// When every instance had acknowledged the drain, or the engine last
  /// refused the order as busy; only later reports can show that it is idle.
  Instant AcknowledgedAt;
  Instant SentAt;
  Instant NextStep;
};

/// An order that this process sent and that has no definite response yet.
struct OutstandingOrder {
  EngineId Engine;
  OrderId Order = 0;
  auto operator<=>(OutstandingOrder const &) const = default;
};

/// This instance's view of one shard.
struct Shard {
  ShardName Name;
  std::vector<EngineId> Engines;
  LeaseLifecycle Lease;
  /// The record as last read or committed.
  ShardRecord Record;
  std::uint64_t Version = 0;
  bool HasRead = false;
  bool IsReading = false;
  Instant NextRead;
  /// When this instance first read the current version. The expiry of another
  /// holder's lease is counted from this.
  Instant VersionSeenAt;
  /// A write that is in flight or whose result is unknown.
  std::optional<ShardRecord> Pending;
  Instant PendingSentAt;
  Instant NextRenewal;
  /// When this instance acquired the lease.
  Instant AcquiredAt;
  /// End of the period in which this holder may send orders. Measured on the
  /// monotonic clock, from a time before the last successful write was sent.
  Instant ValidUntil;
  std::map<EngineId, OrderProgress> Orders;
  std::set<OutstandingOrder> OutstandingOrders;
  /// When this instance last sent each engine its fencing number.
  std::map<EngineId, Instant> FenceRaisedAt;
};

/// All shards of the current configuration.
struct LeaseTable {
  std::map<ShardName, Shard> Shards;
  std::uint64_t NextWriteNumber = 1;
};

/// Returns the shard of \p Engine. It depends on the engine's name alone, so
/// that a configuration change never moves an engine to another holder.
[[nodiscard]] auto shardOf(EngineId const &Engine) -> ShardName;

/// Returns whether this instance holds the lease of \p Target and may send
/// orders at \p Now.
[[nodiscard]] auto isValidHolder(Shard const &Target, Instant Now) -> bool;

/// Returns whether this instance is recorded as the holder of \p Target,
/// whether or not its lease has expired.
[[nodiscard]] auto isHolder(Shard const &Target) -> bool;

} // namespace dotterel
