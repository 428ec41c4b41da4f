/// \file
/// Whether a request is worth beginning. Answers load beyond what the engines
/// can read: what would wait too long is refused at once, so that those who
/// are admitted are served in time.
#pragma once

#include "LibCore/ResultCode.h"
#include "LibRelay/Placement.h"

#include <optional>

namespace dotterel::relay {

/// Why a request is refused, and when it should come back.
struct Refusal {
  ResultCode Code = ResultCode::QueueTooLong;
  Duration RetryAfter{};
};

/// Returns why \p Target should not begin with \p Chosen at \p Now, or nothing
/// if it should. Thread safety: safe from any thread.
[[nodiscard]] auto checkAdmission(InFlightRequest const &Target,
                                  Choice const &Chosen, Instant Now)
    -> std::optional<Refusal>;

} // namespace dotterel::relay
