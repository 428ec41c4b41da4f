/// \file
/// Brings engines to their declared state: records intents, drains engines and
/// sends orders.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class OrderReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(OrderConnected const &Event) -> void;
  auto on(OrderResultReceived const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Returns the record that the holder of \p Target should write next, without
  /// resolved orders and with new intents.
  [[nodiscard]] auto composeRecord(Shard const &Target) -> ShardRecord;

  /// Makes the orders in progress match the committed record of \p Target.
  auto syncOrders(Shard &Target) -> void;

  /// Abandons the orders of a shard whose lease was lost.
  auto abandonOrders(Shard &Target) -> void;

private:
  struct OrderLocation {
    Shard *Target = nullptr;
    OrderProgress *Progress = nullptr;
  };

  [[nodiscard]] auto locate(ShardName const &Name, EngineId const &Engine,
                            OrderId Order) -> OrderLocation;
  auto step(ShardName const &Name, EngineId const &Engine,
            OrderProgress &Progress) -> void;
  auto stepAwaitingIdle(ShardName const &Name, EngineId const &Engine,
                        OrderProgress &Progress) -> void;
  auto stepConfirming(EngineView const &View, OrderProgress &Progress) -> void;
  auto resolveIfApplied(EngineId const &Engine, EngineView const &View,
                        OrderProgress &Progress) -> bool;
  [[nodiscard]] auto isAcknowledged(DrainReference const &Drain) const -> bool;
  [[nodiscard]] auto mayOrder(Shard const &Target, EngineId const &Engine) const
      -> bool;
  [[nodiscard]] auto hasStoppedOrdering(Shard const &Target,
                                        FormerHolder const &Former) const
      -> bool;
  [[nodiscard]] auto isRedundant(EngineId const &Engine) const -> bool;
  [[nodiscard]] auto needsOrder(EngineId const &Engine) const -> bool;
};

/// Returns the announcement of every shard whose lease this instance holds.
[[nodiscard]] auto makeShardAnnouncements(State const &CurrentState)
    -> std::vector<ShardAnnouncement>;

/// Returns the release of every shard that this instance formerly held and has
/// no outstanding order for, with the highest fencing number seen.
[[nodiscard]] auto makeShardReleases(State const &CurrentState)
    -> std::vector<ShardRelease>;

/// Returns whether an order of \p Target is being connected or sent.
[[nodiscard]] auto hasOrderInFlight(Shard const &Target) -> bool;

/// Returns whether \p Report shows the role and models of \p Desired.
[[nodiscard]] auto matchesState(EngineReport const &Report,
                                DesiredEngineState const &Desired) -> bool;

} // namespace dotterel
