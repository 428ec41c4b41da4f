/// \file
/// Reports for operators: the declared and actual state of the fleet, and how
/// traffic is routed.
#pragma once

#include "LibControl/State.h"

#include <string>

namespace dotterel {

/// The traffic to explain; either Model or Service is empty.
struct ExplainQuery {
  CallerName Caller;
  ModelName Model;
  ServiceName Service;
};

/// Returns the status as a JSON document.
[[nodiscard]] auto statusReport(State const &CurrentState) -> std::string;

/// Returns, as a JSON document, the route of the traffic, its selectors and
/// which of its backend servers are available.
[[nodiscard]] auto explainReport(State const &CurrentState,
                                 ExplainQuery const &Query) -> std::string;

} // namespace dotterel
