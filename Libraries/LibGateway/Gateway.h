/// \file
/// One relaying instance: the reducer and the shells around it.
#pragma once

#include "LibGateway/GatewaySettings.h"

#include <memory>
#include <string>

namespace dotterel {

/// Runs until SIGTERM or SIGINT, then finishes its requests and leaves.
/// Thread safety: none.
class Gateway {
public:
  /// \p SettingsPath is read again at SIGHUP.
  Gateway(GatewaySettings Given, std::string SettingsPath);
  ~Gateway();
  Gateway(Gateway const &) = delete;
  auto operator=(Gateway const &) -> Gateway & = delete;

  /// Errors: boost::system::system_error if an address cannot be used.
  auto run() -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel
