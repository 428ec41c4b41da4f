/// \file
/// Outlier ejection and slow start for one backend server, from the evidence
/// of this instance alone.
#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace dotterel {

/// Counts failures, ejects after several in a row, and lets traffic return
/// gradually. Thread safety: none.
class BackendHealth {
public:
  /// Records an answer that was whole, or a refusal in good order.
  auto recordSuccess() -> void;

  /// Records a broken or impossible connection at \p Now.
  auto recordFailure(Instant Now) -> void;

  /// Takes traffic away from the server at \p Now without further evidence.
  auto eject(Instant Now) -> void;

  /// Returns whether traffic should avoid the server at \p Now.
  [[nodiscard]] auto isEjected(Instant Now) const -> bool;

  /// Returns the factor by which the server's cost should seem higher: above
  /// 1 for a while after an ejection ends, and 1 otherwise.
  [[nodiscard]] auto slowStartFactor(Instant Now) const -> double;

private:
  std::uint32_t ConsecutiveFailures = 0;
  std::uint32_t Ejections = 0;
  Instant EjectedUntil;
};

} // namespace dotterel
