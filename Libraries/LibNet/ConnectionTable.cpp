#include "LibNet/ConnectionTable.h"

#include <optional>
#include <utility>

namespace dotterel {

namespace {

/// A request that has received nothing for this long has stalled.
constexpr auto StallTime = Duration{100ms};

} // namespace

auto ConnectionTable::add(ConnectionEntry Entry) -> Handle {
  ++CountByAddress[Entry.Address];
  return Entries.insert(Entries.end(), std::move(Entry));
}

auto ConnectionTable::remove(Handle Target) -> void {
  auto count = CountByAddress.find(Target->Address);
  if (--count->second == 0)
    CountByAddress.erase(count);
  Entries.erase(Target);
}

auto ConnectionTable::evict(Handle Target) -> void {
  ++Evicted;
  // The entry is removed once its task has ended.
  Target->Phase = ConnectionPhase::Responding;
  std::exchange(Target->Close, nullptr)();
}

template <typename Ranking>
auto ConnectionTable::evictHighest(Ranking Rank) -> bool {
  auto victim = Entries.end();
  auto highest = decltype(Rank(ConnectionEntry{})){};
  for (auto it = Entries.begin(); it != Entries.end(); ++it) {
    // An entry without Close has been evicted already.
    if (it->Phase == ConnectionPhase::Responding || !it->Close)
      continue;
    auto const rank = Rank(*it);
    if (!rank || rank <= highest)
      continue;
    victim = it;
    highest = rank;
  }
  if (victim == Entries.end())
    return false;
  evict(victim);
  return true;
}

auto ConnectionTable::evictForConnection(Instant Now) -> bool {
  return evictHighest([&](ConnectionEntry const &Entry) {
    return std::optional(std::pair{CountByAddress.at(Entry.Address),
                                   Duration(Now - Entry.LastProgressAt)});
  });
}

auto ConnectionTable::evictForMemory(Instant Now) -> bool {
  return evictHighest([&](ConnectionEntry const &Entry) {
    auto const stalled = Now - Entry.LastProgressAt;
    if (Entry.Phase != ConnectionPhase::Receiving || stalled < StallTime)
      return std::optional<double>{};
    return std::optional(static_cast<double>(Entry.Bytes) * toSeconds(stalled));
  });
}

} // namespace dotterel
