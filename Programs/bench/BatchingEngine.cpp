#include "BatchingEngine.h"

#include <algorithm>

namespace dotterel::bench {

namespace {

constexpr auto TokensPerBlock = 2000.0;
constexpr auto FreeCacheTokens = std::uint64_t{400000};

} // namespace

BatchingEngine::BatchingEngine(EngineParameters Parameters, std::uint64_t Run)
    : Parameters(Parameters), Run(Run) {}

auto BatchingEngine::submit(EngineRequest Request) -> void {
  auto cached = 0.0;
  for (auto block : Request.Blocks) {
    if (!Cache.contains(block))
      break;
    cached += TokensPerBlock;
  }
  Request.PrefillLeft = std::max(Request.PrefillLeft - cached, 1.0);
  Queued.push_back(std::move(Request));
}

auto BatchingEngine::cancel(RequestKey const &Key) -> void {
  auto isKey = [&](EngineRequest const &Request) { return Request.Key == Key; };
  std::erase_if(Queued, isKey);
  std::erase_if(Running, isKey);
}

auto BatchingEngine::crash() -> std::vector<RequestKey> {
  auto ended = std::vector<RequestKey>{};
  for (auto const &it : Queued)
    ended.push_back(it.Key);
  for (auto const &it : Running)
    ended.push_back(it.Key);
  Queued.clear();
  Running.clear();
  Cache.clear();
  CacheOrder.clear();
  Run += 1;
  return ended;
}

auto BatchingEngine::beginStep() -> Duration {
  if (IsDown || (Queued.empty() && Running.empty()))
    return {};
  auto hasRoom =
      Running.size() < static_cast<std::size_t>(Parameters.MaximumBatch);
  ChunkInStep = 0;
  if (!Queued.empty() && hasRoom)
    ChunkInStep = std::min(Queued.front().PrefillLeft,
                           static_cast<double>(Parameters.ChunkTokens));
  auto decode = Running.empty() ? 0.0
                                : Parameters.DecodeBaseMs +
                                      Parameters.DecodePerRequestMs *
                                          static_cast<double>(Running.size());
  auto prefill = 1000 * ChunkInStep / Parameters.PrefillTokensPerSecond;
  IsStepping = true;
  return fromSeconds((decode + prefill + 0.1) * Slowdown / 1000);
}

auto BatchingEngine::endStep() -> std::vector<ProducedToken> {
  IsStepping = false;
  auto produced = std::vector<ProducedToken>{};
  for (auto &it : Running) {
    produced.push_back({it.Key, it.NextToken, it.NextToken >= it.LastToken});
    ++it.NextToken;
  }
  std::erase_if(Running, [](EngineRequest const &Request) {
    return Request.NextToken > Request.LastToken;
  });
  if (Queued.empty() || ChunkInStep == 0)
    return produced;
  auto &head = Queued.front();
  head.PrefillLeft -= ChunkInStep;
  Prefilled += ChunkInStep;
  if (head.PrefillLeft > 0.5)
    return produced;
  insertBlocks(head.Blocks);
  Running.push_back(std::move(head));
  Queued.pop_front();
  return produced;
}

auto BatchingEngine::insertBlocks(std::span<std::uint64_t const> Blocks)
    -> void {
  for (auto block : Blocks) {
    if (!Cache.insert(block).second)
      continue;
    CacheOrder.push_back(block);
    if (CacheOrder.size() <= static_cast<std::size_t>(Parameters.CachedBlocks))
      continue;
    Cache.erase(CacheOrder.front());
    CacheOrder.pop_front();
  }
}

auto BatchingEngine::report() const -> EngineReport {
  auto report = EngineReport{};
  report.Run = Run;
  report.Models = {ModelName("model")};
  report.Running = static_cast<std::uint32_t>(Running.size());
  auto queued = 0.0;
  for (auto const &it : Queued)
    queued += it.PrefillLeft;
  report.QueuedPrefillTokens = static_cast<std::uint64_t>(queued);
  report.FreeCacheTokens = FreeCacheTokens;
  report.PrefilledTokens = static_cast<std::uint64_t>(Prefilled);
  return report;
}

} // namespace dotterel::bench
