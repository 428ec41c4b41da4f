/// \file
/// A model of an engine with continuous batching: every step decodes one token
/// of each running request and prefills one chunk of the first queued one.
#pragma once

#include "Scenario.h"

#include "LibControl/Event.h"

#include <deque>
#include <set>

namespace dotterel::bench {

/// Identifies a request at an engine.
struct RequestKey {
  int Instance = 0;
  AttemptId Attempt;
  auto operator<=>(RequestKey const &) const = default;
};

struct EngineRequest {
  RequestKey Key;
  std::vector<std::uint64_t> Blocks;
  double PrefillLeft = 0;
  std::uint32_t NextToken = 1;
  std::uint32_t LastToken = 0;
};

/// A token that a step decoded.
struct ProducedToken {
  RequestKey Key;
  std::uint32_t Index = 0;
  bool IsLast = false;
};

class BatchingEngine {
public:
  BatchingEngine(EngineParameters Parameters, std::uint64_t Run);

  /// Queues a request. The cached blocks of its prefix need no prefill.
  auto submit(EngineRequest Request) -> void;
  auto cancel(RequestKey const &Key) -> void;
  /// Aborts every request and empties the cache; returns the aborted requests.
  auto crash() -> std::vector<RequestKey>;

  /// Starts a step if there are requests. Returns its duration, or zero.
  auto beginStep() -> Duration;
  /// Ends the current step and returns the tokens that it decoded.
  auto endStep() -> std::vector<ProducedToken>;

  [[nodiscard]] auto report() const -> EngineReport;
  auto setSlowdown(double Factor) -> void { Slowdown = Factor; }

  [[nodiscard]] auto prefilledTokens() const -> double { return Prefilled; }

  bool IsDown = false;
  bool IsStepping = false;

private:
  auto insertBlocks(std::span<std::uint64_t const> Blocks) -> void;

  EngineParameters Parameters;
  std::uint64_t Run;
  double Slowdown = 1;
  double ChunkInStep = 0;
  double Prefilled = 0;
  std::deque<EngineRequest> Queued;
  std::vector<EngineRequest> Running;
  std::set<std::uint64_t> Cache;
  std::deque<std::uint64_t> CacheOrder;
};

} // namespace dotterel::bench
