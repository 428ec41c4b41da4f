#include "LibControl/Call.h"

namespace dotterel {

namespace {

constexpr auto MaximumEntries = std::size_t{20000};
constexpr auto ReuseLearningRate = 0.1;

} // namespace

auto PrefixMemory::countKnown(EngineId const &Engine,
                              std::span<std::uint64_t const> Hashes) const
    -> std::size_t {
  auto n = std::size_t{0};
  while (n < Hashes.size() && Known.contains({Hashes[n], Engine}))
    ++n;
  return n;
}

auto PrefixMemory::countSeen(std::span<std::uint64_t const> Hashes) const
    -> std::size_t {
  auto n = std::size_t{0};
  while (n < Hashes.size()) {
    auto it = Known.lower_bound({Hashes[n], {}});
    if (it == Known.end() || it->Hash != Hashes[n])
      break;
    ++n;
  }
  return n;
}

auto PrefixMemory::record(EngineId const &Engine,
                          std::span<std::uint64_t const> Hashes) -> void {
  for (auto hash : Hashes) {
    auto entry = Entry{hash, Engine};
    if (!Known.insert(entry).second)
      continue;
    Order.push_back(entry);
    if (Order.size() <= MaximumEntries)
      continue;
    Known.erase(Order.front());
    Order.pop_front();
  }
}

auto PrefixReuse::observe(bool WasFound) -> void {
  Probability += ReuseLearningRate * ((WasFound ? 1 : 0) - Probability);
}

auto PrefixMemory::forget(EngineId const &Engine) -> void {
  std::erase_if(Known, [&](Entry const &it) { return it.Engine == Engine; });
  std::erase_if(Order, [&](Entry const &it) { return it.Engine == Engine; });
}

} // namespace dotterel
