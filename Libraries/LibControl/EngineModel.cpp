#include "LibControl/EngineModel.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr auto PrefillLearningRate = 0.1;
constexpr auto DecodeLearningRate = 0.02;
constexpr auto SmallestInformativePrefillTokens = 200.0;
constexpr auto SmallestPrefillShare = 0.2;
constexpr auto LowestPrefillRate = 50.0;
constexpr auto LowestDecodeBaseSeconds = 0.0005;
constexpr auto BatchScale = 64.0;

} // namespace

auto EngineModel::decodeSeconds(double BatchSize) const -> double {
  return DecodeBaseSeconds + DecodeSecondsPerRequest * BatchSize;
}

auto EngineModel::forecast(EngineWork const &Work) const -> EngineForecast {
  auto perToken = decodeSeconds(Work.BatchSize + 1);
  auto prefillTokens = Work.QueuedPrefillTokens + Work.PromptTokens;
  auto firstToken = prefillTokens / PrefillRate + perToken;
  return {fromSeconds(firstToken),
          fromSeconds(firstToken + perToken * Work.OutputTokens)};
}

auto EngineModel::observeFirstToken(double PrefillTokens, double BatchSize,
                                    Duration Elapsed) -> void {
  if (PrefillTokens < SmallestInformativePrefillTokens)
    return;
  // The first token takes a decode step after its prefill.
  auto elapsed = toSeconds(Elapsed);
  auto prefill = std::max(elapsed - decodeSeconds(BatchSize + 1),
                          SmallestPrefillShare * elapsed);
  auto rate = PrefillTokens / prefill;
  PrefillRate += PrefillLearningRate * (rate - PrefillRate);
  PrefillRate = std::max(PrefillRate, LowestPrefillRate);
}

auto EngineModel::observeBetweenTokens(double BatchSize, Duration Elapsed)
    -> void {
  // One normalised gradient step for the line base + slope * batch.
  auto error = toSeconds(Elapsed) - decodeSeconds(BatchSize);
  auto scaled = BatchSize / BatchScale;
  auto step = DecodeLearningRate * error / (1 + scaled * scaled);
  DecodeBaseSeconds =
      std::max(DecodeBaseSeconds + step, LowestDecodeBaseSeconds);
  DecodeSecondsPerRequest =
      std::max(DecodeSecondsPerRequest + step * scaled / BatchScale, 0.0);
}

} // namespace dotterel
