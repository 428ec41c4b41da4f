/// \file
/// This instance's view of the backend servers.
#pragma once

#include "LibControl/BackendHealth.h"
#include "LibControl/EngineModel.h"
#include "LibControl/Event.h"

#include <deque>
#include <map>
#include <optional>

namespace dotterel {

/// A request that was sent after the engine's last report was observed.
struct UnreportedRequest {
  Instant At;
  double PrefillTokens = 0;
};

/// This instance's view of one engine.
struct EngineView {
  std::string Address;
  std::optional<EngineReport> Report;
  Instant ReportObserved;
  Instant NextPoll;
  bool IsPolling = false;
  std::uint32_t FailedPolls = 0;
  EngineSlowness Slowness;
  /// Fraction of the reports that show queued prefill, as an exponential moving
  /// average.
  double PrefillShare = 0;
  BackendHealth Health;
  /// Calls of this instance whose current attempt is at this engine.
  std::uint32_t CallsInFlight = 0;
  /// Requests of this instance that the last report may not include.
  std::deque<UnreportedRequest> UnreportedRequests;
};

/// This instance's view of one server of a plain service.
struct ServerView {
  BackendHealth Health;
  std::uint32_t CallsInFlight = 0;
};

/// A drain that this instance acknowledged: it routes no new requests to the
/// engine.
struct AcknowledgedDrain {
  ShardName Shard;
  OrderId Order = 0;
  FencingNumber Fencing = 0;
  Instant StartedAt;
  Instant LastAnnouncedAt;
};

/// All backend servers of the current configuration.
struct BackendTable {
  std::map<EngineId, EngineView> Engines;
  EngineModel Model;
  std::map<ServerId, ServerView> Servers;
  std::map<EngineId, AcknowledgedDrain> Drains;
  /// Highest fencing number seen per shard; announcements with a lower one are
  /// stale and are ignored.
  std::map<ShardName, FencingNumber> HighestFencing;
};

/// Returns whether the report of \p View is recent enough to be used.
[[nodiscard]] auto hasFreshReport(EngineView const &View, Instant Now) -> bool;

/// Returns whether more consecutive polls failed than are tolerated.
[[nodiscard]] auto isUnreachable(EngineView const &View) -> bool;

/// Returns whether new requests for \p Model may go to \p Engine.
[[nodiscard]] auto isRoutable(BackendTable const &Table, EngineId const &Engine,
                              ModelName const &Model, Instant Now) -> bool;

} // namespace dotterel
