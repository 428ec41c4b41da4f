/// \file
/// This instance's part of the retries that all instances may send to one
/// service within a window.
#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace dotterel::relay {

/// What the deployment allows in retries.
struct RetryLimits {
  /// Retries per request.
  double Ratio = 0.2;
  /// Further retries of all instances together in one window.
  double Slack = 0;
  Duration Window = 10s;
};

/// A token bucket: it fills with the requests and with time, so that what is
/// spent in any window stays below the part of this instance.
/// Thread safety: none.
class RetryBudget {
public:
  /// Records a request for the service.
  auto deposit(RetryLimits const &Limits) -> void;

  /// Takes one retry. Returns false if none is left.
  auto withdraw(RetryLimits const &Limits, std::uint32_t Instances, Instant Now)
      -> bool;

private:
  auto refill(RetryLimits const &Limits, std::uint32_t Instances, Instant Now)
      -> void;

  double RequestCredit = 0;
  double SlackCredit = -1;
  Instant RefilledAt;
};

} // namespace dotterel::relay
