/// \file
/// Counts of started requests of all instances.
#pragma once

#include "LibCustomer/UsageMessage.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace dotterel {

/// Collects the counts of this instance and of its peers in the latest windows.
/// Each instance holds a ledger, so that another one can report the usage if
/// the one that reports it fails. Thread safety: none.
class UsageLedger {
public:
  /// Windows that are kept, the current one included.
  static constexpr auto KeptWindows = UsageWindow{8};
  /// Limit on customers that one instance reports in one window.
  static constexpr auto MaximumCustomers = std::size_t{16384};

  /// Counts one request that this instance saw begin in \p Window.
  auto record(UsageWindow Window, std::string_view Customer) -> void;

  /// Adds what the peer at \p Address reported. Windows that are not kept are
  /// ignored.
  auto merge(std::string_view Address, UsageMessage const &Message,
             UsageWindow Current) -> void;

  /// Forgets windows that are too old at \p Current.
  auto advance(UsageWindow Current) -> void;

  /// Returns the counts of all instances in \p Window.
  [[nodiscard]] auto total(UsageWindow Window) const -> UsageCounts;

  /// Returns the counts of this instance that have changed since the previous
  /// call, or all of them if \p All is set.
  [[nodiscard]] auto takeOwn(bool All) -> std::vector<UsageReport>;

private:
  /// Instance by address and incarnation; the empty address is this one.
  using Source = std::pair<std::string, std::uint64_t>;

  std::map<UsageWindow, std::map<Source, UsageCounts>> Windows;
  std::set<UsageWindow> Changed;
};

} // namespace dotterel
