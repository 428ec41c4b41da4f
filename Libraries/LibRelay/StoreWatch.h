/// \file
/// How the instances follow the store together: a few watch it and tell the
/// others by their reports, so that its calls do not grow with the fleet.
#pragma once

#include "LibRelay/ServerTable.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::relay {

/// A change of one server's entry; no description means that it is gone.
struct ServerUpdate {
  std::string Id;
  std::uint64_t Revision = 0;
  std::optional<ServerDescription> Description;
};

/// What a watching instance tells the others.
struct WatchReport {
  /// Age of the store's last answer when the report was sent.
  Duration Age{};
  /// Revision of the configuration object.
  std::uint64_t Configuration = 0;
  /// Updates are all changes of servers after From, up to AsOf.
  std::uint64_t BaseRevision = 0;
  std::uint64_t AsOf = 0;
  std::vector<ServerUpdate> Updates;
};

/// The recent changes of servers that this instance has read itself.
/// Thread safety: none.
class ServerChangeLog {
public:
  /// Starts anew from a whole list.
  auto reset(std::uint64_t AsOf) -> void;

  /// Adds what was read from the revision known before up to \p AsOf.
  auto add(std::vector<ServerUpdate> const &Updates, std::uint64_t AsOf,
           Instant Now) -> void;

  /// Fills in the changes and the revisions between which they lie.
  auto describe(WatchReport &Into) const -> void;

  [[nodiscard]] auto asOf() const -> std::uint64_t { return AsOf; }

private:
  struct Batch {
    std::vector<ServerUpdate> Updates;
    std::uint64_t AsOf = 0;
    Instant ReceivedAt;
  };

  auto trim(Instant Now) -> void;

  std::deque<Batch> Batches;
  std::uint64_t BaseRevision = 0;
  std::uint64_t AsOf = 0;
  std::size_t UpdateCount = 0;
};

/// What this instance knows of the store, and whether it asks the store.
struct StoreWatch {
  /// One of the few that watch for all.
  bool IsWatcher = false;
  /// Watches itself: as a watcher, or because no watcher is fresh.
  bool IsWatching = true;
  /// The store's last answers to this instance.
  Instant ConfigurationConfirmedAt;
  Instant ServersConfirmedAt;
  /// Revision up to which this instance has seen each kind, and up to which a
  /// watcher has told of changes that it has not seen.
  std::uint64_t ConfigurationAsOf = 0;
  std::uint64_t AnnouncedConfiguration = 0;
  std::uint64_t ServersAsOf = 0;
  std::uint64_t AnnouncedServers = 0;
  /// Revision of the configuration object.
  std::uint64_t ConfigurationRevision = 0;
  ServerChangeLog Changes;

  [[nodiscard]] auto needsConfiguration() const -> bool {
    return IsWatching || AnnouncedConfiguration > ConfigurationAsOf;
  }
  [[nodiscard]] auto needsServers() const -> bool {
    return IsWatching || AnnouncedServers > ServersAsOf;
  }
};

} // namespace dotterel::relay
