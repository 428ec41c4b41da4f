/// \file
/// Structured logs: one line of key=value pairs per event, to standard
/// output. A reader that stalls loses lines, which are counted, and never
/// blocks the process.
#pragma once

#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace dotterel {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line.
struct LogField {
  template <typename T>
  LogField(std::string_view Key, T const &Value)
      : Key(Key), Value(fmt::format("{}", Value)) {}

  std::string_view Key;
  std::string Value;
};

/// Sets the lowest level that is written. Thread safety: call before threads
/// start.
auto setLogLevel(LogLevel Lowest) -> void;

/// Parses a level's name. Errors: dotterel::Error InvalidSettings.
[[nodiscard]] auto parseLogLevel(std::string_view Name) -> LogLevel;

/// Writes one event. Lines beyond the limit per second are counted and
/// reported in one line when the second ends.
/// Thread safety: one thread at a time.
auto log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields) -> void;

/// Writes one event whose key=value pairs are formatted already.
auto logLine(LogLevel Level, std::string_view Event, std::string_view Pairs)
    -> void;

/// Formats a value for a log line, quoted where it needs to be.
[[nodiscard]] auto quoteLogValue(std::string_view Value) -> std::string;

} // namespace dotterel
