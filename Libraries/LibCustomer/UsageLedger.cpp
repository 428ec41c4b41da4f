#include "LibCustomer/UsageLedger.h"

#include <algorithm>

namespace dotterel {

auto UsageLedger::record(UsageWindow Window, std::string_view Customer)
    -> void {
  auto &counts = Windows[Window][Source{}];
  auto it = counts.find(Customer);
  if (it == counts.end())
    it = counts.emplace(Customer, 0).first;
  ++it->second;
  Changed.insert(Window);
}

auto UsageLedger::merge(std::string_view Address, UsageMessage const &Message,
                        UsageWindow Current) -> void {
  // A peer's clock may be slightly ahead.
  auto const window = Message.Report.Window;
  if (window + KeptWindows <= Current || window > Current + 1)
    return;
  auto &counts =
      Windows[window][Source{std::string(Address), Message.Incarnation}];
  for (auto const &it : Message.Report.Counts) {
    if (counts.size() >= MaximumCustomers && !counts.contains(it.first))
      continue;
    auto &count = counts[it.first];
    count = std::max(count, it.second);
  }
}

auto UsageLedger::advance(UsageWindow Current) -> void {
  auto const isOld = [&](UsageWindow it) {
    return it + KeptWindows <= Current;
  };
  std::erase_if(Windows, [&](auto const &it) { return isOld(it.first); });
  std::erase_if(Changed, isOld);
}

auto UsageLedger::total(UsageWindow Window) const -> UsageCounts {
  auto sum = UsageCounts{};
  auto const window = Windows.find(Window);
  if (window == Windows.end())
    return sum;
  for (auto const &[source, counts] : window->second) {
    for (auto const &it : counts)
      sum[it.first] += it.second;
  }
  return sum;
}

auto UsageLedger::takeOwn(bool All) -> std::vector<UsageReport> {
  auto reports = std::vector<UsageReport>{};
  for (auto const &[window, sources] : Windows) {
    auto const own = sources.find(Source{});
    if (own != sources.end() && (All || Changed.contains(window)))
      reports.push_back({window, own->second});
  }
  Changed.clear();
  return reports;
}

} // namespace dotterel
