#include "LibControl/Reducer.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

constexpr auto Instances = 18;

auto name(int Number) -> InstanceId {
  return InstanceId(fmt::format("i{}", Number));
}

/// The state of one instance that is connected to all its peers.
class SteeringNode {
public:
  SteeringNode() {
    auto listed = InstancesListed{};
    for (auto n = 0; n < Instances; ++n)
      listed.Instances.push_back(
          {name(n), fmt::format("a{}", n), "", FailureDomain("d"), false});
    feed(listed);
    for (auto n = 1; n < Instances; ++n)
      receiveHeartbeat(n, {});
  }

  auto receiveHeartbeat(int Number, PeerHeartbeat Heartbeat) -> void {
    Heartbeat.Run = static_cast<Incarnation>(Number);
    Heartbeat.Configuration = 1;
    feed(PeerConnected{name(Number), Heartbeat.Run});
    feed(PeerHeartbeatReceived{name(Number), Heartbeat});
  }

  auto requestInstances(std::string const &Caller)
      -> std::vector<SteeredInstance> {
    for (auto &it : feed(SteeringRequested{++Calls, CallerName(Caller)}))
      if (auto *response = std::get_if<SendSteeringResponse>(&it))
        return response->Instances;
    return {};
  }

private:
  auto feed(EventBody Body) -> Effects {
    return reduce(Current, Event{Start, std::move(Body)});
  }

  Instant Start = Instant{} + 1h;
  State Current = makeState({name(0), 100, FailureDomain("d"), "a0", ""},
                            ControlOptions{}, Start);
  CallId Calls = 0;
};

} // namespace

Test(Steering, DistributesFewCallersEvenly) {
  constexpr auto RequestCount = 36000;
  auto node = SteeringNode();
  auto counts = std::map<InstanceId, int>{};
  for (auto n = 0; n < RequestCount; ++n)
    ++counts[node.requestInstances(n % 3 == 0 ? "dispatch" : "household")
                 .front()
                 .Id];
  // This instance has no configuration yet and therefore offers peers only.
  cr_assert_eq(counts.size(), Instances - 1);
  auto even = static_cast<double>(RequestCount) / (Instances - 1);
  for (auto const &it : counts)
    cr_assert_float_eq(it.second / even, 1.0, 0.1, "%s: %d",
                       it.first.text().c_str(), it.second);
}

Test(Steering, ExcludesLeavingInstances) {
  auto node = SteeringNode();
  auto leaving = PeerHeartbeat{};
  leaving.IsLeaving = true;
  node.receiveHeartbeat(5, leaving);
  for (auto n = 0; n < 200; ++n)
    for (auto const &it : node.requestInstances("dispatch"))
      cr_assert(it.Id != name(5));
}

Test(Steering, WeightsByLoad) {
  auto node = SteeringNode();
  auto loaded = PeerHeartbeat{};
  loaded.OutstandingCalls = 50;
  node.receiveHeartbeat(5, loaded);
  auto wasSeen = false;
  for (auto n = 0; n < 200; ++n)
    for (auto const &it : node.requestInstances("dispatch")) {
      cr_assert(it.Id != name(5) || it.Weight < 0.1);
      wasSeen |= it.Id == name(5);
    }
  cr_assert(wasSeen);
}

} // namespace dotterel::test
