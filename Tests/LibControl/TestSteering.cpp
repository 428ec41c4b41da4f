#include "LibControl/Reducer.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

constexpr auto Instances = 18;

auto name(int Number) -> InstanceId {
  return InstanceId(fmt::format("i{}", Number));
}

/// One of many instances that knows all the others.
class SteeringNode {
public:
  SteeringNode() {
    auto listed = InstancesListed{};
    for (auto n = 0; n < Instances; ++n)
      listed.Instances.push_back(
          {name(n), fmt::format("a{}", n), "", FailureDomain("d"), false});
    feed(listed);
    for (auto n = 1; n < Instances; ++n)
      hear(n, {});
  }

  auto hear(int Number, PeerHeartbeat Heard) -> void {
    Heard.Run = static_cast<Incarnation>(Number);
    Heard.Configuration = 1;
    feed(PeerConnected{name(Number), Heard.Run});
    feed(PeerHeartbeatReceived{name(Number), Heard});
  }

  auto ask(std::string const &Caller) -> std::vector<SteeredInstance> {
    for (auto &it : feed(SteeringRequested{++Calls, CallerName(Caller)}))
      if (auto *answer = std::get_if<SendSteeringResponse>(&it))
        return answer->Instances;
    return {};
  }

private:
  auto feed(EventBody Happened) -> Effects {
    return reduce(Current, Event{Start, std::move(Happened)});
  }

  Instant Start = Instant{} + 1h;
  State Current = makeState({name(0), 100, FailureDomain("d"), "a0", ""},
                            ControlOptions{}, Start);
  CallId Calls = 0;
};

} // namespace

Test(Steering, SpreadsFewCallersEvenly) {
  constexpr auto Questions = 36000;
  auto node = SteeringNode();
  auto counts = std::map<InstanceId, int>{};
  for (auto n = 0; n < Questions; ++n)
    ++counts[node.ask(n % 3 == 0 ? "dispatch" : "household").front().Id];
  // This instance holds no configuration and offers the others only.
  cr_assert_eq(counts.size(), Instances - 1);
  auto even = static_cast<double>(Questions) / (Instances - 1);
  for (auto const &it : counts)
    cr_assert_float_eq(it.second / even, 1.0, 0.1, "%s: %d",
                       it.first.text().c_str(), it.second);
}

Test(Steering, LeavesOutWhoIsLeaving) {
  auto node = SteeringNode();
  auto leaving = PeerHeartbeat{};
  leaving.IsLeaving = true;
  node.hear(5, leaving);
  for (auto n = 0; n < 200; ++n)
    for (auto const &it : node.ask("dispatch"))
      cr_assert(it.Id != name(5));
}

Test(Steering, WeighsByLoad) {
  auto node = SteeringNode();
  auto loaded = PeerHeartbeat{};
  loaded.OutstandingCalls = 50;
  node.hear(5, loaded);
  auto wasSeen = false;
  for (auto n = 0; n < 200; ++n)
    for (auto const &it : node.ask("dispatch")) {
      cr_assert(it.Id != name(5) || it.Weight < 0.1);
      wasSeen |= it.Id == name(5);
    }
  cr_assert(wasSeen);
}

} // namespace dotterel::test
