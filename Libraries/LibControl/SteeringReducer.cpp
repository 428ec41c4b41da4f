#include "LibControl/SteeringReducer.h"

#include "LibCore/Hash.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr auto AnswerLifetime = Duration{5s};
/// Instances in one answer.
constexpr auto InstancesPerAnswer = std::size_t{4};
/// Instances that one caller is spread over, so that a large fleet does not
/// hold a connection between every caller and every instance.
constexpr auto InstancesPerCaller = std::size_t{24};

auto keepBest(std::vector<SteeredInstance> &Items, std::size_t Count,
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

auto SteeringReducer::on(SteeringRequested const &Happened) -> void {
  auto instances = candidates();
  auto caller = hashText(Happened.Caller.text());
  keepBest(instances, InstancesPerCaller, caller);
  keepBest(instances, InstancesPerAnswer,
           hashText(Subject.Self.Id.text(), Happened.Call));
  emit(RespondToSteering{Happened.Call, std::move(instances), AnswerLifetime});
}

auto SteeringReducer::candidates() const -> std::vector<SteeredInstance> {
  auto instances = std::vector<SteeredInstance>{};
  auto const &self = Subject.Self;
  if (Subject.Lifecycle.phase() == InstanceLifecycle::Phase::Ready)
    instances.push_back(
        {self.Id, self.CallerAddress, weightFor(Subject.Calls.Calls.size()),
         formatKeyPrefix({self.Run, Subject.Calls.Keys.epoch()})});
  for (auto const &it : Subject.Members.Peers) {
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
