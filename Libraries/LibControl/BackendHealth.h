/// \file
/// Outlier ejection and slow start for one backend server, based only on what
/// this instance observes.
#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace dotterel {

/// Counts consecutive failures, ejects the server after several of them, and
/// restores its traffic gradually. Thread safety: none.
class BackendHealth {
public:
  /// Records a complete response, or a well-formed refusal.
  auto recordSuccess() -> void;

  /// Records a connection that failed or broke at \p Now.
  auto recordFailure(Instant Now) -> void;

  /// Ejects the server at \p Now, regardless of earlier failures.
  auto eject(Instant Now) -> void;

  /// Returns whether the server should get no traffic at \p Now.
  [[nodiscard]] auto isEjected(Instant Now) const -> bool;

  /// Returns the factor by which the server's cost is multiplied at \p Now:
  /// above 1 until the slow start after an ejection ends, and 1 otherwise.
  [[nodiscard]] auto slowStartFactor(Instant Now) const -> double;

private:
  std::uint32_t ConsecutiveFailures = 0;
  std::uint32_t Ejections = 0;
  Instant EjectedUntil;
};

} // namespace dotterel
