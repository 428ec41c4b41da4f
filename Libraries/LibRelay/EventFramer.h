/// \file
/// Splits the bytes of an event stream into complete events.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel::relay {

/// One event of a stream with its encoded bytes.
struct StreamEvent {
  std::uint64_t Id = 0;
  bool HasId = false;
  std::string Bytes;
};

/// Returns whether \p Remainder, the bytes after the last complete event,
/// belong to an event; blank lines and comments do not. Thread safety: none
/// needed.
[[nodiscard]] auto isInsideEvent(std::string_view Remainder) -> bool;

/// Buffers bytes until events are complete. Thread safety: none.
class EventFramer {
public:
  /// Adds \p Bytes and returns the events that are complete now.
  [[nodiscard]] auto add(std::string_view Bytes) -> std::vector<StreamEvent>;

  /// Returns whether the last event is longer than any event may be.
  [[nodiscard]] auto isOverlong() const -> bool;

  /// Returns the bytes of the incomplete last event.
  [[nodiscard]] auto remainder() const -> std::string const & {
    return Pending;
  }

private:
  std::string Pending;
  /// Offset in Pending at which the search for the end of an event continues.
  std::size_t SearchFrom = 0;
};

} // namespace dotterel::relay
