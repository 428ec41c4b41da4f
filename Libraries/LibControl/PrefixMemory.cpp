#include "LibControl/Call.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr auto MaximumEntries = std::size_t{20000};
constexpr auto ReuseLearningRate = 0.1;

} // namespace

auto PrefixMemory::countKnown(EngineId const &Engine,
                              std::span<std::uint64_t const> Hashes) const
    -> std::size_t {
  auto n = std::size_t{0};
  for (; n < Hashes.size(); ++n) {
    auto it = Known.find(Hashes[n]);
    if (it == Known.end() ||
        std::ranges::find(it->second, Engine) == it->second.end())
      break;
  }
  return n;
}

auto PrefixMemory::countSeen(std::span<std::uint64_t const> Hashes) const
    -> std::size_t {
  auto n = std::size_t{0};
  while (n < Hashes.size() && Known.contains(Hashes[n]))
    ++n;
  return n;
}

auto PrefixMemory::record(EngineId const &Engine,
                          std::span<std::uint64_t const> Hashes) -> void {
  for (auto hash : Hashes) {
    auto &engines = Known[hash];
    if (std::ranges::find(engines, Engine) != engines.end())
      continue;
    engines.push_back(Engine);
    Order.push_back({hash, Engine});
    if (Order.size() <= MaximumEntries)
      continue;
    erase(Order.front());
    Order.pop_front();
  }
}

auto PrefixMemory::erase(Entry const &Oldest) -> void {
  auto it = Known.find(Oldest.Hash);
  std::erase(it->second, Oldest.Engine);
  if (it->second.empty())
    Known.erase(it);
}

auto PrefixReuse::observe(bool WasFound) -> void {
  Probability += ReuseLearningRate * ((WasFound ? 1 : 0) - Probability);
}

auto PrefixMemory::forget(EngineId const &Engine) -> void {
  std::erase_if(Order, [&](Entry const &it) { return it.Engine == Engine; });
  for (auto &it : Known)
    std::erase(it.second, Engine);
  std::erase_if(Known, [](auto const &Item) { return Item.second.empty(); });
}

} // namespace dotterel
