/// \file
/// What the commands share: parsing that throws, and blocking exchanges.
#pragma once

#include "Commands.h"

#include "LibCore/Error.h"
#include "LibNet/HttpClient.h"

#include <optional>
#include <tclap/CmdLine.h>

namespace dotterel {

/// A TCLAP command line that reports errors by exception.
class CommandLine : public TCLAP::CmdLine {
public:
  CommandLine(std::string const &Command, std::string const &Summary);

  /// Errors: dotterel::Error InvalidUsage. Returns false if help was shown.
  auto parseArguments(Arguments const &Given) -> bool;

private:
  std::string Command;
};

/// Runs \p Work to its end and returns its value.
template <typename T> auto runBlocking(Awaitable<T> Work) -> T {
  auto context = asio::io_context{1};
  auto value = std::optional<T>{};
  auto failure = std::exception_ptr{};
  asio::co_spawn(context, std::move(Work),
                 [&](std::exception_ptr const &Problem, T Result) {
                   failure = Problem;
                   value = std::move(Result);
                 });
  context.run();
  if (failure)
    std::rethrow_exception(failure);
  return std::move(*value);
}

} // namespace dotterel
