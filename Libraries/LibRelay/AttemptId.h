/// \file
/// Identifies attempts.
#pragma once

#include "LibRelay/Request.h"

#include <compare>
#include <cstdint>

namespace dotterel::relay {

/// Identifies one attempt to serve a request at one server.
struct AttemptId {
  RequestNumber Request = 0;
  std::uint32_t Number = 0;
  auto operator<=>(AttemptId const &) const = default;
};

} // namespace dotterel::relay
