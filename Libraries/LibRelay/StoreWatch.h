/// \file
/// How the instances follow the store: a few watch it and pass changes on in
/// their reports, so that the number of store calls does not grow with the
/// fleet.
#pragma once

#include "LibRelay/ServerTable.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::relay {

/// A change of one server's entry. Without a description, the entry was
/// removed.
struct ServerUpdate {
  std::string Id;
  std::uint64_t Revision = 0;
  std::optional<ServerDescription> Description;
};

/// What a watcher reports to its peers.
struct WatchReport {
  /// Age of the store's last response when the report was sent.
  Duration Age{};
  /// Revision of the configuration object.
  std::uint64_t Configuration = 0;
  /// Updates holds all changes of servers after BaseRevision and up to AsOf.
  std::uint64_t BaseRevision = 0;
  std::uint64_t AsOf = 0;
  std::vector<ServerUpdate> Updates;
};

/// The recent changes of servers that this instance has read from the store.
/// Thread safety: none.
class ServerChangeLog {
public:
  /// Discards all changes after a complete list of servers has been read.
  auto reset(std::uint64_t AsOf) -> void;

  /// Adds the changes between the last known revision and \p AsOf.
  auto add(std::vector<ServerUpdate> const &Updates, std::uint64_t AsOf,
           Instant Now) -> void;

  /// Copies the changes and the range of revisions that they cover to
  /// \p Report.
  auto describe(WatchReport &Report) const -> void;

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

/// How far this instance has followed the store, and whether it watches the
/// store itself.
struct StoreWatch {
  /// Watches the store on behalf of its peers.
  bool IsWatcher = false;
  /// Watches the store: as a watcher for its peers, or because no watcher's
  /// state is recent enough.
  bool IsWatching = true;
  /// Times of the store's last responses to this instance.
  Instant ConfigurationConfirmedAt;
  Instant ServersConfirmedAt;
  /// For each kind of object: the revision up to which this instance has seen
  /// all changes, and the revision up to which a watcher has announced changes
  /// that this instance has not seen.
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
