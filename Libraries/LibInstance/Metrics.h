/// \file
/// Prometheus metrics of one instance.
#pragma once

#include "LibControl/Effect.h"
#include "LibControl/State.h"

#include <memory>
#include <string>

namespace dotterel {

/// Counters, histograms and gauges. Thread safety: none.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(Metrics const &) = delete;
  auto operator=(Metrics const &) -> Metrics & = delete;

  auto run(ObserveDuration const &Effect) -> void;
  auto run(IncrementCounter const &Effect) -> void;

  /// Sets the gauges to the values in \p CurrentState.
  auto updateGauges(State const &CurrentState) -> void;

  /// Returns all metrics in the Prometheus text format.
  [[nodiscard]] auto text() const -> std::string;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
