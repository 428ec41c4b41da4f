#include "CommandLine.h"

#include <iostream>

namespace dotterel {

CommandLine::CommandLine(std::string const &Command, std::string const &Summary)
    : TCLAP::CmdLine(Summary, ' ', "0.1.0", /*helpAndVersion=*/false),
      Command(Command) {
  setExceptionHandling(false);
}

auto CommandLine::parseArguments(Arguments const &Given) -> bool {
  for (auto const &it : Given) {
    if (it != "--help" && it != "-h")
      continue;
    auto output = TCLAP::StdOutput{};
    _progName = "dotterelstream " + Command;
    output.usage(*this);
    return false;
  }
  auto arguments = Given;
  arguments.insert(arguments.begin(), "dotterelstream " + Command);
  try {
    parse(arguments);
  } catch (TCLAP::ArgException &problem) {
    throw Error(ResultCode::InvalidUsage,
                problem.error() + " " + problem.argId());
  }
  return true;
}

} // namespace dotterel
