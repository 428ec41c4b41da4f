/// \file
/// Stand-in for the platform's instance list. It probes the instances that it
/// was told of and shows what it found a while ago.
#pragma once

#include "Support.h"

#include <deque>

namespace dotterel::standin {

class InstanceList {
public:
  explicit InstanceList(int LagMs) : LagMs(LagMs) {}

  /// Probes for ever.
  auto run() -> Awaitable<void>;
  /// Answers with the list as it was a lag ago.
  auto handle(HttpExchange &Target) -> Awaitable<void>;
  /// Replaces the instances to probe.
  auto control(json const &Body) -> void;

private:
  struct Snapshot {
    Instant At;
    json Instances;
  };

  auto probe(std::string Address) -> Awaitable<unsigned>;

  int LagMs;
  json Known = json::array();
  std::deque<Snapshot> Snapshots;
};

} // namespace dotterel::standin
