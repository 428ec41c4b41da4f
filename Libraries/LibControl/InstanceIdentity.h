/// \file
/// Who this instance is, and the options that its reducer works with.
#pragma once

#include "LibCore/Identifier.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace dotterel {

/// Names one run of one instance.
struct InstanceIdentity {
  InstanceId Id;
  Incarnation Run = 0;
  FailureDomain Domain;
  std::string CallerAddress;
  std::string PeerAddress;
};

struct State;

/// Replaces the choice between engines, for comparison with baselines. A
/// chooser admits every call, whatever its deadline.
class EngineChooser {
public:
  virtual ~EngineChooser() = default;

  /// Returns the index of the chosen engine in \p Eligible.
  /// Precondition: \p Eligible is not empty.
  [[nodiscard]] virtual auto choose(State const &Subject, CallId Call,
                                    std::span<EngineId const> Eligible) const
      -> std::size_t = 0;
};

/// Options of the reducer that settings may change.
struct ControlOptions {
  Duration LeaseDuration = 6s;
  Duration LeaveGrace = 2s;
  /// Largest difference between two clock rates, as a ratio.
  double MaximumClockDrift = 0.02;
  /// Null for the product's own choice.
  std::shared_ptr<EngineChooser const> Chooser;
};

} // namespace dotterel
