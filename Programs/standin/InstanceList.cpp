#include "InstanceList.h"

namespace dotterel::standin {

namespace {

constexpr auto ProbeInterval = Duration{200ms};
constexpr auto ProbeTimeout = Duration{500ms};
constexpr auto MaximumSnapshots = std::size_t{200};

} // namespace

auto InstanceList::probe(std::string Address) -> Awaitable<unsigned> {
  auto result = co_await exchange(std::move(Address),
                                  {"GET", "/readyz", "", {}, ""}, ProbeTimeout);
  co_return result.Response ? result.Response->Status : 0;
}

auto InstanceList::run() -> Awaitable<void> {
  for (;;) {
    auto listed = json::array();
    auto registered = Registered;
    for (auto &it : registered) {
      auto status = co_await probe(it.at("callerAddress").get<std::string>());
      // An instance that does not respond in time, such as a paused one, is
      // listed only if its entry is pinned.
      auto isPinned = it.value("pinned", false);
      if (status == 0 && !isPinned)
        continue;
      it["leaving"] = status == 503 && it.value("wasReady", false);
      for (auto &entry : Registered)
        if (entry.at("id") == it.at("id") && status == 200)
          entry["wasReady"] = true;
      listed.push_back(it);
    }
    Snapshots.push_back({std::chrono::steady_clock::now(), listed});
    if (Snapshots.size() > MaximumSnapshots)
      Snapshots.pop_front();
    co_await sleepFor(ProbeInterval);
  }
}

auto InstanceList::handle(HttpExchange &Exchange) -> Awaitable<void> {
  auto latestVisible =
      std::chrono::steady_clock::now() - std::chrono::milliseconds(LagMs);
  auto visible = json::array();
  for (auto const &it : Snapshots)
    if (it.At <= latestVisible)
      visible = it.Instances;
  co_await respondJson(Exchange, 200, {{"instances", visible}});
}

auto InstanceList::control(json const &Body) -> void {
  if (Body.contains("instances"))
    Registered = Body.at("instances");
  LagMs = Body.value("listLagMs", LagMs);
}

} // namespace dotterel::standin
