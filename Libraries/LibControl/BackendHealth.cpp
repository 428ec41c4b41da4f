#include "LibControl/BackendHealth.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr auto FailuresBeforeEjection = 3U;
constexpr auto InitialEjection = Duration{1s};
constexpr auto MaximumEjection = Duration{30s};
constexpr auto MaximumDoublings = 5U;
constexpr auto SlowStartDuration = Duration{10s};
constexpr auto SlowStartExtraCost = 4.0;

} // namespace

auto BackendHealth::recordSuccess() -> void {
  ConsecutiveFailures = 0;
  Ejections = 0;
}

auto BackendHealth::recordFailure(Instant Now) -> void {
  ++ConsecutiveFailures;
  if (ConsecutiveFailures >= FailuresBeforeEjection)
    eject(Now);
}

auto BackendHealth::eject(Instant Now) -> void {
  auto doublings = std::min(Ejections, MaximumDoublings);
  auto span = std::min(InitialEjection * (1U << doublings), MaximumEjection);
  EjectedUntil = Now + span;
  ++Ejections;
  ConsecutiveFailures = 0;
}

auto BackendHealth::isEjected(Instant Now) const -> bool {
  return Now < EjectedUntil;
}

auto BackendHealth::slowStartFactor(Instant Now) const -> double {
  if (EjectedUntil == Instant{} || Now >= EjectedUntil + SlowStartDuration)
    return 1;
  auto elapsed = toSeconds(std::max(Now - EjectedUntil, Duration{}));
  auto remaining = 1 - elapsed / toSeconds(SlowStartDuration);
  return 1 + SlowStartExtraCost * remaining;
}

} // namespace dotterel
