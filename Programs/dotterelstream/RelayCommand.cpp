/// \file
/// "relay" runs an instance that relays requests on a platform.
#include "CommandLine.h"

#include "LibCore/Incarnation.h"
#include "LibCore/Log.h"
#include "LibGateway/Gateway.h"
#include "LibGateway/GatewaySettings.h"

#include <cstdlib>

namespace dotterel {

namespace {

/// Names the settings file where the command line does not.
constexpr auto SettingsVariable = "DOTTERELSTREAM_SETTINGS";

} // namespace

auto relayCommand(Arguments const &Given) -> void {
  auto line = CommandLine(
      "relay", "Relays requests until SIGTERM, then lets them finish and "
               "leaves. SIGHUP reads the settings again.");
  auto const *variable = std::getenv(SettingsVariable);
  auto path = TCLAP::ValueArg<std::string>(
      "s", "settings",
      "Settings (docs/SETTINGS.md); by default the file that "
      "DOTTERELSTREAM_SETTINGS names",
      variable == nullptr, variable == nullptr ? "" : variable, "file", line);
  if (!line.parseArguments(Given))
    return;
  auto settings = GatewaySettings::load(path.getValue());
  settings.Self.Incarnation = generateIncarnation();
  setLogLevel(parseLogLevel(settings.LogLevel));
  Gateway(std::move(settings), path.getValue()).run();
}

} // namespace dotterel
