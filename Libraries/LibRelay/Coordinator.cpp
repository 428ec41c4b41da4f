#include "LibRelay/Coordinator.h"

#include "LibCore/Hash.h"

namespace dotterel::relay {

namespace {

/// A peer acts for all instances once it has been heard of for this long.
/// Longer than the time that it needs to know its own peers.
constexpr auto WarmUp = Duration{2s};
/// Time after a suspension of this process in which it does not act for others:
/// what it knows of its peers is old.
constexpr auto ResumptionPeriod = PeerDiscoveryPeriod;

} // namespace

auto isKnownWell(State const &Source, Peer const &Target) -> bool {
  return Source.Peers.isAlive(Target, Source.Now) &&
         Source.Now - Target.HeardSince >= WarmUp;
}

auto findCoordinator(State const &Source, std::uint64_t Key)
    -> std::optional<std::string> {
  auto coordinator = std::optional<std::string>{};
  auto highest = std::uint64_t{0};
  auto consider = [&](std::string const &Address) {
    auto score = rendezvousScore(Key, Address);
    if (coordinator && score <= highest)
      return;
    coordinator = Address;
    highest = score;
  };
  auto isResuming = Source.Now - Source.ResumedAt < ResumptionPeriod;
  if (Source.knowsPeers() && !Source.LeavingSince && !isResuming)
    consider(Source.Self.PeerAddress);
  for (auto const &[address, peer] : Source.Peers.all()) {
    if (isKnownWell(Source, peer) && !peer.LastReport->IsLeaving)
      consider(address);
  }
  return coordinator;
}

} // namespace dotterel::relay
