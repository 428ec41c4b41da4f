/// \file
/// The HTTP servers of an instance: for callers, readiness checks and steering.
#pragma once

#include "LibGateway/GatewaySettings.h"
#include "LibGateway/RelayLoop.h"
#include "LibNet/HttpServer.h"

#include <memory>

namespace dotterel {

/// What the instance holds for its callers.
struct CallerLoad {
  std::size_t Connections = 0;
  /// Memory of requests that are received or in progress.
  std::size_t RequestBytes = 0;
  /// Bytes of streams and large bodies that wait to be written.
  std::size_t BacklogBytes = 0;
  /// Times that there was no memory for a request.
  std::uint64_t MemoryRefusals = 0;
  /// Connections that were closed to make room for others.
  std::uint64_t EvictedConnections = 0;
};

/// Serves callers, readiness checks and steering (which tells callers to which
/// instances to connect).
/// Thread safety: none; used on one executor.
class CallerServer {
public:
  CallerServer(asio::io_context &Context, GatewaySettings const &Settings,
               RelayLoop &Loop);
  ~CallerServer();
  CallerServer(CallerServer const &) = delete;
  auto operator=(CallerServer const &) -> CallerServer & = delete;

  /// Starts accepting connections. Errors: boost::system::system_error.
  auto start() -> void;

  auto run(relay::ForwardResponse &Effect) -> void;
  auto run(relay::BeginStream &Effect) -> void;
  auto run(relay::ForwardBytes &Effect) -> void;
  auto run(relay::EndStream &Effect) -> void;
  auto run(relay::AbortStream &Effect) -> void;
  auto run(relay::SendErrorResponse &Effect) -> void;
  auto run(relay::SendSteeringResponse &Effect) -> void;

  /// Applies the limits of the configuration in force.
  auto applyLimits(relay::CallerLimits const &Limits) -> void;

  /// Closes each connection of a caller after its next response.
  auto closeAfterResponses() -> void;

  [[nodiscard]] auto load() const -> CallerLoad;

  /// Waits until the caller has read most of what was passed on of its
  /// response, or the response has ended.
  [[nodiscard]] auto awaitRoom(relay::RequestNumber Number) -> Awaitable<void>;

  /// Returns whether every response has been written.
  [[nodiscard]] auto isIdle() const -> bool;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
