/// \file
/// Callers' connections: requests in, answers out, and where to connect.
#pragma once

#include "LibGateway/GatewaySettings.h"
#include "LibGateway/Loop.h"
#include "LibNet/HttpServer.h"

#include <memory>

namespace dotterel {

/// Serves callers, readiness checks and steering.
/// Thread safety: none; used on one executor.
class CallerFront {
public:
  CallerFront(asio::io_context &Context, GatewaySettings const &Given,
              RelayLoop &Owner);
  ~CallerFront();
  CallerFront(CallerFront const &) = delete;
  auto operator=(CallerFront const &) -> CallerFront & = delete;

  /// Starts to accept. Errors: boost::system::system_error.
  auto start() -> void;

  auto run(relay::ForwardResponse &What) -> void;
  auto run(relay::BeginStream &What) -> void;
  auto run(relay::ForwardBytes &What) -> void;
  auto run(relay::EndStream &What) -> void;
  auto run(relay::AbortStream &What) -> void;
  auto run(relay::SendErrorResponse &What) -> void;
  auto run(relay::SendSteeringResponse &What) -> void;

  /// Applies the limits of the configuration in force.
  auto applyLimits(relay::CallerLimits const &Limits) -> void;

  /// Makes every further answer the last one on its connection.
  auto closeAfterResponses() -> void;

  /// Returns whether every answer has left.
  [[nodiscard]] auto isIdle() const -> bool;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel
