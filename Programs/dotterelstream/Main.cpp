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
  auto(*Run)(Arguments const &) -> void;
};

auto versionCommand(Arguments const & /*Given*/) -> void {
  fmt::print("dotterelstream 0.1.0\n");
}

constexpr auto Commands = std::to_array<Command>({
    {"serve", "run an instance", serveCommand},
    {"relay", "run an instance on a platform", relayCommand},
    {"explain-request", "show from logs what became of a request",
     explainRequestCommand},
    {"check", "validate settings or a configuration", checkCommand},
    {"get", "print the accepted configuration", getCommand},
    {"apply", "replace the configuration", applyCommand},
    {"label", "change labels", labelCommand},
    {"status", "show what is declared, what runs and what differs",
     statusCommand},
    {"explain", "show where traffic goes and why", explainCommand},
    {"version", "print the version", versionCommand},
});

auto printHelp() -> void {
  fmt::print("usage: dotterelstream COMMAND [OPTIONS]\n\n");
  for (auto const &it : Commands)
    fmt::print("  {:<16} {}\n", it.Name, it.Summary);
  fmt::print("\n'dotterelstream COMMAND --help' lists a command's options.\n"
             "Exit codes: 0 done, 1 failure, 2 invalid usage, 3 invalid "
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

auto runCommand(std::string_view Name, Arguments const &Given) -> ExitCode {
  auto const *it = std::ranges::find(Commands, Name, &Command::Name);
  if (it == Commands.end()) {
    fmt::print(stderr, "unknown command '{}'\n", Name);
    return ExitCode::InvalidUsage;
  }
  try {
    it->Run(Given);
    return ExitCode::Success;
  } catch (Error const &problem) {
    fmt::print(stderr, "error {} {}: {}\n", static_cast<int>(problem.code()),
               describe(problem.code()).Name, problem.what());
    return exitCodeFor(problem.code());
  } catch (std::exception const &problem) {
    fmt::print(stderr, "error: {}\n", problem.what());
    return ExitCode::Failure;
  }
}

} // namespace

} // namespace dotterel

auto main(int ArgumentCount, char **ArgumentValues) -> int {
  auto given =
      dotterel::Arguments(ArgumentValues + 1, ArgumentValues + ArgumentCount);
  if (given.empty() || given[0] == "--help" || given[0] == "-h") {
    dotterel::printHelp();
    return static_cast<int>(given.empty() ? dotterel::ExitCode::InvalidUsage
                                          : dotterel::ExitCode::Success);
  }
  auto rest = dotterel::Arguments(given.begin() + 1, given.end());
  return static_cast<int>(dotterel::runCommand(given[0], rest));
}
