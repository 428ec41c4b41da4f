/// \file
/// Collects the log lines of one request and explains how it ended.
#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// The log lines of one request, sorted by time, and the reason for its result.
struct RequestTrace {
  std::vector<std::string> Lines;
  /// One sentence; empty if no line reports the end of the request.
  std::string Cause;
};

/// Returns the value of \p Key in a log line, or an empty string.
[[nodiscard]] auto logValue(std::string_view Line, std::string_view Key)
    -> std::string_view;

/// Collects the lines of the request \p Id from \p Logs, the logs of one or
/// several instances.
/// Thread safety: safe from any thread.
[[nodiscard]] auto traceRequest(std::vector<std::istream *> const &Logs,
                                std::string_view Id) -> RequestTrace;

} // namespace dotterel
