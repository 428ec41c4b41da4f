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
  /// Value of the id field, if it is a number.
  std::optional<std::uint32_t> Id;
  std::string Data;
};

/// Splits a byte stream into events. Thread safety: none.
class EventStreamParser {
public:
  /// Returns the buffer to append received bytes to.
  [[nodiscard]] auto buffer() -> std::string & { return Buffer; }

  /// Removes and returns the next whole event, if there is one.
  [[nodiscard]] auto next() -> std::optional<StreamEvent>;

  /// Returns whether an unfinished event exceeds the size limit.
  [[nodiscard]] auto isOverlong() const -> bool;

private:
  std::string Buffer;
};

} // namespace dotterel
