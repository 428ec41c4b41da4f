/// \file
/// Requests of customers that began to run, by window of time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace dotterel {

/// Number of a window: window n begins n times its length after the start of
/// 1970.
using UsageWindow = std::uint64_t;

/// Requests that began to run in one window, by the customer's name.
using UsageCounts = std::map<std::string, std::uint32_t, std::less<>>;

/// The counts of one window.
struct UsageReport {
  UsageWindow Window = 0;
  UsageCounts Counts;

  auto operator==(UsageReport const &) const -> bool = default;
};

} // namespace dotterel
