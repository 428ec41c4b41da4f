/// \file
/// Counters and latency histograms of relayed requests.
#pragma once

#include "LibGateway/CallerServer.h"
#include "LibRelay/Effect.h"
#include "LibRelay/State.h"

#include <memory>
#include <string>

namespace dotterel {

/// Collects the metrics of a relaying instance. Thread safety: none.
class RelayMetrics {
public:
  RelayMetrics();
  ~RelayMetrics();
  RelayMetrics(RelayMetrics const &) = delete;
  auto operator=(RelayMetrics const &) -> RelayMetrics & = delete;

  auto run(relay::IncrementCounter const &Effect) -> void;
  auto run(relay::ObserveDuration const &Effect) -> void;

  /// Returns all metrics in the Prometheus text format, with gauges from \p
  /// CurrentState and \p Callers.
  [[nodiscard]] auto text(relay::State const &CurrentState,
                          CallerLoad const &Callers) -> std::string;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
