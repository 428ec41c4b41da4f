/// \file
/// Carries out attempts at backend servers over persistent connections.
#pragma once

#include "LibGateway/RelayLoop.h"
#include "LibNet/HttpClient.h"

#include <functional>
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
  /// Waits until the caller of a request can take more of its response.
  using RoomWaiter = std::function<Awaitable<void>(relay::RequestNumber)>;

  ServerClient(asio::io_context &Context, RelayLoop &Loop,
               RoomWaiter AwaitRoom);
  ~ServerClient();
  ServerClient(ServerClient const &) = delete;
  auto operator=(ServerClient const &) -> ServerClient & = delete;

  auto run(relay::ConnectAttempt const &Effect) -> void;
  auto run(relay::SendAttempt &Effect) -> void;
  auto run(relay::CancelAttempt const &Effect) -> void;
  auto run(relay::ReleasePrefill const &Effect) -> void;
  auto run(relay::SendOrder const &Effect) -> void;
  auto run(relay::CloseIdleConnections const &Effect) -> void;

  /// Closes idle connections that servers have closed or will close soon.
  auto expireIdle() -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
