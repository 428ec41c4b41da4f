#include "LibRelay/RequestLimits.h"

#include <algorithm>

namespace dotterel::relay {

auto RequestLimits::observe(ServerKey Key, std::optional<double> PerSecond,
                            Instant SentAt, Instant Now) -> LimitChange {
  auto it = Entries.find(Key);
  if (it == Entries.end()) {
    if (!PerSecond)
      return LimitChange::None;
    Entries[Key] = {PerSecond, Now};
    return LimitChange::Named;
  }
  auto &entry = it->second;
  if (!PerSecond && (!entry.PerSecond || SentAt <= entry.ObservedAt))
    return LimitChange::None;
  auto isChanged = entry.PerSecond != PerSecond;
  entry = {PerSecond, Now};
  if (!isChanged)
    return LimitChange::None;
  return PerSecond ? LimitChange::Named : LimitChange::Ended;
}

auto RequestLimits::find(ServerKey Key) const -> std::optional<double> {
  auto it = Entries.find(Key);
  return it == Entries.end() ? std::nullopt : it->second.PerSecond;
}

auto RequestLimits::size() const -> std::size_t {
  return static_cast<std::size_t>(std::ranges::count_if(
      Entries, [](auto const &it) { return it.second.PerSecond.has_value(); }));
}

} // namespace dotterel::relay
