/// \file
/// Stand-in for the platform's instance list. It probes the registered
/// instances and lists those that respond, with a configurable lag.
#pragma once

#include "Support.h"

#include <deque>

namespace dotterel::standin {

class InstanceList {
public:
  explicit InstanceList(int LagMs) : LagMs(LagMs) {}

  /// Probes the registered instances until it is cancelled.
  auto run() -> Awaitable<void>;
  /// Responds with the list as it was \c LagMs milliseconds ago.
  auto handle(HttpExchange &Exchange) -> Awaitable<void>;
  /// Applies the fields of a control request that concern this stand-in: the
  /// instances to probe and the lag.
  auto control(json const &Body) -> void;

private:
  struct Snapshot {
    Instant At;
    json Instances;
  };

  auto probe(std::string Address) -> Awaitable<unsigned>;

  int LagMs;
  json Registered = json::array();
  std::deque<Snapshot> Snapshots;
};

} // namespace dotterel::standin
