/// \file
/// Cuts the bytes of an event stream into whole events.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel::relay {

/// One event of a stream, with the bytes that make it up.
struct StreamEvent {
  std::uint64_t Id = 0;
  bool HasId = false;
  std::string Bytes;
};

/// Collects bytes until events are whole. Thread safety: none.
class EventFramer {
public:
  /// Adds \p Bytes and returns the events that are whole now.
  [[nodiscard]] auto add(std::string_view Bytes) -> std::vector<StreamEvent>;

  /// Returns the bytes of an event that is not whole yet.
  [[nodiscard]] auto remainder() const -> std::string const & {
    return Pending;
  }

private:
  std::string Pending;
};

} // namespace dotterel::relay
