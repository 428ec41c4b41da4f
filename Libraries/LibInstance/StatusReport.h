/// \file
/// What operators see: what is declared, what runs, what differs and why.
#pragma once

#include "LibControl/State.h"

#include <string>

namespace dotterel {

/// Traffic to explain; one of Model and Service is given.
struct ExplainQuestion {
  CallerName Caller;
  ModelName Model;
  ServiceName Service;
};

/// Returns the status as a JSON document.
[[nodiscard]] auto statusReport(State const &Subject) -> std::string;

/// Returns, as a JSON document, which route the traffic takes, why, and which
/// backend servers can take it now.
[[nodiscard]] auto explainReport(State const &Subject,
                                 ExplainQuestion const &Question)
    -> std::string;

} // namespace dotterel
