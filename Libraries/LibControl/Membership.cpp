#include "LibControl/Membership.h"

namespace dotterel {

namespace {

constexpr auto HeartbeatTimeout = Duration{3s};

} // namespace

auto isAlive(Peer const &Member, Instant Now) -> bool {
  return Member.IsConnected && Now - Member.LastHeardAt < HeartbeatTimeout;
}

auto isLeaving(Peer const &Member) -> bool {
  return Member.IsListedLeaving || Member.Heartbeat.IsLeaving;
}

} // namespace dotterel
