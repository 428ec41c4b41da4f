/// \file
/// A relaying instance: the reducer and the network I/O around it.
#pragma once

#include "LibGateway/GatewaySettings.h"

#include <memory>
#include <string>

namespace dotterel {

/// Runs until SIGTERM or SIGINT, then completes its requests and leaves the
/// fleet.
/// Thread safety: none.
class Gateway {
public:
  /// \p SettingsPath is read again on SIGHUP.
  Gateway(GatewaySettings Settings, std::string SettingsPath);
  ~Gateway();
  Gateway(Gateway const &) = delete;
  auto operator=(Gateway const &) -> Gateway & = delete;

  /// Errors: boost::system::system_error if an address cannot be used.
  auto run() -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
