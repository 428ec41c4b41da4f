/// \file
/// Addresses as "ip:port" text.
#pragma once

#include "LibNet/Asio.h"

#include <string_view>

namespace dotterel {

/// Parses "ip:port". Errors: std::invalid_argument.
[[nodiscard]] auto parseEndpoint(std::string_view Address)
    -> asio::ip::tcp::endpoint;

} // namespace dotterel
