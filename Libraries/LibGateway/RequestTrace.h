/// \file
/// What the logs of several instances say of one request, and its cause.
#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// The lines of one request in order of time, and why it ended as it did.
struct RequestTrace {
  std::vector<std::string> Lines;
  /// One sentence in plain words; empty if no line says how it ended.
  std::string Cause;
};

/// Returns the value of \p Key in a log line, or an empty string.
[[nodiscard]] auto logValue(std::string_view Line, std::string_view Key)
    -> std::string_view;

/// Reads \p Logs and collects what they say of the request \p Id.
/// Thread safety: safe from any thread.
[[nodiscard]] auto traceRequest(std::vector<std::istream *> const &Logs,
                                std::string_view Id) -> RequestTrace;

} // namespace dotterel
