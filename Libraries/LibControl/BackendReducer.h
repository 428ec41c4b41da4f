/// \file
/// Handles reports of engines and the drains that this instance honours.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class BackendReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(EngineReported const &Happened) -> void;
  auto on(EngineUnreachable const &Happened) -> void;
  auto on(Tick const &Happened) -> void;

  /// Takes over the backend servers of the current configuration.
  auto rebuild() -> void;

  /// Honours exactly the drains of \p Announcement for its shard, unless a
  /// later holder was heard. Returns whether the honoured drains changed.
  auto honour(ShardAnnouncement const &Announcement) -> bool;

private:
  auto observePrefill(EngineView const &View, EngineReported const &Next)
      -> void;
  auto pollDueEngines() -> void;
  auto expireDrains() -> void;
  [[nodiscard]] auto pollInterval(EngineId const &Engine,
                                  EngineView const &View) const -> Duration;
};

} // namespace dotterel
