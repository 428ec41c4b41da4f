#include "LibRelay/RetryBudget.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Part of the ratio that is used; the rest covers requests that this instance
/// counts and that the deployment does not.
constexpr auto RatioUsed = 0.5;
/// Part of the slack that fills the bucket. What a window may see is the full
/// bucket and one refill, so this stays under a half.
constexpr auto SlackUsed = 0.35;
/// In a large fleet an instance's part is below one retry a window; it must be
/// able to save up one.
constexpr auto SmallestBucket = 1.0;
/// Most retries saved from earlier requests.
constexpr auto MostSaved = 4.0;

} // namespace

auto RetryBudget::deposit(RetryLimits const &Limits) -> void {
  RequestCredit = std::min(MostSaved, RequestCredit + RatioUsed * Limits.Ratio);
}

auto RetryBudget::refill(RetryLimits const &Limits, std::uint32_t Instances,
                         Instant Now) -> void {
  auto part = SlackUsed * Limits.Slack / std::max(Instances, 1U);
  auto full = std::max(SmallestBucket, part);
  if (SlackCredit < 0)
    SlackCredit = full;
  auto windows =
      std::max(0.0, toSeconds(Now - RefilledAt) / toSeconds(Limits.Window));
  SlackCredit = std::min(full, SlackCredit + part * std::min(windows, 1.0));
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
