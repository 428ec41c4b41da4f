/// \file
/// Shared by the commands: parsing of arguments that throws on errors, and a
/// helper that runs a coroutine to completion.
#pragma once

#include "Commands.h"

#include "LibCore/Error.h"
#include "LibNet/HttpClient.h"

#include <optional>
#include <tclap/CmdLine.h>

namespace dotterel {

/// A TCLAP command line that reports errors as dotterel::Error instead of
/// ending the process.
class CommandLine : public TCLAP::CmdLine {
public:
  CommandLine(std::string const &Command, std::string const &Summary);

  /// Returns false if the arguments asked for help, which was then printed.
  /// Errors: dotterel::Error InvalidUsage.
  auto parseArguments(ArgumentList const &Arguments) -> bool;

private:
  std::string Command;
};

/// Runs \p Task to completion on the calling thread and returns its value.
/// Errors: rethrows what \p Task throws.
template <typename T> auto runBlocking(Awaitable<T> Task) -> T {
  auto context = asio::io_context{1};
  auto value = std::optional<T>{};
  auto exception = std::exception_ptr{};
  asio::co_spawn(context, std::move(Task),
                 [&](std::exception_ptr const &Exception, T Result) {
                   exception = Exception;
                   value = std::move(Result);
                 });
  context.run();
  if (exception)
    std::rethrow_exception(exception);
  return std::move(*value);
}

} // namespace dotterel
