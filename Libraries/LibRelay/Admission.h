/// \file
/// Admission control. When load exceeds what the engines can prefill, requests
/// that would wait too long are refused at once, so that admitted requests meet
/// their targets.
#pragma once

#include "LibCore/ResultCode.h"
#include "LibRelay/Placement.h"

#include <optional>

namespace dotterel::relay {

/// Why a request is refused, and when the caller should retry.
struct Refusal {
  ResultCode Code = ResultCode::QueueTooLong;
  Duration RetryAfter{};
};

/// Returns why \p Request should not be started with \p Chosen at \p Now, or
/// std::nullopt if it is admitted. Thread safety: safe from any thread.
[[nodiscard]] auto checkAdmission(InFlightRequest const &Request,
                                  Choice const &Chosen, Instant Now)
    -> std::optional<Refusal>;

} // namespace dotterel::relay
