/// \file
/// This instance's share of the retries that all instances together may send to
/// one service within a window.
#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace dotterel::relay {

/// Limits on retries set by the deployment.
struct RetryLimits {
  /// Retries per request.
  double Ratio = 0.2;
  /// Additional retries of all instances together within one window.
  double Slack = 0;
  Duration Window = 10s;
};

/// A token bucket that is filled by requests and by time, so that the retries
/// in any window stay below this instance's share. Thread safety: none.
class RetryBudget {
public:
  /// Adds the credit of one request to the budget.
  auto deposit(RetryLimits const &Limits) -> void;

  /// Takes one retry from the budget. Returns false if the budget is exhausted.
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
