/// \file
/// How the instances follow the store: a few watch it and pass changes on in
/// their reports, so that the number of store calls does not grow with the
/// fleet.
#pragma once

#include "LibRelay/ServerTable.h"
#include "LibRelay/StoreVersion.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::relay {

/// A change of one server's entry. Without a description, the entry was
/// removed.
struct ServerUpdate {
  std::string Id;
  StoreVersion Version;
  std::optional<ServerDescription> Description;
};

/// What a watcher reports to its peers.
struct WatchReport {
  /// Age of the store's last response when the report was sent.
  Duration Age{};
  /// Version of the configuration object.
  StoreVersion Configuration;
  /// Updates holds all changes of servers after Base and up to AsOf.
  StoreVersion Base;
  StoreVersion AsOf;
  std::vector<ServerUpdate> Updates;
};

/// The recent changes of servers that this instance has read from the store.
/// Thread safety: none.
class ServerChangeLog {
public:
  /// Discards all changes after a complete list of servers has been read.
  auto reset(StoreVersion AsOf) -> void;

  /// Adds the changes between the last known version and \p AsOf.
  auto add(std::vector<ServerUpdate> const &Updates, StoreVersion AsOf,
           Instant Now) -> void;

  /// Copies the changes and the range of versions that they cover to
  /// \p Report.
  auto describe(WatchReport &Report) const -> void;

  [[nodiscard]] auto asOf() const -> StoreVersion { return AsOf; }

private:
  struct Batch {
    std::vector<ServerUpdate> Updates;
    StoreVersion AsOf;
    Instant ReceivedAt;
  };

  auto trim(Instant Now) -> void;

  std::deque<Batch> Batches;
  StoreVersion Base;
  StoreVersion AsOf;
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
  /// Live peers that would watch the store before this instance.
  std::uint32_t PrecedingPeers = 0;
  /// Times of the store's last responses to this instance.
  Instant ConfigurationConfirmedAt;
  Instant ServersConfirmedAt;
  /// For each kind of object: the version up to which this instance has seen
  /// all changes, and the version up to which a watcher has announced changes
  /// that this instance has not seen.
  StoreVersion ConfigurationAsOf;
  StoreVersion AnnouncedConfiguration;
  StoreVersion ServersAsOf;
  StoreVersion AnnouncedServers;
  /// Version of the configuration object.
  StoreVersion Configuration;
  ServerChangeLog Changes;

  /// No peer has confirmed in time that the configuration is the latest one.
  bool IsConfirmationOverdue = false;

  [[nodiscard]] auto needsConfiguration() const -> bool {
    return IsWatching || IsConfirmationOverdue ||
           AnnouncedConfiguration > ConfigurationAsOf;
  }
  [[nodiscard]] auto needsServers() const -> bool {
    return IsWatching || AnnouncedServers > ServersAsOf;
  }
};

/// Returns the longest pause between two calls of a store that does not
/// respond. Answers an outage at a large fleet: the few instances that come
/// first find out within a second that the store responds again and tell the
/// others, so that the calls of all together hardly grow with the fleet. Thread
/// safety: any thread.
[[nodiscard]] auto maximumStorePause(std::uint32_t PrecedingPeers) -> Duration;

} // namespace dotterel::relay
