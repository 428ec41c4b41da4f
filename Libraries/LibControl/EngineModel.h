/// \file
/// Performance model of the engines, fitted online to this instance's
/// observations, and the deviation of single engines from it.
#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace dotterel {

/// Work that is queued ahead of a request, and that of the request itself.
struct EngineWork {
  double QueuedPrefillTokens = 0;
  double PromptTokens = 0;
  double OutputTokens = 0;
  double BatchSize = 0;
  /// Fraction of time in which the engine has prefill queued, from 0 to 1.
  double PrefillShare = 0;
};

/// Expected durations until the first token and until completion.
struct EngineForecast {
  Duration FirstToken{};
  Duration Completion{};
};

/// Prefill rate and decode time by batch size. One model is shared by all
/// engines: a single engine gives too few samples, and differences between
/// engines that are only noise would route requests away from the engines that
/// hold their prefixes.
/// Thread safety: none.
class EngineModel {
public:
  /// Forecasts a request that is sent now.
  [[nodiscard]] auto forecast(EngineWork const &Work) const -> EngineForecast;

  /// Records that an engine with queued prefill processed \p Tokens of it in
  /// \p Elapsed. Precondition: \p Elapsed is positive.
  auto observePrefill(double Tokens, Duration Elapsed) -> void;

  /// Records the time between two tokens at a batch of \p BatchSize requests.
  auto observeBetweenTokens(double BatchSize, Duration Elapsed) -> void;

  /// Records the time between two tokens while prefill was queued.
  auto observeBetweenTokensDuringPrefill(Duration Elapsed) -> void;

  /// Returns the expected time between two tokens while no prefill is queued.
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

/// Ratio of one engine's decode time to the model's. Thread safety: none.
class EngineSlowness {
public:
  /// Records a time between two tokens and the time that the model expects.
  /// Precondition: \p Expected is positive.
  auto observe(Duration Elapsed, Duration Expected) -> void;

  /// Returns the factor by which forecasts for the engine are multiplied; 1
  /// while the ratio is within tolerance.
  [[nodiscard]] auto factor() const -> double;

private:
  double Ratio = 1;
};

} // namespace dotterel
