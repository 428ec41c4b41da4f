#include "InstanceList.h"

namespace dotterel::standin {

namespace {

constexpr auto ProbeInterval = Duration{200ms};
constexpr auto ProbeTimeout = Duration{500ms};
constexpr auto SnapshotsKept = std::size_t{200};

} // namespace

auto InstanceList::probe(std::string Address) -> Awaitable<unsigned> {
  auto result = co_await exchange(std::move(Address),
                                  {"GET", "/readyz", "", {}, ""}, ProbeTimeout);
  co_return result.Response ? result.Response->Status : 0;
}

auto InstanceList::run() -> Awaitable<void> {
  for (;;) {
    auto found = json::array();
    auto known = Known;
    for (auto &it : known) {
      auto status = co_await probe(it.at("callerAddress").get<std::string>());
      // A paused instance accepts nothing in time, yet it is still there.
      auto isPinned = it.value("pinned", false);
      if (status == 0 && !isPinned)
        continue;
      it["leaving"] = status == 503 && it.value("wasReady", false);
      for (auto &entry : Known)
        if (entry.at("id") == it.at("id") && status == 200)
          entry["wasReady"] = true;
      found.push_back(it);
    }
    Snapshots.push_back({std::chrono::steady_clock::now(), found});
    if (Snapshots.size() > SnapshotsKept)
      Snapshots.pop_front();
    co_await sleepFor(ProbeInterval);
  }
}

auto InstanceList::handle(HttpExchange &Target) -> Awaitable<void> {
  auto limit =
      std::chrono::steady_clock::now() - std::chrono::milliseconds(LagMs);
  auto shown = json::array();
  for (auto const &it : Snapshots)
    if (it.At <= limit)
      shown = it.Instances;
  co_await respondJson(Target, 200, {{"instances", shown}});
}

auto InstanceList::control(json const &Body) -> void {
  if (Body.contains("instances"))
    Known = Body.at("instances");
  LagMs = Body.value("listLagMs", LagMs);
}

} // namespace dotterel::standin
