#include "LibRelay/RetryAllowance.h"

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

auto RetryAllowance::deposit(RetryLimits const &Limits) -> void {
  FromRequests = std::min(MostSaved, FromRequests + RatioUsed * Limits.Ratio);
}

auto RetryAllowance::refill(RetryLimits const &Limits, std::uint32_t Instances,
                            Instant Now) -> void {
  auto part = SlackUsed * Limits.Slack / std::max(Instances, 1U);
  auto full = std::max(SmallestBucket, part);
  if (FromSlack < 0)
    FromSlack = full;
  auto windows =
      std::max(0.0, toSeconds(Now - RefilledAt) / toSeconds(Limits.Window));
  FromSlack = std::min(full, FromSlack + part * std::min(windows, 1.0));
  RefilledAt = Now;
}

auto RetryAllowance::withdraw(RetryLimits const &Limits,
                              std::uint32_t Instances, Instant Now) -> bool {
  refill(Limits, Instances, Now);
  if (FromRequests >= 1) {
    FromRequests -= 1;
    return true;
  }
  if (FromSlack < 1)
    return false;
  FromSlack -= 1;
  return true;
}

} // namespace dotterel::relay
