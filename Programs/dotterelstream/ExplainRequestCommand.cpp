/// \file
/// The "explain-request" command collects the log lines of one request.
#include "CommandLine.h"

#include "LibGateway/RequestTrace.h"

#include <fmt/format.h>
#include <fstream>

namespace dotterel {

auto explainRequestCommand(ArgumentList const &Arguments) -> void {
  auto commandLine = CommandLine(
      "explain-request", "Prints the log lines of one request from several "
                         "instances by time, and why it ended as it did.");
  auto id = TCLAP::UnlabeledValueArg<std::string>("id", "The request's id",
                                                  true, "", "id", commandLine);
  auto paths = TCLAP::UnlabeledMultiArg<std::string>(
      "files", "Logs of the instances", true, "file", commandLine);
  if (!commandLine.parseArguments(Arguments))
    return;
  auto files = std::vector<std::ifstream>{};
  for (auto const &it : paths.getValue()) {
    files.emplace_back(it);
    if (!files.back())
      throw Error(ResultCode::InvalidUsage,
                  fmt::format("cannot read file '{}'", it));
  }
  auto logs = std::vector<std::istream *>{};
  for (auto &it : files)
    logs.push_back(&it);
  auto trace = traceRequest(logs, id.getValue());
  if (trace.Lines.empty())
    throw Error(
        ResultCode::ObjectNotFound,
        fmt::format("no log line mentions request '{}'", id.getValue()));
  for (auto const &it : trace.Lines)
    fmt::print("{}\n", it);
  fmt::print("cause: {}\n", trace.Cause.empty()
                                ? "no log line says how it ended"
                                : trace.Cause);
}

} // namespace dotterel
