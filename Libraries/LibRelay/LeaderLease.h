/// \file
/// The lease of the tasks of the leader: usage reports
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
struct LeaderRecord {
  /// Older reports are overdue.
  static constexpr auto MaximumReports = std::size_t{4};

  std::string Holder;
  /// The latest reports; no window up to the last one may be reported with
  /// other counts.
  std::vector<UsageReport> Reports;
  /// Servers of each service when the number was first planned.
  std::map<std::string, ServerCounts> Baselines;
};

/// The right to act for all instances. Nothing is sent after ValidUntil.
struct LeaderAuthority {
  std::string Holder;
  std::uint64_t FencingNumber = 0;
  /// Time since boot.
  Duration ValidUntil{};
};

/// The lease as this instance knows it.
struct LeaderLease {
  bool IsKnown = false;
  /// A read or a write is in flight.
  bool IsPending = false;
  StoreVersion Version;
  LeaderRecord Record;
  Instant UnchangedSince;
  Instant NextReadAt;
  Instant NextWriteAt;
  /// Set while this instance holds the lease: the version of its first write,
  /// and the time since boot until which it may act under its last write.
  std::optional<StoreVersion> Fence;
  Duration ValidUntil{};

  /// Precondition: this instance, named \p Instance, holds the lease.
  [[nodiscard]] auto authority(std::string const &Instance) const
      -> LeaderAuthority {
    return {Instance, Fence->packed(), ValidUntil};
  }
};

} // namespace dotterel::relay
