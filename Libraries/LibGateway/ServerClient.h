/// \file
/// Attempts at backend servers, over connections that are kept.
#pragma once

#include "LibGateway/Loop.h"
#include "LibNet/HttpClient.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace dotterel {

/// Carries out the effects that concern backend servers.
/// Thread safety: none; used on one executor.
class ServerClient {
public:
  ServerClient(asio::io_context &Context, RelayLoop &Owner);
  ~ServerClient();
  ServerClient(ServerClient const &) = delete;
  auto operator=(ServerClient const &) -> ServerClient & = delete;

  auto run(relay::ConnectAttempt const &What) -> void;
  auto run(relay::SendAttempt &What) -> void;
  auto run(relay::CancelAttempt const &What) -> void;
  auto run(relay::ReleasePrefill const &What) -> void;
  auto run(relay::SendOrder const &What) -> void;
  auto run(relay::CloseIdleConnections const &What) -> void;

  /// Closes connections that servers are about to close.
  auto expireIdle() -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel
