#include "LibControl/Call.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr auto MaximumEntries = std::size_t{20000};
constexpr auto ReuseLearningRate = 0.1;

} // namespace

auto PrefixIndex::countSentTo(EngineId const &Engine,
                              std::span<std::uint64_t const> Hashes) const
    -> std::size_t {
  auto n = std::size_t{0};
  for (; n < Hashes.size(); ++n) {
    auto it = EnginesByHash.find(Hashes[n]);
    if (it == EnginesByHash.end() ||
        std::ranges::find(it->second, Engine) == it->second.end())
      break;
  }
  return n;
}

auto PrefixIndex::countSentAnywhere(std::span<std::uint64_t const> Hashes) const
    -> std::size_t {
  auto n = std::size_t{0};
  while (n < Hashes.size() && EnginesByHash.contains(Hashes[n]))
    ++n;
  return n;
}

auto PrefixIndex::record(EngineId const &Engine,
                         std::span<std::uint64_t const> Hashes) -> void {
  for (auto hash : Hashes) {
    auto &engines = EnginesByHash[hash];
    if (std::ranges::find(engines, Engine) != engines.end())
      continue;
    engines.push_back(Engine);
    InsertionOrder.push_back({hash, Engine});
    if (InsertionOrder.size() <= MaximumEntries)
      continue;
    erase(InsertionOrder.front());
    InsertionOrder.pop_front();
  }
}

auto PrefixIndex::erase(Entry const &Oldest) -> void {
  auto it = EnginesByHash.find(Oldest.Hash);
  std::erase(it->second, Oldest.Engine);
  if (it->second.empty())
    EnginesByHash.erase(it);
}

auto PrefixReuse::observe(bool IsHit) -> void {
  Probability += ReuseLearningRate * ((IsHit ? 1 : 0) - Probability);
}

auto PrefixIndex::removeEngine(EngineId const &Engine) -> void {
  std::erase_if(InsertionOrder,
                [&](Entry const &it) { return it.Engine == Engine; });
  for (auto &it : EnginesByHash)
    std::erase(it.second, Engine);
  std::erase_if(EnginesByHash,
                [](auto const &Item) { return Item.second.empty(); });
}

} // namespace dotterel
