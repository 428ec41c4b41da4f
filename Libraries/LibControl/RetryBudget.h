/// \file
/// Bounds retries by a share of the calls, so that a failing backend server
/// does not multiply the load.
#pragma once

#include <algorithm>

namespace dotterel {

/// A token bucket filled by calls and emptied by retries.
/// Thread safety: none.
class RetryBudget {
public:
  /// Records a new call.
  auto deposit() -> void { Tokens = std::min(Capacity, Tokens + PerCall); }

  /// Takes one retry. Returns false if the budget is spent.
  auto withdraw() -> bool {
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  static constexpr auto PerCall = 0.1;
  static constexpr auto Capacity = 50.0;
  double Tokens = 20.0;
};

} // namespace dotterel
