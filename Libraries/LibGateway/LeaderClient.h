/// \file
/// Calls the platform's interface for usage reports and orders of servers.
#pragma once

#include "LibGateway/RelayLoop.h"
#include "LibNet/Asio.h"

#include <memory>
#include <string>

namespace dotterel {

/// Sends one call after another, and none whose authority has ended. Passes the
/// results on to the loop. Thread safety: none; used on one executor.
class LeaderClient {
public:
  /// Precondition: \p Context and \p Loop outlive the client.
  LeaderClient(asio::io_context &Context, std::string Address, RelayLoop &Loop);
  ~LeaderClient();
  LeaderClient(LeaderClient const &) = delete;
  auto operator=(LeaderClient const &) -> LeaderClient & = delete;

  auto run(relay::SendUsageReport const &Effect) -> void;
  auto run(relay::OrderServers const &Effect) -> void;

private:
  struct Implementation;
  std::shared_ptr<Implementation> Impl;
};

} // namespace dotterel
