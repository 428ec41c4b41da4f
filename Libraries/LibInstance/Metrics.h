/// \file
/// Counters and histograms, per caller and class, for Prometheus.
#pragma once

#include "LibControl/Effect.h"
#include "LibControl/State.h"

#include <memory>
#include <string>

namespace dotterel {

/// The metrics of one instance. Thread safety: none.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(Metrics const &) = delete;
  auto operator=(Metrics const &) -> Metrics & = delete;

  auto run(ObserveDuration const &What) -> void;
  auto run(CountOne const &What) -> void;

  /// Sets the gauges that show the state of the instance.
  auto show(State const &Subject) -> void;

  /// Returns all metrics in the text format.
  [[nodiscard]] auto text() const -> std::string;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel
