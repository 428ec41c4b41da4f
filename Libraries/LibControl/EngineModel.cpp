#include "LibControl/EngineModel.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr auto PrefillLearningRate = 0.05;
constexpr auto DecodeLearningRate = 0.02;
constexpr auto MinimumPrefillRate = 50.0;
constexpr auto MinimumDecodeBaseSeconds = 0.0005;
constexpr auto SlownessLearningRate = 0.01;
/// Largest ratio that counts as ordinary: decode times with and without
/// interleaved prefill chunks differ by less than this factor.
constexpr auto ToleratedRatio = 2.0;
constexpr auto MaximumRatio = 10.0;
constexpr auto BatchScale = 64.0;

} // namespace

auto EngineModel::observeBetweenTokensDuringPrefill(Duration Elapsed) -> void {
  DuringPrefillSeconds +=
      DecodeLearningRate * (toSeconds(Elapsed) - DuringPrefillSeconds);
}

auto EngineModel::betweenTokens(double BatchSize) const -> Duration {
  return fromSeconds(decodeSeconds(BatchSize));
}

auto EngineModel::decodeSeconds(double BatchSize) const -> double {
  return DecodeBaseSeconds + DecodeSecondsPerRequest * BatchSize;
}

auto EngineModel::forecast(EngineWork const &Work) const -> EngineForecast {
  auto decode = decodeSeconds(Work.BatchSize + 1);
  auto perToken =
      decode + Work.PrefillShare * std::max(DuringPrefillSeconds - decode, 0.0);
  auto prefillTokens = Work.QueuedPrefillTokens + Work.PromptTokens;
  auto firstToken = prefillTokens / PrefillRate + perToken;
  return {fromSeconds(firstToken),
          fromSeconds(firstToken + perToken * Work.OutputTokens)};
}

auto EngineModel::observePrefill(double Tokens, Duration Elapsed) -> void {
  auto rate = Tokens / toSeconds(Elapsed);
  PrefillRate += PrefillLearningRate * (rate - PrefillRate);
  PrefillRate = std::max(PrefillRate, MinimumPrefillRate);
}

auto EngineModel::observeBetweenTokens(double BatchSize, Duration Elapsed)
    -> void {
  // One normalised gradient step of the linear fit base + slope * batch.
  auto error = toSeconds(Elapsed) - decodeSeconds(BatchSize);
  auto scaled = BatchSize / BatchScale;
  auto step = DecodeLearningRate * error / (1 + scaled * scaled);
  DecodeBaseSeconds =
      std::max(DecodeBaseSeconds + step, MinimumDecodeBaseSeconds);
  DecodeSecondsPerRequest =
      std::max(DecodeSecondsPerRequest + step * scaled / BatchScale, 0.0);
}

auto EngineSlowness::observe(Duration Elapsed, Duration Expected) -> void {
  auto ratio = toSeconds(Elapsed) / toSeconds(Expected);
  Ratio += SlownessLearningRate *
           (std::clamp(ratio, 1 / MaximumRatio, MaximumRatio) - Ratio);
}

auto EngineSlowness::factor() const -> double {
  return Ratio < ToleratedRatio ? 1 : Ratio;
}

} // namespace dotterel
