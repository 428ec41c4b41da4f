/// \file
/// One instance: the reducer and the shells around it.
#pragma once

#include "LibConfiguration/Settings.h"

#include <memory>

namespace dotterel {

/// An instance that serves until it is told to stop.
/// Thread safety: none; run blocks the calling thread.
class Instance {
public:
  explicit Instance(Settings Given);
  ~Instance();
  Instance(Instance const &) = delete;
  auto operator=(Instance const &) -> Instance & = delete;

  /// Serves until SIGTERM or SIGINT and the graceful shutdown after it.
  /// Errors: std::exception if an address cannot be bound.
  auto run() -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel
