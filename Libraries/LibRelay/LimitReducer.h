/// \file
/// Limits on the requests per second that servers name.
#pragma once

#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Learns the limits from responses.
class LimitReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  /// Applies the limit that a response of \p Target with \p Status names, or
  /// that it names none. The request was sent at \p SentAt.
  auto observeResponse(Server const &Target, unsigned Status,
                       ServerNotice const &Notice, Instant SentAt) -> void;
};

} // namespace dotterel::relay
