/// \file
/// Entry point of dotterelstream.
#include "Commands.h"

#include "LibCore/Error.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <string_view>

namespace dotterel {

namespace {

/// Exit codes; docs/RESULT-CODES.md lists them.
enum class ExitCode : int {
  Success = 0,
  Failure = 1,
  InvalidUsage = 2,
  InvalidInput = 3,
  Conflict = 4,
  Unreachable = 5,
  NotFound = 6,
};

struct Command {
  std::string_view Name;
  std::string_view Summary;
  auto(*Run)(ArgumentList const &) -> void;
};

auto versionCommand(ArgumentList const & /*Arguments*/) -> void {
  fmt::print("dotterelstream 0.1.0\n");
}

constexpr auto Commands = std::to_array<Command>({
    {"serve", "run an instance", serveCommand},
    {"relay", "run an instance on a platform", relayCommand},
    {"explain-request", "show from logs how a request ended and why",
     explainRequestCommand},
    {"check", "validate settings or a configuration", checkCommand},
    {"get", "print the accepted configuration", getCommand},
    {"apply", "replace the configuration", applyCommand},
    {"label", "set or remove labels", labelCommand},
    {"status", "show the declared and the actual state, and the difference",
     statusCommand},
    {"explain", "show which route a call takes and its servers",
     explainCommand},
    {"version", "print the version", versionCommand},
});

auto printHelp() -> void {
  fmt::print("usage: dotterelstream COMMAND [OPTIONS]\n\n");
  for (auto const &it : Commands)
    fmt::print("  {:<16} {}\n", it.Name, it.Summary);
  fmt::print("\n'dotterelstream COMMAND --help' lists a command's options.\n"
             "Exit codes: 0 success, 1 failure, 2 invalid usage, 3 invalid "
             "input,\n4 conflict, 5 unreachable, 6 not found.\n");
}

auto exitCodeFor(ResultCode Code) -> ExitCode {
  switch (Code) {
  case ResultCode::InvalidUsage:
    return ExitCode::InvalidUsage;
  case ResultCode::InvalidConfiguration:
  case ResultCode::InvalidSettings:
    return ExitCode::InvalidInput;
  case ResultCode::RevisionConflict:
    return ExitCode::Conflict;
  case ResultCode::ObjectApiUnavailable:
  case ResultCode::InstanceUnreachable:
    return ExitCode::Unreachable;
  case ResultCode::ObjectNotFound:
    return ExitCode::NotFound;
  default:
    return ExitCode::Failure;
  }
}

auto runCommand(std::string_view Name, ArgumentList const &Arguments)
    -> ExitCode {
  auto const *it = std::ranges::find(Commands, Name, &Command::Name);
  if (it == Commands.end()) {
    fmt::print(stderr, "unknown command '{}'\n", Name);
    return ExitCode::InvalidUsage;
  }
  try {
    it->Run(Arguments);
    return ExitCode::Success;
  } catch (Error const &error) {
    fmt::print(stderr, "error {} {}: {}\n", static_cast<int>(error.code()),
               describe(error.code()).Name, error.what());
    return exitCodeFor(error.code());
  } catch (std::exception const &error) {
    fmt::print(stderr, "error: {}\n", error.what());
    return ExitCode::Failure;
  }
}

} // namespace

} // namespace dotterel

auto main(int ArgumentCount, char **ArgumentValues) -> int {
  auto arguments = dotterel::ArgumentList(ArgumentValues + 1,
                                          ArgumentValues + ArgumentCount);
  if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "-h") {
    dotterel::printHelp();
    return static_cast<int>(arguments.empty() ? dotterel::ExitCode::InvalidUsage
                                              : dotterel::ExitCode::Success);
  }
  auto commandArguments =
      dotterel::ArgumentList(arguments.begin() + 1, arguments.end());
  return static_cast<int>(dotterel::runCommand(arguments[0], commandArguments));
}
