/// \file
/// The HTTP servers of an instance: for callers, readiness checks and steering.
#pragma once

#include "LibGateway/GatewaySettings.h"
#include "LibGateway/RelayLoop.h"
#include "LibNet/HttpServer.h"

#include <memory>

namespace dotterel {

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

  /// Returns whether every response has been written.
  [[nodiscard]] auto isIdle() const -> bool;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
