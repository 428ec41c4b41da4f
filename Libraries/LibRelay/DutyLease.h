/// \file
/// The lease of the duties that one instance performs for all: usage reports
/// and orders of servers.
#pragma once

#include "LibCore/Time.h"
#include "LibCustomer/Usage.h"
#include "LibRelay/StoreVersion.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::relay {

/// Number of servers by failure domain.
using ServerCounts = std::map<std::string, std::uint32_t, std::less<>>;

/// Content of the lease object. A report is written here before it is sent, so
/// that whoever holds the lease next repeats it unchanged.
struct DutyRecord {
  std::string Holder;
  /// The latest reports; no window up to the last one may be reported with
  /// other counts.
  std::vector<UsageReport> Reports;
  /// Servers of each service when the number was first planned.
  std::map<std::string, ServerCounts> Baselines;
};

/// The lease as this instance knows it.
struct DutyLease {
  bool IsKnown = false;
  /// A read or a write is in flight.
  bool IsPending = false;
  StoreVersion Version;
  DutyRecord Record;
  Instant UnchangedSince;
  Instant NextReadAt;
  Instant NextWriteAt;
  /// Set while this instance holds the lease: the version of its first write,
  /// and the time since boot until which it may act under its last write.
  std::optional<StoreVersion> Fence;
  Duration ValidUntil{};
};

} // namespace dotterel::relay
