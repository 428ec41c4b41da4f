/// \file
/// Handles engine reports and the drains that this instance acknowledges.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class BackendReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(EngineReported const &Event) -> void;
  auto on(EngineUnreachable const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Rebuilds the backend tables from the current configuration.
  auto rebuild() -> void;

  /// Replaces the shard's drains by those of \p Announcement. Ignores it if a
  /// higher fencing number was seen for the shard. Returns whether the
  /// acknowledged drains changed.
  auto applyAnnouncement(ShardAnnouncement const &Announcement) -> bool;

private:
  auto observePrefill(EngineView const &View, EngineReported const &Next)
      -> void;
  auto pollDueEngines() -> void;
  auto expireDrains() -> void;
  [[nodiscard]] auto pollInterval(EngineId const &Engine,
                                  EngineView const &View) const -> Duration;
};

} // namespace dotterel
