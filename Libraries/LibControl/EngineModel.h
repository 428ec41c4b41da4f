/// \file
/// A model of the engines' speed, fitted to what this instance observes, and
/// how far one engine departs from it.
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
  /// Part of the time in which the engine works on prefill.
  double PrefillShare = 0;
};

/// When a request is expected to progress.
struct EngineForecast {
  Duration FirstToken{};
  Duration Completion{};
};

/// Prefill rate and batch-dependent decode time. One model serves all engines:
/// a single engine shows too few samples, and fits that differ by chance draw
/// requests away from the engines that hold their prefixes.
/// Thread safety: none.
class EngineModel {
public:
  /// Forecasts a request from now on.
  [[nodiscard]] auto forecast(EngineWork const &Work) const -> EngineForecast;

  /// Records that an engine with prefill waiting worked off \p Tokens of it in
  /// \p Elapsed. Precondition: \p Elapsed is positive.
  auto observePrefill(double Tokens, Duration Elapsed) -> void;

  /// Records the time between two tokens while \p BatchSize requests ran.
  auto observeBetweenTokens(double BatchSize, Duration Elapsed) -> void;

  /// Records the time between two tokens while prefill was waiting.
  auto observeBetweenTokensDuringPrefill(Duration Elapsed) -> void;

  /// Returns the time expected between two tokens, without prefill.
  [[nodiscard]] auto betweenTokens(double BatchSize) const -> Duration;

  [[nodiscard]] auto prefillTokensPerSecond() const -> double {
    return PrefillRate;
  }

private:
  [[nodiscard]] auto decodeSeconds(double BatchSize) const -> double;

  double PrefillRate = 8000;
  double DuringPrefillSeconds = 0.05;
  double DecodeBaseSeconds = 0.012;
  double DecodeSecondsPerRequest = 0.0005;
};

/// How much slower one engine is than the model. Thread safety: none.
class EngineSlowness {
public:
  /// Records a time between tokens and what the model expected.
  /// Precondition: \p Expected is positive.
  auto observe(Duration Elapsed, Duration Expected) -> void;

  /// Returns the factor on forecasts; 1 while the engine is ordinary.
  [[nodiscard]] auto factor() const -> double;

private:
  double Ratio = 1;
};

} // namespace dotterel
