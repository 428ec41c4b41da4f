/// \file
/// Identity of this instance and the options of its reducer.
#pragma once

#include "LibCore/Identifier.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace dotterel {

/// Identifies one run of one instance.
struct InstanceIdentity {
  InstanceId Id;
  Incarnation Run = 0;
  FailureDomain Domain;
  std::string CallerAddress;
  std::string PeerAddress;
};

struct State;

/// Replaces the choice of the engine by a baseline policy, for benchmarks. With
/// a chooser, no call is rejected for its deadline or its caller's share.
class EngineChooser {
public:
  virtual ~EngineChooser() = default;

  /// Returns the index of the chosen engine in \p Eligible.
  /// Precondition: \p Eligible is not empty.
  [[nodiscard]] virtual auto choose(State const &CurrentState, CallId Call,
                                    std::span<EngineId const> Eligible) const
      -> std::size_t = 0;
};

/// Options of the reducer that are set from the settings.
struct ControlOptions {
  Duration LeaseDuration = 6s;
  Duration LeaveGrace = 2s;
  /// Largest relative difference between the rates of two clocks.
  double MaximumClockDrift = 0.02;
  /// Null for the default placement.
  std::shared_ptr<EngineChooser const> Chooser;
};

} // namespace dotterel
