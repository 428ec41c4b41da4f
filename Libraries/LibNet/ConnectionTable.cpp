#include "LibNet/ConnectionTable.h"

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

auto ConnectionTable::close(Handle Target) -> void {
  ++Closed;
  // The entry is removed once its task has ended.
  Target->Phase = ConnectionPhase::Responding;
  std::exchange(Target->Close, nullptr)();
}

auto ConnectionTable::closeForConnection(Instant Now) -> bool {
  auto victim = Entries.end();
  auto highest = std::pair{std::size_t{0}, Duration{}};
  for (auto it = Entries.begin(); it != Entries.end(); ++it) {
    if (it->Phase == ConnectionPhase::Responding || !it->Close)
      continue;
    auto const rank = std::pair{CountByAddress.at(it->Address),
                                Duration(Now - it->LastProgressAt)};
    if (victim != Entries.end() && rank <= highest)
      continue;
    victim = it;
    highest = rank;
  }
  if (victim == Entries.end())
    return false;
  close(victim);
  return true;
}

auto ConnectionTable::closeForMemory(Instant Now) -> bool {
  auto victim = Entries.end();
  auto highest = 0.0;
  for (auto it = Entries.begin(); it != Entries.end(); ++it) {
    auto const stalled = Now - it->LastProgressAt;
    if (it->Phase != ConnectionPhase::Receiving || !it->Close ||
        stalled < StallTime)
      continue;
    auto const rank = static_cast<double>(it->Bytes) * toSeconds(stalled);
    if (rank <= highest)
      continue;
    victim = it;
    highest = rank;
  }
  if (victim == Entries.end())
    return false;
  close(victim);
  return true;
}

} // namespace dotterel
