/// \file
/// Limits retries to a fraction of the calls, so that a failing backend server
/// does not multiply the load.
#pragma once

#include <algorithm>

namespace dotterel {

/// A token bucket that calls fill and retries drain.
/// Thread safety: none.
class RetryBudget {
public:
  /// Records a new call.
  auto deposit() -> void { Tokens = std::min(Capacity, Tokens + PerCall); }

  /// Takes the tokens of one retry. Returns false if the budget is spent.
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
