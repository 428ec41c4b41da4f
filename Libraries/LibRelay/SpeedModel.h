/// \file
/// Estimates the prefill speed of the engines of one service from observed
/// requests.
#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace dotterel::relay {

/// Prefill rates of a service's engines. The rates are fitted so that forecasts
/// are right on average; they therefore also compensate for counting prompt
/// tokens as outstanding until the first output token. Thread safety: none.
class SpeedModel {
public:
  /// Returns the time to prefill \p Tokens at an engine that runs prefill only,
  /// or at one that also decodes.
  [[nodiscard]] auto prefillTime(std::uint64_t Tokens, bool IsPrefillOnly) const
      -> Duration;

  /// Records that \p Tokens, including the tokens queued before them, took
  /// \p Taken.
  auto observe(std::uint64_t Tokens, bool IsPrefillOnly, Duration Taken)
      -> void;

  /// Returns the tokens per second of an engine that runs prefill only.
  [[nodiscard]] auto prefillRate() const -> double { return PrefillRate; }

  /// Time to the first token of a fully cached prompt at an idle engine.
  static constexpr auto BaseLatency = Duration{25ms};

private:
  /// Initial rates in tokens per second: the lower end of what one server
  /// achieves with a large model.
  double PrefillRate = 40000;
  double MixedRate = 20000;
};

} // namespace dotterel::relay
