/// \file
/// UDP datagrams between instances.
#pragma once

#include "LibGateway/RelayLoop.h"
#include "LibNet/Asio.h"

#include <memory>
#include <string_view>

namespace dotterel {

/// Sends datagrams to peers and feeds received ones to the reducer. Thread
/// safety: none; used on one executor.
class PeerSocket {
public:
  PeerSocket(asio::io_context &Context, std::string_view Address,
             RelayLoop &Loop);
  ~PeerSocket();
  PeerSocket(PeerSocket const &) = delete;
  auto operator=(PeerSocket const &) -> PeerSocket & = delete;

  /// Starts receiving. Errors: boost::system::system_error.
  auto start() -> void;

  auto run(relay::SendPeerReport const &Effect) -> void;
  auto run(relay::SendPermitRequest const &Effect) -> void;
  auto run(relay::SendPermitResponse const &Effect) -> void;
  auto run(relay::SendConfirmationRequest const &Effect) -> void;
  auto run(relay::SendConfirmationResponse const &Effect) -> void;
  auto run(relay::SendUsage const &Effect) -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
