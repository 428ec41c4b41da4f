/// \file
/// Takes, renews and releases the leases of shards.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class LeaseReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ShardRead const &Happened) -> void;
  auto on(ShardReadFailed const &Happened) -> void;
  auto on(ShardWritten const &Happened) -> void;
  auto on(Tick const &Happened) -> void;

  /// Takes over the shards of the current configuration.
  auto rebuild() -> void;

private:
  auto step(Shard &Target) -> void;
  auto stepFollower(Shard &Target) -> void;
  auto stepHolder(Shard &Target) -> void;
  auto read(Shard &Target) -> void;
  auto write(Shard &Target, ShardRecord Record) -> void;
  auto acquire(Shard &Target) -> void;
  auto release(Shard &Target) -> void;
  auto adopt(Shard &Target) -> void;
  auto lose(Shard &Target) -> void;
  auto raiseFences(Shard &Target) -> void;
  [[nodiscard]] auto mayAcquire(Shard const &Target) const -> bool;
  [[nodiscard]] auto candidateRank(ShardName const &Name) const -> int;
};

} // namespace dotterel
