/// \file
/// The "serve" command runs an instance; "check" validates settings or a
/// configuration without side effects.
#include "CommandLine.h"

#include "LibConfiguration/FleetConfiguration.h"
#include "LibConfiguration/Settings.h"
#include "LibCore/Log.h"
#include "LibGateway/GatewaySettings.h"
#include "LibInstance/Instance.h"

#include <fmt/format.h>

namespace dotterel {

auto serveCommand(ArgumentList const &Arguments) -> void {
  auto commandLine = CommandLine(
      "serve", "Runs an instance until SIGTERM, then finishes the calls in "
               "flight and exits.");
  auto path = TCLAP::ValueArg<std::string>(
      "s", "settings", "Settings of the instance (docs/SETTINGS.md)", true, "",
      "file", commandLine);
  if (!commandLine.parseArguments(Arguments))
    return;
  auto settings = Settings::load(path.getValue());
  setLogLevel(parseLogLevel(settings.LogLevel));
  Instance(std::move(settings)).run();
}

auto checkCommand(ArgumentList const &Arguments) -> void {
  auto commandLine = CommandLine("check", "Validates a settings file, a "
                                          "configuration file, or both.");
  auto settings = TCLAP::ValueArg<std::string>(
      "s", "settings", "Settings to validate", false, "", "file", commandLine);
  auto configuration = TCLAP::ValueArg<std::string>(
      "f", "file", "Configuration to validate", false, "", "file", commandLine);
  auto relay = TCLAP::ValueArg<std::string>(
      "r", "relay-settings", "Settings of a relaying instance to validate",
      false, "", "file", commandLine);
  auto listRelay = TCLAP::SwitchArg(
      "", "list-relay-settings",
      "Print the settings of a relaying instance like --list-settings",
      commandLine);
  auto list = TCLAP::SwitchArg(
      "l", "list-settings",
      "Print the settings with their allowed values and defaults", commandLine);
  if (!commandLine.parseArguments(Arguments))
    return;
  if (list.getValue())
    return fmt::print("{}", Settings::describeFields());
  if (listRelay.getValue())
    return fmt::print("{}", GatewaySettings::describeFields());
  if (!settings.isSet() && !configuration.isSet() && !relay.isSet())
    throw Error(ResultCode::InvalidUsage,
                "one of --settings, --relay-settings and --file is required");
  if (relay.isSet())
    (void)GatewaySettings::load(relay.getValue());
  if (settings.isSet())
    (void)Settings::load(settings.getValue());
  if (!configuration.isSet())
    return fmt::print("valid\n");
  auto text = readFile(configuration.getValue());
  auto compiled = FleetConfiguration::compile(text, 0);
  for (auto const &it : compiled->warnings())
    fmt::print("warning: {}\n", it);
  fmt::print("valid\n");
}

} // namespace dotterel
