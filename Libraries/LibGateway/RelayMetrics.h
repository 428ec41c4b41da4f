/// \file
/// Counters and latency histograms of relayed requests.
#pragma once

#include "LibRelay/Effect.h"
#include "LibRelay/State.h"

#include <memory>
#include <string>

namespace dotterel {

/// Collects metrics. Thread safety: none.
class RelayMetrics {
public:
  RelayMetrics();
  ~RelayMetrics();
  RelayMetrics(RelayMetrics const &) = delete;
  auto operator=(RelayMetrics const &) -> RelayMetrics & = delete;

  auto run(relay::IncrementCounter const &What) -> void;
  auto run(relay::ObserveDuration const &What) -> void;

  /// Returns all metrics as text, with gauges from \p Subject.
  [[nodiscard]] auto text(relay::State const &Subject) -> std::string;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel
