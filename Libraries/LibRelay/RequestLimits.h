/// \file
/// Limits on the requests per second that servers named in their responses. A
/// limit holds for all instances together, and for one run of a server.
#pragma once

#include "LibCore/Time.h"
#include "LibRelay/PermitBucket.h"
#include "LibRelay/ServerTable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dotterel::relay {

/// How an observation changed what is known about a server's limit.
enum class LimitChange : std::uint8_t { None, Named, Ended };

/// What an instance reports to its peers about a server's limit.
struct LimitReport {
  ServerKey Server = 0;
  /// Requests per second, or std::nullopt if the server names no limit any
  /// more.
  std::optional<double> PerSecond;
  /// Time since the response that showed it.
  Duration Age{};
};

/// The limits by run of a server, and this instance's part in keeping them.
/// Thread safety: none.
class RequestLimits {
public:
  /// Records that a response of \p Key to a request that was sent at \p SentAt
  /// named \p PerSecond, or no limit. A response to an earlier request than the
  /// last one that is known to have named a limit does not end it.
  auto observe(ServerKey Key, std::optional<double> PerSecond, Instant SentAt,
               Instant Now) -> LimitChange;

  /// Applies what another instance observed, unless a later observation is
  /// known.
  auto adopt(LimitReport const &Report, Instant Now) -> LimitChange;

  /// Returns the requests per second that the server takes, or std::nullopt if
  /// it names no limit.
  [[nodiscard]] auto find(ServerKey Key) const -> std::optional<double>;

  /// Returns the time since the limit was observed. Precondition: the server
  /// names a limit.
  [[nodiscard]] auto age(ServerKey Key, Instant Now) const -> Duration;

  /// Returns the number of servers that name a limit.
  [[nodiscard]] auto size() const -> std::size_t;

  /// Returns what this instance observed itself within the last second.
  [[nodiscard]] auto recent(Instant Now) const -> std::vector<LimitReport>;

  /// Takes a permit for a request to the server, of which \p Share of the limit
  /// may be used. Returns std::nullopt if there was one, or the time until
  /// there will be. Precondition: the server names a limit.
  auto takePermit(ServerKey Key, double Share, Instant Now)
      -> std::optional<Duration>;

  /// Records that this instance gets no permit for the server before \p Until.
  auto block(ServerKey Key, Instant Until) -> void;

  /// Returns the time before which this instance gets no permit, which may be
  /// in the past.
  [[nodiscard]] auto blockedUntil(ServerKey Key) const -> Instant;

  /// Forgets the limits of servers that \p Known does not contain and that were
  /// not observed for ten minutes.
  auto expire(Instant Now, ServerTable &Known) -> void;

private:
  struct Entry {
    std::optional<double> PerSecond;
    Instant ObservedAt;
    /// This instance received the response that was observed last.
    bool IsOwn = false;
    Instant BlockedUntil;
    PermitBucket Permits;
  };

  /// Records an observation. Returns how it changed the limit.
  auto record(ServerKey Key, std::optional<double> PerSecond, Instant At,
              bool IsOwn) -> LimitChange;

  std::map<ServerKey, Entry> Entries;
};

} // namespace dotterel::relay
