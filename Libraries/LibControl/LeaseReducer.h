/// \file
/// Acquires, renews and releases the leases of shards.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class LeaseReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ShardRead const &Event) -> void;
  auto on(ShardReadFailed const &Event) -> void;
  auto on(ShardWritten const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Rebuilds the shard table from the current configuration.
  auto rebuild() -> void;

private:
  auto step(Shard &Target) -> void;
  auto stepFollower(Shard &Target) -> void;
  auto stepHolder(Shard &Target) -> void;
  auto read(Shard &Target) -> void;
  auto write(Shard &Target, ShardRecord Record) -> void;
  auto acquire(Shard &Target) -> void;
  auto release(Shard &Target) -> void;
  auto applyCommittedRecord(Shard &Target) -> void;
  auto dropLease(Shard &Target) -> void;
  auto raiseFences(Shard &Target) -> void;
  [[nodiscard]] auto mayAcquire(Shard const &Target) const -> bool;
  [[nodiscard]] auto candidateRank(ShardName const &Name) const -> int;
};

} // namespace dotterel
