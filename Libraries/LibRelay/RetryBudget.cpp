#include "LibRelay/RetryBudget.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Share of the ratio that is used; the rest covers requests that this instance
/// counts but the deployment does not.
constexpr auto RatioFactor = 0.5;
/// Share of the slack that fills the bucket. One window may see the full bucket
/// and one refill, so the share is below one half.
constexpr auto SlackFactor = 0.35;
/// In a large fleet an instance's share is below one retry per window; the
/// bucket holds at least one retry, so that the share can accumulate to it.
constexpr auto MinimumCapacity = 1.0;
/// Limit on the retries accumulated from earlier requests.
constexpr auto MaximumRequestCredit = 4.0;

} // namespace

auto RetryBudget::deposit(RetryLimits const &Limits) -> void {
  RequestCredit = std::min(MaximumRequestCredit,
                           RequestCredit + RatioFactor * Limits.Ratio);
}

auto RetryBudget::refill(RetryLimits const &Limits, std::uint32_t Instances,
                         Instant Now) -> void {
  auto share = SlackFactor * Limits.Slack / std::max(Instances, 1U);
  auto capacity = std::max(MinimumCapacity, share);
  if (SlackCredit < 0)
    SlackCredit = capacity;
  auto windows =
      std::max(0.0, toSeconds(Now - RefilledAt) / toSeconds(Limits.Window));
  SlackCredit =
      std::min(capacity, SlackCredit + share * std::min(windows, 1.0));
  RefilledAt = Now;
}

auto RetryBudget::withdraw(RetryLimits const &Limits, std::uint32_t Instances,
                           Instant Now) -> bool {
  refill(Limits, Instances, Now);
  if (RequestCredit >= 1) {
    RequestCredit -= 1;
    return true;
  }
  if (SlackCredit < 1)
    return false;
  SlackCredit -= 1;
  return true;
}

} // namespace dotterel::relay
