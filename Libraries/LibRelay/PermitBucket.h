/// \file
/// The permits that one instance issues for one server that names a limit.
#pragma once

#include "LibCore/Time.h"

#include <optional>

namespace dotterel::relay {

/// A token bucket that holds at most what the server takes in one second, and
/// at least one permit. Starts empty, because another instance may have issued
/// permits until then. Thread safety: none.
class PermitBucket {
public:
  /// Takes a permit to send one request to a server that takes \p PerSecond.
  /// Returns std::nullopt if there was one, or the time until there will be.
  /// Precondition: \p Now is not earlier than in previous calls.
  auto take(double PerSecond, Instant Now) -> std::optional<Duration>;

private:
  double Permits = 0;
  std::optional<Instant> RefilledAt;
};

} // namespace dotterel::relay
