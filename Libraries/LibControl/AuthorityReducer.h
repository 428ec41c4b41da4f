/// \file
/// Takes, renews and releases the leases of shards.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class AuthorityReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ShardRead const &Happened) -> void;
  auto on(ShardReadFailed const &Happened) -> void;
  auto on(ShardWritten const &Happened) -> void;
  auto on(Tick const &Happened) -> void;

  /// Takes over the shards of the current configuration.
  auto rebuild() -> void;

private:
  auto step(ShardName const &Name, Shard &Subject) -> void;
  auto stepFollower(ShardName const &Name, Shard &Target) -> void;
  auto stepHolder(ShardName const &Name, Shard &Target) -> void;
  auto read(ShardName const &Name, Shard &Target) -> void;
  auto write(ShardName const &Name, Shard &Target, ShardRecord Record) -> void;
  auto acquire(ShardName const &Name, Shard &Target) -> void;
  auto release(ShardName const &Name, Shard &Target) -> void;
  auto adopt(ShardName const &Name, Shard &Target) -> void;
  auto lose(ShardName const &Name, Shard &Target) -> void;
  auto raiseFences(ShardName const &Name, Shard &Target) -> void;
  [[nodiscard]] auto mayAcquire(ShardName const &Name,
                                Shard const &Target) const -> bool;
  [[nodiscard]] auto candidateRank(ShardName const &Name) const -> int;
};

} // namespace dotterel
