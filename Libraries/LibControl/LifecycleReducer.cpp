#include "LibControl/LifecycleReducer.h"

#include "LibControl/MembershipReducer.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Longest time for which shutdown waits until the object API has recorded the
/// release of the leases. Unreleased leases expire on their own.
constexpr auto LeaseReleaseTimeout = Duration{10s};

} // namespace

auto LifecycleReducer::on(LeaveRequested const & /*Event*/) -> void {
  if (!CurrentState.Lifecycle.leaveRequested())
    return;
  CurrentState.LeaveRequestedAt = now();
  log(LogLevel::Info, "instance-leaving", {});
  MembershipReducer(CurrentState, Output).broadcastHeartbeat();
}

auto LifecycleReducer::on(Tick const & /*Event*/) -> void {
  if (CurrentState.LeaveRequestedAt == Instant{})
    return;
  auto elapsed = now() - CurrentState.LeaveRequestedAt;
  if (elapsed >= CurrentState.Options.LeaveGrace)
    CurrentState.Lifecycle.graceElapsed();
  if (!CurrentState.Calls.Calls.empty())
    return;
  if (!hasReleasedShards() && elapsed < LeaseReleaseTimeout)
    return;
  if (!CurrentState.Lifecycle.callsFinished())
    return;
  log(LogLevel::Info, "instance-stopped", {});
  emit(StopProcess{});
}

auto LifecycleReducer::hasReleasedShards() const -> bool {
  using Phase = LeaseLifecycle::Phase;
  return std::ranges::all_of(CurrentState.Leases.Shards, [](auto const &Item) {
    auto phase = Item.second.Lease.phase();
    return phase == Phase::Following || phase == Phase::Released;
  });
}

} // namespace dotterel
