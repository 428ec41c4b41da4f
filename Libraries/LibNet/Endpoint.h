/// \file
/// Addresses as "ip:port" text.
#pragma once

#include "LibNet/Asio.h"

#include <optional>
#include <string_view>

namespace dotterel {

/// Parses "ip:port". Returns std::nullopt if \p Address is not one.
/// Thread safety: any thread.
[[nodiscard]] auto findEndpoint(std::string_view Address)
    -> std::optional<asio::ip::tcp::endpoint>;

/// Parses "ip:port", for addresses in settings. Errors: std::invalid_argument.
/// Thread safety: any thread.
[[nodiscard]] auto parseEndpoint(std::string_view Address)
    -> asio::ip::tcp::endpoint;

} // namespace dotterel
