/// \file
/// Policies for the choice of an engine that the product's own policy is
/// compared with.
#pragma once

#include "LibControl/InstanceIdentity.h"

#include <memory>
#include <string_view>
#include <vector>

namespace dotterel::bench {

/// Returns the names of all policies; "own" is the product's policy.
[[nodiscard]] auto policyNames() -> std::vector<std::string_view>;

/// Returns the chooser that implements \p Policy; null for "own".
/// Errors: dotterel::Error InvalidUsage.
[[nodiscard]] auto makeChooser(std::string_view Policy)
    -> std::shared_ptr<EngineChooser const>;

} // namespace dotterel::bench
