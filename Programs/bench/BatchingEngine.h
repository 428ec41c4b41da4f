/// \file
/// A model of an engine with continuous batching: every step decodes one token
/// of each running request and works on one chunk of prefill.
#pragma once

#include "Scenario.h"

#include "LibControl/Event.h"

#include <deque>
#include <set>

namespace dotterel::bench {

/// Names a request at an engine.
struct RequestKey {
  int Instance = 0;
  AttemptId Attempt;
  auto operator<=>(RequestKey const &) const = default;
};

/// A request at an engine.
struct EngineRequest {
  RequestKey Key;
  std::vector<std::uint64_t> Pieces;
  double PrefillLeft = 0;
  std::uint32_t NextToken = 1;
  std::uint32_t LastToken = 0;
};

/// A token that a step produced.
struct ProducedToken {
  RequestKey Key;
  std::uint32_t Index = 0;
  bool IsLast = false;
};

class BatchingEngine {
public:
  BatchingEngine(EngineShape Shape, std::uint64_t Run);

  /// Queues a request. Its cached pieces need no prefill.
  auto submit(EngineRequest Request) -> void;
  auto cancel(RequestKey const &Key) -> void;
  /// Ends every request and empties the cache; returns the requests.
  auto crash() -> std::vector<RequestKey>;

  /// Starts a step if there is work. Returns its length, or zero.
  auto beginStep() -> Duration;
  /// Ends the step that was begun.
  auto endStep() -> std::vector<ProducedToken>;

  [[nodiscard]] auto report() const -> EngineReport;
  auto setSlowness(double Factor) -> void { Slowness = Factor; }

  [[nodiscard]] auto prefilledTokens() const -> double { return Prefilled; }

  bool IsDown = false;
  bool IsStepping = false;

private:
  auto remember(std::span<std::uint64_t const> Pieces) -> void;

  EngineShape Shape;
  std::uint64_t Run;
  double Slowness = 1;
  double ChunkInStep = 0;
  double Prefilled = 0;
  std::deque<EngineRequest> Queued;
  std::vector<EngineRequest> Running;
  std::set<std::uint64_t> Cache;
  std::deque<std::uint64_t> CacheOrder;
};

} // namespace dotterel::bench
