/// \file
/// Limits on the requests per second that servers named in their responses. A
/// limit holds for all instances together, and for one run of a server.
#pragma once

#include "LibCore/Time.h"
#include "LibRelay/ServerHistory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace dotterel::relay {

/// How an observation changed what is known about a server's limit.
enum class LimitChange : std::uint8_t { None, Named, Ended };

/// The limits by run of a server. Thread safety: none.
class RequestLimits {
public:
  /// Records that a response of \p Key to a request that was sent at \p SentAt
  /// named \p PerSecond, or no limit. A response to an earlier request than the
  /// last one that is known to have named a limit does not end it.
  auto observe(ServerKey Key, std::optional<double> PerSecond, Instant SentAt,
               Instant Now) -> LimitChange;

  /// Returns the requests per second that the server takes, or std::nullopt if
  /// it names no limit.
  [[nodiscard]] auto find(ServerKey Key) const -> std::optional<double>;

  /// Returns the number of servers that name a limit.
  [[nodiscard]] auto size() const -> std::size_t;

private:
  struct Entry {
    std::optional<double> PerSecond;
    Instant ObservedAt;
  };

  std::map<ServerKey, Entry> Entries;
};

} // namespace dotterel::relay
