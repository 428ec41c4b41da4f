/// \file
/// One instance: the reducer, and the clients and servers that perform its I/O.
#pragma once

#include "LibConfiguration/Settings.h"

#include <memory>

namespace dotterel {

/// Serves callers until the process receives a signal to stop.
/// Thread safety: none; run blocks the calling thread.
class Instance {
public:
  explicit Instance(Settings Config);
  ~Instance();
  Instance(Instance const &) = delete;
  auto operator=(Instance const &) -> Instance & = delete;

  /// Serves until SIGTERM or SIGINT, then shuts down gracefully.
  /// Errors: std::exception if an address cannot be bound.
  auto run() -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
