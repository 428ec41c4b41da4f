/// \file
/// Leases on shards of engines, and the orders that their holders carry out.
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

/// An order in progress at the holder.
struct OrderProgress {
  OrderLifecycle Lifecycle;
  OrderRecord Record;
  Instant AcknowledgedAt;
  Instant SentAt;
  Instant NextStep;
};

/// An order that left this process and has had no definite answer.
struct UnansweredOrder {
  EngineId Engine;
  OrderId Order = 0;
  auto operator<=>(UnansweredOrder const &) const = default;
};

/// One shard as this instance sees it.
struct Shard {
  ShardName Name;
  std::vector<EngineId> Engines;
  LeaseLifecycle Lease;
  /// The record as last read or committed, and its version.
  ShardRecord Record;
  std::uint64_t Version = 0;
  bool HasRead = false;
  bool IsReading = false;
  Instant NextRead;
  Instant VersionSeen;
  /// The write in flight or of unknown fate.
  std::optional<ShardRecord> Pending;
  Instant PendingSent;
  Instant NextRenewal;
  /// When this instance took the lease.
  Instant TakenAt;
  /// Until when this holder may act; monotonic, counted from before sending.
  Instant ValidUntil;
  std::map<EngineId, OrderProgress> Orders;
  std::set<UnansweredOrder> Unanswered;
  /// When this instance last told each engine to raise its fence.
  std::map<EngineId, Instant> FenceRaised;
};

/// All shards of the current configuration.
struct LeaseTable {
  std::map<ShardName, Shard> Shards;
  std::uint64_t NextWriteNumber = 1;
};

/// Returns the shard that \p Engine belongs to. It depends on the name alone,
/// so that no change of configuration moves an engine between holders.
[[nodiscard]] auto shardOf(EngineId const &Engine) -> ShardName;

/// Returns whether the holder of \p Subject may act at \p Now.
[[nodiscard]] auto isValidHolder(Shard const &Subject, Instant Now) -> bool;

/// Returns whether this instance is recorded as the holder of \p Subject,
/// whether or not its lease is valid now.
[[nodiscard]] auto isHolder(Shard const &Subject) -> bool;

} // namespace dotterel
