/// \file
/// Brings engines to their declared state: intents, drains and orders.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class OrderReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(OrderConnected const &Happened) -> void;
  auto on(OrderResponded const &Happened) -> void;
  auto on(Tick const &Happened) -> void;

  /// Returns the record that the holder of \p Target should write next:
  /// resolved orders left out, new intents added.
  [[nodiscard]] auto composeRecord(Shard const &Target) -> ShardRecord;

  /// Starts or continues what the committed record of \p Target holds.
  auto followRecord(Shard &Target) -> void;

  /// Forgets the orders of a shard whose lease was lost.
  auto abandonAll(Shard &Target) -> void;

private:
  struct Located {
    Shard *Owner = nullptr;
    OrderProgress *Progress = nullptr;
  };

  [[nodiscard]] auto locate(ShardName const &Name, EngineId const &Engine,
                            OrderId Order) -> Located;
  auto step(ShardName const &Name, EngineId const &Engine,
            OrderProgress &Progress) -> void;
  auto stepAwaitingIdle(ShardName const &Name, EngineId const &Engine,
                        OrderProgress &Progress) -> void;
  auto stepConfirming(EngineView const &View, OrderProgress &Progress) -> void;
  auto resolveIfDone(EngineId const &Engine, EngineView const &View,
                     OrderProgress &Progress) -> bool;
  [[nodiscard]] auto isAcknowledged(DrainReference const &Drain) const -> bool;
  [[nodiscard]] auto mayOrder(Shard const &Target, EngineId const &Engine) const
      -> bool;
  [[nodiscard]] auto isHarmless(Shard const &Target,
                                FormerHolder const &Former) const -> bool;
  [[nodiscard]] auto isCovered(EngineId const &Engine) const -> bool;
  [[nodiscard]] auto wantsOrder(EngineId const &Engine) const -> bool;
};

/// Returns the announcements of every shard that this instance holds.
[[nodiscard]] auto announcementsOf(State const &Subject)
    -> std::vector<ShardAnnouncement>;

/// Returns the shards that this instance held before and has no order for on
/// its way.
[[nodiscard]] auto yieldsOf(State const &Subject) -> std::vector<ShardRelease>;

/// Returns whether an order of \p Subject may be on its way to an engine.
[[nodiscard]] auto hasOrderInFlight(Shard const &Subject) -> bool;

/// Returns whether \p Report shows \p Wanted.
[[nodiscard]] auto matchesState(EngineReport const &Report,
                                DesiredEngineState const &Wanted) -> bool;

} // namespace dotterel
