/// \file
/// The callers' connections of a server, and which one is evicted for another.
#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace dotterel {

/// What a connection waits for.
enum class ConnectionPhase : std::uint8_t {
  /// For the first byte of a request.
  Idle,
  /// For the rest of a request.
  Receiving,
  /// For the response. Such a connection is not evicted.
  Responding,
};

/// A connection that exists. Thread safety: as its table.
struct ConnectionEntry {
  std::string Address;
  ConnectionPhase Phase = ConnectionPhase::Idle;
  /// Time of the last byte, or of the change to this phase.
  Instant LastProgressAt;
  /// Memory that its request holds.
  std::size_t Bytes = 0;
  /// Closes the connection; called at most once.
  std::function<void()> Close;
};

/// Answers many callers that hold connections or memory without making
/// progress: one of their connections is closed for each new caller that needs
/// what it holds. Thread safety: none.
class ConnectionTable {
public:
  using Handle = std::list<ConnectionEntry>::iterator;

  [[nodiscard]] auto add(ConnectionEntry Entry) -> Handle;
  auto remove(Handle Target) -> void;

  /// Evicts a connection that waits for its caller: of the address with the
  /// most connections, the one that has made no progress for longest. Returns
  /// false if all are being responded to.
  auto evictForConnection(Instant Now) -> bool;

  /// Evicts the connection whose request holds most for the time that it has
  /// made no progress. Returns false if none has stalled.
  auto evictForMemory(Instant Now) -> bool;

  [[nodiscard]] auto size() const -> std::size_t { return Entries.size(); }
  /// Returns the number of connections that were evicted.
  [[nodiscard]] auto evictedCount() const -> std::uint64_t { return Evicted; }

private:
  /// Evicts the connection with the highest rank of those that wait for their
  /// caller. \p Rank returns std::nullopt for a connection that must stay.
  /// Returns false if all must.
  template <typename Ranking> auto evictHighest(Ranking Rank) -> bool;
  auto evict(Handle Target) -> void;

  std::list<ConnectionEntry> Entries;
  std::map<std::string, std::size_t> CountByAddress;
  std::uint64_t Evicted = 0;
};

} // namespace dotterel
