#include "LibControl/Membership.h"

namespace dotterel {

namespace {

constexpr auto SilenceLimit = Duration{3s};

} // namespace

auto isAlive(Peer const &Member, Instant Now) -> bool {
  return Member.IsConnected && Now - Member.LastHeard < SilenceLimit;
}

auto isLeaving(Peer const &Member) -> bool {
  return Member.IsListedLeaving || Member.Heartbeat.IsLeaving;
}

} // namespace dotterel
