/// \file
/// Parsing of server-sent events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dotterel {

/// One server-sent event.
struct StreamEvent {
  /// Value of the id field; std::nullopt if it is missing or not a number.
  std::optional<std::uint32_t> Id;
  std::string Data;
};

/// Incremental parser of a stream of server-sent events. Thread safety: none.
class EventStreamParser {
public:
  /// Returns the buffer to append received bytes to.
  [[nodiscard]] auto buffer() -> std::string & { return Buffer; }

  /// Removes and returns the next complete event, or returns std::nullopt.
  [[nodiscard]] auto next() -> std::optional<StreamEvent>;

  /// Returns whether the buffer exceeds the size limit of one event.
  [[nodiscard]] auto isOverlong() const -> bool;

private:
  std::string Buffer;
};

} // namespace dotterel
