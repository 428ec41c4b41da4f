/// \file
/// Who this instance is, and the options that its reducer works with.
#pragma once

#include "LibCore/Identifier.h"
#include "LibCore/Time.h"

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

/// Options of the reducer that settings may change.
struct ControlOptions {
  Duration LeaseDuration = 6s;
  Duration LeaveGrace = 2s;
  /// Largest difference between two clock rates, as a ratio.
  double MaximumClockDrift = 0.02;
};

} // namespace dotterel
