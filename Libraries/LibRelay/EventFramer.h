/// \file
/// Splits the bytes of an event stream into complete events.
#pragma once

#include <cstdint>
#include <optional>
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

/// Returns the id of an event as used in logs. Thread safety: any thread.
[[nodiscard]] auto describeId(std::optional<std::uint64_t> Id) -> std::string;

/// Returns whether \p Remainder, the bytes after the last complete event,
/// belong to an event; blank lines and comments do not. Thread safety: none
/// needed.
[[nodiscard]] auto isInsideEvent(std::string_view Remainder) -> bool;

/// Buffers bytes until events are complete. Thread safety: none.
class EventFramer {
public:
  /// \p ContinuesStream says whether another response had the first events of
  /// the stream, with ids.
  explicit EventFramer(bool ContinuesStream = false)
      : ExpectsId(ContinuesStream) {}

  /// Adds \p Bytes and returns the events that are complete now, up to the
  /// first that is not one.
  [[nodiscard]] auto add(std::string_view Bytes) -> std::vector<StreamEvent>;

  /// Returns whether bytes arrived that are no event of the stream: a line that
  /// is no field, or, where a stream is continued, fields without an id before
  /// the first id. A server that fails may write an error into its response.
  [[nodiscard]] auto isBroken() const -> bool { return IsBroken; }

  /// Returns whether the last event is longer than any event may be.
  [[nodiscard]] auto isOverlong() const -> bool;

  /// Returns the bytes after the last event.
  [[nodiscard]] auto remainder() const -> std::string const & {
    return Pending;
  }

private:
  bool ExpectsId;
  bool IsBroken = false;
  std::string Pending;
  /// Offset in Pending at which the search for the end of an event continues.
  std::size_t SearchFrom = 0;
};

} // namespace dotterel::relay
