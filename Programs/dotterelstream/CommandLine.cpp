#include "CommandLine.h"

#include <iostream>

namespace dotterel {

CommandLine::CommandLine(std::string const &Command, std::string const &Summary)
    : TCLAP::CmdLine(Summary, ' ', "0.1.0", /*helpAndVersion=*/false),
      Command(Command) {
  setExceptionHandling(false);
}

auto CommandLine::parseArguments(ArgumentList const &Arguments) -> bool {
  for (auto const &it : Arguments) {
    if (it != "--help" && it != "-h")
      continue;
    auto output = TCLAP::StdOutput{};
    _progName = "dotterelstream " + Command;
    output.usage(*this);
    return false;
  }
  auto arguments = Arguments;
  arguments.insert(arguments.begin(), "dotterelstream " + Command);
  try {
    parse(arguments);
  } catch (TCLAP::ArgException &exception) {
    throw Error(ResultCode::InvalidUsage,
                exception.error() + " " + exception.argId());
  }
  return true;
}

} // namespace dotterel
