/// \file
/// Counters and latency histograms of relayed requests.
#pragma once

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
  /// CurrentState.
  [[nodiscard]] auto text(relay::State const &CurrentState) -> std::string;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
