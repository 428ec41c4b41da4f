/// \file
/// Datagrams between instances.
#pragma once

#include "LibGateway/Loop.h"
#include "LibNet/Asio.h"

#include <memory>
#include <string_view>

namespace dotterel {

/// Sends and receives reports. Thread safety: none; used on one executor.
class PeerSocket {
public:
  PeerSocket(asio::io_context &Context, std::string_view Address,
             RelayLoop &Owner);
  ~PeerSocket();
  PeerSocket(PeerSocket const &) = delete;
  auto operator=(PeerSocket const &) -> PeerSocket & = delete;

  /// Starts to receive. Errors: boost::system::system_error.
  auto start() -> void;

  auto run(relay::SendPeerReport const &What) -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel
