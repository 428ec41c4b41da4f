/// \file
/// State of one instance. Only the reducer changes it.
#pragma once

#include "LibControl/Call.h"
#include "LibControl/EngineTable.h"
#include "LibControl/InstanceIdentity.h"
#include "LibControl/InstanceLifecycle.h"
#include "LibControl/LeaseTable.h"
#include "LibControl/Membership.h"

#include <memory>

namespace dotterel {

/// The configuration in force, and the watch for newer ones.
struct ConfigurationState {
  std::shared_ptr<FleetConfiguration const> Current;
  bool IsWatching = false;
  Instant NextWatch;
  bool IsApiReachable = false;
};

/// State of one instance.
struct State {
  InstanceIdentity Self;
  ControlOptions Options;
  Instant Started;
  Instant Now;
  InstanceLifecycle Lifecycle;
  Instant LeaveRequestedAt;
  ConfigurationState Configuration;
  Membership Members;
  BackendTable Backends;
  CallTable Calls;
  LeaseTable Leases;
};

} // namespace dotterel
