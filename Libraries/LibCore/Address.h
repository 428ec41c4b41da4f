/// \file
/// Checks addresses and names that other processes wrote.
#pragma once

#include <string_view>

namespace dotterel {

/// Returns whether \p Text is an IPv4 address and a port from 1 to 65535, as
/// "ip:port". Thread safety: any thread.
[[nodiscard]] auto isAddress(std::string_view Text) -> bool;

/// Returns whether \p Text can be the name of an object and the value of a
/// header field: 1 to 256 printable ASCII characters without spaces.
/// Thread safety: any thread.
[[nodiscard]] auto isName(std::string_view Text) -> bool;

/// Returns whether \p Text can be the name of a service or a failure domain: 1
/// to 256 bytes without control characters. Thread safety: any thread.
[[nodiscard]] auto isLabel(std::string_view Text) -> bool;

} // namespace dotterel
