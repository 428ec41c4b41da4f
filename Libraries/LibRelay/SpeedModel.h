/// \file
/// How fast the engines of one service read prompts, learned from requests.
#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace dotterel::relay {

/// Reading rates of a service's engines. The rate is what makes forecasts come
/// true on the average, so it also absorbs that work is counted as outstanding
/// until its first token. Thread safety: none.
class SpeedModel {
public:
  /// Returns the time to read \p Tokens at an engine whose stage is prefill
  /// alone, or that reads between the tokens of other requests.
  [[nodiscard]] auto prefillTime(std::uint64_t Tokens, bool IsPrefillOnly) const
      -> Duration;

  /// Records that \p Tokens, waiting ones included, took \p Taken.
  auto observe(std::uint64_t Tokens, bool IsPrefillOnly, Duration Taken)
      -> void;

  /// Returns the tokens per second that an engine reads whose stage is prefill
  /// alone.
  [[nodiscard]] auto prefillRate() const -> double { return PrefillRate; }

  /// Time of a request whose prompt is cached, with an idle engine.
  static constexpr auto BaseLatency = Duration{25ms};

private:
  /// Tokens per second until observations replace them: the lower end of what
  /// a large model reads on one server.
  double PrefillRate = 40000;
  double MixedRate = 20000;
};

} // namespace dotterel::relay
