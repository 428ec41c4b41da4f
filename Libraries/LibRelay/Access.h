/// \file
/// Decides for which customer a request is served, and whether it is.
#pragma once

#include "LibCore/ResultCode.h"
#include "LibRelay/Configuration.h"
#include "LibRelay/Request.h"

#include <optional>

namespace dotterel::relay {

/// The customer that a request is served for, or why it is refused.
struct Access {
  /// Null if the request needs no key and has none. Belongs to the
  /// configuration.
  Customer const *Holder = nullptr;
  std::optional<ResultCode> Refusal;
};

/// Checks the credentials of a request on \p MatchedRoute. A key that is not
/// valid is refused on public routes, too. Thread safety: any thread.
[[nodiscard]] auto checkAccess(Configuration const &Config,
                               Route const &MatchedRoute,
                               Credentials const &Offered) -> Access;

} // namespace dotterel::relay
