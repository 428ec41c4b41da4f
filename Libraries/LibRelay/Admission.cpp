#include "LibRelay/Admission.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Share of its target latency that a request of the highest priority may wait.
constexpr auto MaximumWaitShare = 1.0;
/// Reduction of this share for each level below the highest priority, down to
/// the minimum, so that under rising load less urgent requests are refused
/// first.
constexpr auto WaitShareLossPerPriority = 0.15;
constexpr auto MinimumWaitShare = 0.55;
/// Bounds on the time after which a refused caller should retry. The minimum is
/// about the time in which a queue advances.
constexpr auto MinimumRetryAfter = Duration{200ms};
constexpr auto MaximumRetryAfter = Duration{2s};

} // namespace

auto checkAdmission(InFlightRequest const &Request, Choice const &Chosen,
                    Instant Now) -> std::optional<Refusal> {
  auto const &route = *Request.MatchedRoute;
  auto share =
      std::max(MinimumWaitShare, MaximumWaitShare - WaitShareLossPerPriority *
                                                        Request.priority());
  auto limit = scaled(route.TargetLatency, share);
  auto retryAfter = [](Duration Excess) {
    return std::clamp(Excess, MinimumRetryAfter, MaximumRetryAfter);
  };
  if (Now + Chosen.Forecast > Request.Deadline)
    return Refusal{ResultCode::DeadlineInfeasible,
                   retryAfter(Now + Chosen.Forecast - Request.Deadline)};
  if (Chosen.Wait > limit)
    return Refusal{ResultCode::QueueTooLong, retryAfter(Chosen.Wait - limit)};
  return std::nullopt;
}

} // namespace dotterel::relay
