/// \file
/// What an instance remembers of the runs of servers.
#pragma once

#include "LibCore/Time.h"
#include "LibRelay/StoreVersion.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace dotterel::relay {

/// Identifies a run of a server in reports between instances: a hash of its id
/// and start time.
using ServerKey = std::uint32_t;

/// Facts about one run of a server that hold whatever its entry in the store
/// says.
struct ServerRun {
  /// The server announced in a response that it is leaving.
  bool HasAnnouncedLeaving = false;
  /// The server asked this instance to send nothing until then.
  Instant PausedUntil;
  /// Version of the store at which the entry was removed.
  std::optional<StoreVersion> RemovedAt;
  /// The entry said that the server was draining when it was removed.
  bool WasDraining = false;
};

/// Remembers runs after their entries were removed, because a list of servers
/// may come from an older copy of the store. Thread safety: none.
class ServerHistory {
public:
  /// Returns the run, which is added if it is unknown. Beyond a fixed number of
  /// runs the oldest one is forgotten.
  auto at(ServerKey Key) -> ServerRun &;

  /// Returns the run, or null.
  [[nodiscard]] auto find(ServerKey Key) const -> ServerRun const *;

  [[nodiscard]] auto size() const -> std::size_t { return Runs.size(); }

  /// Number of runs that are remembered.
  static constexpr auto MaximumRuns = std::size_t{20000};

private:
  std::unordered_map<ServerKey, ServerRun> Runs;
  /// The keys in the order in which they were added.
  std::deque<ServerKey> Keys;
};

} // namespace dotterel::relay
