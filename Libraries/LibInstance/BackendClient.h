/// \file
/// Attempts at backend servers, reports of engines, and orders to them.
#pragma once

#include "LibControl/Effect.h"
#include "LibInstance/Core.h"
#include "LibNet/HttpClient.h"

#include <map>

namespace dotterel {

/// Carries out the effects that concern backend servers.
/// Thread safety: none; used on one executor.
class BackendClient {
public:
  BackendClient(asio::io_context &Context, Core &Owner);

  auto run(ConnectAttempt const &What) -> void;
  auto run(SendAttempt const &What) -> void;
  auto run(CancelAttempt const &What) -> void;
  auto run(PollEngine const &What) -> void;
  auto run(ConnectOrder const &What) -> void;
  auto run(SendOrder const &What) -> void;
  auto run(RaiseFence const &What) -> void;
  auto run(AbandonOrder const &What) -> void;

private:
  /// A connection for one attempt.
  struct Running {
    explicit Running(asio::any_io_executor const &Executor)
        : Connection(Executor) {}
    HttpConnection Connection;
    bool IsCancelled = false;
  };
  using RunningPointer = std::shared_ptr<Running>;

  /// Names one order's connection.
  struct OrderKey {
    ShardName Shard;
    EngineId Engine;
    OrderId Order = 0;
    auto operator<=>(OrderKey const &) const = default;
  };

  auto connect(AttemptId Attempt, std::string Address, RunningPointer Target)
      -> Awaitable<void>;
  auto send(SendAttempt What, RunningPointer Target) -> Awaitable<void>;
  auto readStream(AttemptId Attempt, RunningPointer Target) -> Awaitable<void>;
  auto readWhole(AttemptId Attempt, unsigned Status, RunningPointer Target)
      -> Awaitable<void>;
  auto finish(AttemptId Attempt, RunningPointer const &Target,
              EventBody Happened) -> void;
  auto poll(EngineId Engine, std::string Address) -> Awaitable<void>;
  auto connectOrder(OrderKey Key, std::string Address, RunningPointer Target)
      -> Awaitable<void>;
  auto sendOrder(SendOrder What, RunningPointer Target) -> Awaitable<void>;
  auto raiseFence(RaiseFence What) -> Awaitable<void>;

  asio::io_context &Context; // NOLINT: outlives the client
  Core &Owner;               // NOLINT
  std::map<AttemptId, RunningPointer> Attempts;
  std::map<OrderKey, RunningPointer> Orders;
};

} // namespace dotterel
