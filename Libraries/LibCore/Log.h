/// \file
/// Structured logging: one line of key=value pairs per event on standard
/// output. Writes never block: while the reader stalls, lines are dropped and
/// counted.
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

/// Sets the lowest level that is logged. Thread safety: call before threads
/// start.
auto setLogLevel(LogLevel Lowest) -> void;

/// Parses a level's name. Errors: dotterel::Error InvalidSettings.
[[nodiscard]] auto parseLogLevel(std::string_view Name) -> LogLevel;

/// Logs one event. Lines above the limit per second are dropped; their number
/// is logged once the second has ended.
/// Thread safety: one thread at a time.
auto log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields) -> void;

/// Logs one event whose key=value pairs are already formatted.
/// Thread safety: as log.
auto logLine(LogLevel Level, std::string_view Event, std::string_view Pairs)
    -> void;

/// Returns \p Value as it is written in a log line: quoted and escaped where
/// needed, with line breaks and tabs replaced by spaces.
[[nodiscard]] auto quoteLogValue(std::string_view Value) -> std::string;

} // namespace dotterel
