/// \file
/// Datagram with which an instance tells others the requests that it started.
#pragma once

#include "LibCustomer/Usage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// Counts of one instance in one window. Counts only grow, so a repeated or
/// reordered message changes nothing.
struct UsageMessage {
  std::uint64_t Incarnation = 0;
  UsageReport Report;
};

/// Returns the datagrams that contain \p Message, each small enough not to be
/// fragmented into more than a few packets. Thread safety: any thread.
[[nodiscard]] auto encodeUsage(UsageMessage const &Message)
    -> std::vector<std::string>;

/// Returns std::nullopt if \p Bytes is not a valid message. Thread safety: any
/// thread.
[[nodiscard]] auto decodeUsage(std::string_view Bytes)
    -> std::optional<UsageMessage>;

} // namespace dotterel
