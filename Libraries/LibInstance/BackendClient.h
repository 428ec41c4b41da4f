/// \file
/// HTTP client for attempts at backend servers, engine reports and orders.
#pragma once

#include "LibControl/Effect.h"
#include "LibInstance/ControlLoop.h"
#include "LibNet/HttpClient.h"

#include <map>

namespace dotterel {

/// Carries out the effects that concern backend servers.
/// Thread safety: none; used on one executor.
class BackendClient {
public:
  BackendClient(asio::io_context &Context, ControlLoop &Loop);

  auto run(ConnectAttempt const &Effect) -> void;
  auto run(SendAttempt const &Effect) -> void;
  auto run(CancelAttempt const &Effect) -> void;
  auto run(PollEngine const &Effect) -> void;
  auto run(ConnectOrder const &Effect) -> void;
  auto run(SendOrder const &Effect) -> void;
  auto run(RaiseFence const &Effect) -> void;
  auto run(AbandonOrder const &Effect) -> void;

private:
  /// The connection of one attempt or order.
  struct ActiveConnection {
    explicit ActiveConnection(asio::any_io_executor const &Executor)
        : Connection(Executor) {}
    HttpConnection Connection;
    bool IsCancelled = false;
  };
  using ActiveConnectionPointer = std::shared_ptr<ActiveConnection>;

  /// Identifies the connection of one order.
  struct OrderKey {
    ShardName Shard;
    EngineId Engine;
    OrderId Order = 0;
    auto operator<=>(OrderKey const &) const = default;
  };

  auto connect(AttemptId Attempt, std::string Address,
               ActiveConnectionPointer Active) -> Awaitable<void>;
  auto send(SendAttempt Effect, ActiveConnectionPointer Active)
      -> Awaitable<void>;
  auto readStream(AttemptId Attempt, ActiveConnectionPointer Active)
      -> Awaitable<void>;
  auto readCompleteResponse(AttemptId Attempt, unsigned Status,
                            ActiveConnectionPointer Active) -> Awaitable<void>;
  auto finish(AttemptId Attempt, ActiveConnectionPointer const &Active,
              EventBody Event) -> void;
  auto poll(EngineId Engine, std::string Address) -> Awaitable<void>;
  auto connectOrder(OrderKey Key, std::string Address,
                    ActiveConnectionPointer Active) -> Awaitable<void>;
  auto sendOrder(SendOrder Effect, ActiveConnectionPointer Active)
      -> Awaitable<void>;
  auto raiseFence(RaiseFence Effect) -> Awaitable<void>;

  asio::io_context &Context; // NOLINT: outlives the client
  ControlLoop &Loop;         // NOLINT
  std::map<AttemptId, ActiveConnectionPointer> Attempts;
  std::map<OrderKey, ActiveConnectionPointer> Orders;
};

} // namespace dotterel
