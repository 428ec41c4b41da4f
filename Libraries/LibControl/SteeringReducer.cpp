#include "LibControl/SteeringReducer.h"

#include "LibCore/Hash.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr auto ResponseLifetime = Duration{5s};
/// Number of instances in one response.
constexpr auto InstancesPerResponse = std::size_t{4};
/// Number of instances that one caller is distributed over, so that a large
/// fleet does not need a connection between every caller and every instance.
constexpr auto InstancesPerCaller = std::size_t{24};

auto keepHighestRanked(std::vector<SteeredInstance> &Items, std::size_t Count,
                       std::uint64_t Key) -> void {
  std::ranges::sort(Items, [&](auto const &Left, auto const &Right) {
    return rendezvousScore(Key, Left.Id.text()) >
           rendezvousScore(Key, Right.Id.text());
  });
  Items.resize(std::min(Items.size(), Count));
}

auto weightFor(std::size_t OutstandingCalls) -> double {
  return 1.0 / (1.0 + static_cast<double>(OutstandingCalls));
}

} // namespace

auto SteeringReducer::on(SteeringRequested const &Event) -> void {
  auto instances = candidates();
  auto caller = hashText(Event.Caller.text());
  keepHighestRanked(instances, InstancesPerCaller, caller);
  keepHighestRanked(instances, InstancesPerResponse,
                    hashText(CurrentState.Self.Id.text(), Event.Call));
  emit(
      SendSteeringResponse{Event.Call, std::move(instances), ResponseLifetime});
}

auto SteeringReducer::candidates() const -> std::vector<SteeredInstance> {
  auto instances = std::vector<SteeredInstance>{};
  auto const &self = CurrentState.Self;
  if (CurrentState.Lifecycle.phase() == InstanceLifecycle::Phase::Ready)
    instances.push_back(
        {self.Id, self.CallerAddress,
         weightFor(CurrentState.Calls.Calls.size()),
         formatKeyPrefix({self.Run, CurrentState.Calls.Keys.epoch()})});
  for (auto const &it : CurrentState.Members.Peers) {
    auto const &peer = it.second;
    if (!isAlive(peer, now()) || isLeaving(peer) || !peer.IsListed)
      continue;
    if (peer.Heartbeat.Configuration == 0)
      continue;
    instances.push_back({it.first, peer.CallerAddress,
                         weightFor(peer.Heartbeat.OutstandingCalls),
                         peer.Heartbeat.KeyPrefix});
  }
  return instances;
}

} // namespace dotterel
