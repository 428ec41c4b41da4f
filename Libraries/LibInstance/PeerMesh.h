/// \file
/// Connections between instances: websockets that carry CBOR messages.
#pragma once

#include "LibNet/Asio.h"
#include "LibPeer/Message.h"

#include <functional>
#include <memory>

namespace dotterel {

/// What the mesh tells its owner.
struct PeerCallbacks {
  std::function<void(InstanceId const &, Incarnation)> Connected;
  std::function<void(InstanceId const &)> Disconnected;
  std::function<void(InstanceId const &, PeerMessage)> Received;
  /// A peer presented a wrong key or another protocol version.
  std::function<void()> Refused;
};

/// At most one connection to each other instance.
/// Thread safety: none; used on one executor.
class PeerMesh {
public:
  PeerMesh(asio::io_context &Context, InstanceId Self, Incarnation Run,
           std::string Key, PeerCallbacks Callbacks);
  ~PeerMesh();
  PeerMesh(PeerMesh const &) = delete;
  auto operator=(PeerMesh const &) -> PeerMesh & = delete;

  /// Accepts connections at \p Address. Errors: std::exception.
  auto listen(std::string const &Address) -> void;

  /// Connects to \p Peer; answered by Connected or Disconnected.
  auto connect(InstanceId const &Peer, std::string const &Address) -> void;

  auto disconnect(InstanceId const &Peer) -> void;

  /// Sends to a connected peer; does nothing if there is no connection.
  auto send(InstanceId const &Peer, PeerMessage const &Message) -> void;

  /// Stops accepting and closes every connection.
  auto stop() -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel
