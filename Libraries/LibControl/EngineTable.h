/// \file
/// What this instance knows of each backend server.
#pragma once

#include "LibControl/BackendHealth.h"
#include "LibControl/EngineModel.h"
#include "LibControl/Event.h"

#include <deque>
#include <map>
#include <optional>

namespace dotterel {

/// A request that was sent after an engine's last report was observed.
struct UnreportedSend {
  Instant At;
  double PrefillTokens = 0;
};

/// One engine as this instance sees it.
struct EngineView {
  std::string Address;
  std::optional<EngineReport> Report;
  Instant ReportObserved;
  Instant NextPoll;
  bool IsPolling = false;
  std::uint32_t FailedPolls = 0;
  EngineSlowness Slowness;
  /// Part of the recent reports that show prefill waiting.
  double PrefillShare = 0;
  BackendHealth Health;
  std::uint32_t CallsInFlight = 0;
  /// Requests that this instance sent and the report may not show yet.
  std::deque<UnreportedSend> UnreportedSends;
};

/// One server of a plain service as this instance sees it.
struct ServerView {
  BackendHealth Health;
  std::uint32_t CallsInFlight = 0;
};

/// A drain that this instance honours.
struct HonouredDrain {
  ShardName Shard;
  OrderId Order = 0;
  FencingNumber Fencing = 0;
  Instant Began;
  Instant LastAnnounced;
};

/// All backend servers of the current configuration.
struct BackendTable {
  std::map<EngineId, EngineView> Engines;
  EngineModel Model;
  std::map<ServerId, ServerView> Servers;
  std::map<EngineId, HonouredDrain> Drains;
  /// Highest fencing number seen per shard; announcements below it are late.
  std::map<ShardName, FencingNumber> HighestFencing;
};

/// Returns whether \p View says what the engine is, recently enough.
[[nodiscard]] auto hasFreshReport(EngineView const &View, Instant Now) -> bool;

/// Returns whether the last polls of the engine failed.
[[nodiscard]] auto isUnreachable(EngineView const &View) -> bool;

/// Returns whether new requests for \p Model may go to \p Engine.
[[nodiscard]] auto isRoutable(BackendTable const &Table, EngineId const &Engine,
                              ModelName const &Model, Instant Now) -> bool;

} // namespace dotterel
