#include "LibRelay/LimitReducer.h"

namespace dotterel::relay {

namespace {

constexpr auto FirstSuccessStatus = 200U;
constexpr auto FirstRedirectStatus = 300U;

} // namespace

auto LimitReducer::observeResponse(Server const &Target, unsigned Status,
                                   ServerNotice const &Notice, Instant SentAt)
    -> void {
  // An error may come from a part of the server that does not know the limit.
  auto isSuccess = Status >= FirstSuccessStatus && Status < FirstRedirectStatus;
  if (!Notice.RequestLimit && (Notice.NamesLimit || !isSuccess))
    return;
  auto change = CurrentState.Limits.observe(Target.Key, Notice.RequestLimit,
                                            SentAt, now());
  if (change == LimitChange::None)
    return;
  log(LogLevel::Info, "server-limit-changed",
      "server={} service={} named={} per_second={} load_requests={}",
      Target.Description.Id, quoteLogValue(Target.Description.Service),
      change == LimitChange::Named, Notice.RequestLimit.value_or(0),
      Target.load().Requests);
}

} // namespace dotterel::relay
