/// \file
/// A model of one engine's speed, fitted to what this instance observes.
#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace dotterel {

/// Work that stands before and within a request.
struct EngineWork {
  double QueuedPrefillTokens = 0;
  double PromptTokens = 0;
  double OutputTokens = 0;
  double BatchSize = 0;
};

/// When a request is expected to progress.
struct EngineForecast {
  Duration FirstToken{};
  Duration Completion{};
};

/// Prefill rate and batch-dependent decode time of one engine.
/// Thread safety: none.
class EngineModel {
public:
  /// Forecasts a request from now on.
  [[nodiscard]] auto forecast(EngineWork const &Work) const -> EngineForecast;

  /// Records that the first token of a request came \p Elapsed after sending,
  /// with \p PrefillTokens of prefill before it and \p BatchSize others
  /// running. Precondition: \p Elapsed is positive.
  auto observeFirstToken(double PrefillTokens, double BatchSize,
                         Duration Elapsed) -> void;

  /// Records the time between two tokens while \p BatchSize requests ran.
  auto observeBetweenTokens(double BatchSize, Duration Elapsed) -> void;

  [[nodiscard]] auto prefillTokensPerSecond() const -> double {
    return PrefillRate;
  }

private:
  [[nodiscard]] auto decodeSeconds(double BatchSize) const -> double;

  double PrefillRate = 8000;
  double DecodeBaseSeconds = 0.012;
  double DecodeSecondsPerRequest = 0.0005;
};

} // namespace dotterel
