/// \file
/// Connections between instances: WebSockets that carry CBOR messages.
#pragma once

#include "LibNet/Asio.h"
#include "LibPeer/Message.h"

#include <functional>
#include <memory>

namespace dotterel {

/// Handlers for changes of connections and for received messages.
struct PeerCallbacks {
  std::function<void(InstanceId const &, Incarnation)> Connected;
  std::function<void(InstanceId const &)> Disconnected;
  std::function<void(InstanceId const &, PeerMessage)> Received;
  /// A peer sent a wrong key or another protocol version.
  std::function<void()> Refused;
};

/// Keeps at most one connection to each peer; a new one replaces the old one.
/// Thread safety: none; used on one executor.
class PeerMesh {
public:
  PeerMesh(asio::io_context &Context, InstanceId LocalInstance, Incarnation Run,
           std::string Key, PeerCallbacks Callbacks);
  ~PeerMesh();
  PeerMesh(PeerMesh const &) = delete;
  auto operator=(PeerMesh const &) -> PeerMesh & = delete;

  /// Starts accepting connections at \p Address. Errors: std::exception.
  auto listen(std::string const &Address) -> void;

  /// Connects to \p Peer; Connected or Disconnected reports the result.
  auto connect(InstanceId const &Peer, std::string const &Address) -> void;

  auto disconnect(InstanceId const &Peer) -> void;

  /// Sends to a peer; the message is discarded if the peer is not connected.
  auto send(InstanceId const &Peer, PeerMessage const &Message) -> void;

  /// Stops accepting connections and closes the existing ones.
  auto stop() -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
