/// \file
/// The "relay" command runs an instance that relays requests on a platform.
#include "CommandLine.h"

#include "LibCore/Incarnation.h"
#include "LibCore/Log.h"
#include "LibGateway/Gateway.h"
#include "LibGateway/GatewaySettings.h"

#include <cstdlib>

namespace dotterel {

namespace {

/// Environment variable with the path of the settings file; used if the
/// command line gives none.
constexpr auto SettingsVariable = "DOTTERELSTREAM_SETTINGS";

} // namespace

auto relayCommand(ArgumentList const &Arguments) -> void {
  auto commandLine = CommandLine(
      "relay", "Relays requests until SIGTERM, then finishes those in flight "
               "and exits. SIGHUP reloads the settings.");
  auto const *variable = std::getenv(SettingsVariable);
  auto path = TCLAP::ValueArg<std::string>(
      "s", "settings",
      "Settings (docs/SETTINGS.md); by default the file that "
      "DOTTERELSTREAM_SETTINGS names",
      variable == nullptr, variable == nullptr ? "" : variable, "file",
      commandLine);
  if (!commandLine.parseArguments(Arguments))
    return;
  auto settings = GatewaySettings::load(path.getValue());
  settings.Self.Incarnation = generateIncarnation();
  setLogLevel(parseLogLevel(settings.LogLevel));
  Gateway(std::move(settings), path.getValue()).run();
}

} // namespace dotterel
