/// \file
/// The instance that acts for all instances where only one may.
#pragma once

#include "LibRelay/State.h"

#include <optional>
#include <string>

namespace dotterel::relay {

/// Returns whether an instance has been heard of for long enough that its peers
/// agree on it.
[[nodiscard]] auto isKnownWell(State const &Source, Peer const &Target) -> bool;

/// Returns the peer address of the live instance that acts for all of them in
/// the matter \p Key: the one with the highest rendezvous score. Returns
/// std::nullopt if no instance is known well enough.
[[nodiscard]] auto findCoordinator(State const &Source, std::uint64_t Key)
    -> std::optional<std::string>;

} // namespace dotterel::relay
