#include "LibControl/LifecycleReducer.h"

#include "LibControl/MembershipReducer.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Longest time that an exit waits for the object API to record the release
/// of leases; after it they lapse by themselves.
constexpr auto ReleaseBound = Duration{10s};

} // namespace

auto LifecycleReducer::on(LeaveRequested const & /*Happened*/) -> void {
  if (!Subject.Lifecycle.askedToLeave())
    return;
  Subject.LeaveRequestedAt = now();
  log(LogLevel::Info, "instance-leaving", {});
  MembershipReducer(Subject, Out).broadcastHeartbeat();
}

auto LifecycleReducer::on(Tick const & /*Happened*/) -> void {
  if (Subject.LeaveRequestedAt == Instant{})
    return;
  auto elapsed = now() - Subject.LeaveRequestedAt;
  if (elapsed >= Subject.Options.LeaveGrace)
    Subject.Lifecycle.graceEnded();
  if (!Subject.Calls.Calls.empty())
    return;
  if (!hasReleasedShards() && elapsed < ReleaseBound)
    return;
  if (!Subject.Lifecycle.lastAnswerOut())
    return;
  log(LogLevel::Info, "instance-stopped", {});
  emit(StopProcess{});
}

auto LifecycleReducer::hasReleasedShards() const -> bool {
  using Phase = LeaseLifecycle::Phase;
  return std::ranges::all_of(Subject.Leases.Shards, [](auto const &Item) {
    auto phase = Item.second.Lease.phase();
    return phase == Phase::Following || phase == Phase::Released;
  });
}

} // namespace dotterel
