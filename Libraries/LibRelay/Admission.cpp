#include "LibRelay/Admission.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Part of its target that the most urgent request may wait for its turn.
constexpr auto LongestWait = 1.0;
/// How much of that each further rank loses, down to the lower bound: when
/// load rises, the less urgent requests are refused first.
constexpr auto WaitLossPerRank = 0.15;
constexpr auto SmallestWait = 0.55;
/// Bounds on the time after which a refused caller should come back. The lower
/// one is about the time in which a queue moves.
constexpr auto ShortestReturn = Duration{200ms};
constexpr auto LongestReturn = Duration{2s};

} // namespace

auto checkAdmission(InFlightRequest const &Target, Choice const &Chosen,
                    Instant Now) -> std::optional<Refusal> {
  auto const &route = *Target.MatchedRoute;
  auto share =
      std::max(SmallestWait, LongestWait - WaitLossPerRank * route.Priority);
  auto limit = scaled(route.TargetLatency, share);
  auto comeBack = [](Duration Excess) {
    return std::clamp(Excess, ShortestReturn, LongestReturn);
  };
  if (Now + Chosen.Forecast > Target.Deadline)
    return Refusal{ResultCode::DeadlineInfeasible,
                   comeBack(Now + Chosen.Forecast - Target.Deadline)};
  if (Chosen.Wait > limit)
    return Refusal{ResultCode::QueueTooLong, comeBack(Chosen.Wait - limit)};
  return std::nullopt;
}

} // namespace dotterel::relay
