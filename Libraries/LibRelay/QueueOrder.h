/// \file
/// Order in which an engine prefills the prompts that wait at it. Under load, a
/// long prompt without a cached prefix delays many short ones beyond their
/// targets; shortest first makes fewer requests late.
#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace dotterel::relay {

/// Returns the rank of a prompt in the queue of an engine: 0 is served first
/// and 9 last. It rises by one each time the prefill time doubles. Thread
/// safety: safe from any thread.
[[nodiscard]] auto queueRank(Duration PrefillTime) -> std::uint32_t;

} // namespace dotterel::relay
