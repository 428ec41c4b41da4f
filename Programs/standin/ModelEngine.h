/// \file
/// Stand-in for a model engine: continuous batching, a prefix cache, resumable
/// streams, delayed reports, and orders.
#pragma once

#include "Support.h"

#include <deque>
#include <list>
#include <map>
#include <set>

namespace dotterel::standin {

class ModelEngine {
public:
  explicit ModelEngine(StandinOptions Options);

  auto handle(HttpExchange &Exchange) -> Awaitable<void>;
  /// Takes the snapshots that reports are made from until it is cancelled.
  auto run() -> Awaitable<void>;

private:
  struct Snapshot {
    Instant At;
    json Report;
  };

  /// A request whose prefill is queued or in progress.
  struct Prefill {
    int Priority = 0;
    std::uint64_t Number = 0;
    double Tokens = 0;
  };

  auto generate(HttpExchange &Exchange) -> Awaitable<void>;
  auto runPrefill(double Tokens, int Priority) -> Awaitable<void>;
  auto stream(HttpExchange &Exchange, std::string const &Prompt, bool IsChat,
              unsigned First, unsigned Last) -> Awaitable<void>;
  /// Returns the number of tokens to prefill and adds the prompt to the cache.
  auto uncachedTokens(std::string const &Prompt) -> double;
  auto report(HttpExchange &Exchange) -> Awaitable<void>;
  auto order(HttpExchange &Exchange) -> Awaitable<void>;
  auto change(json Body) -> Awaitable<void>;
  auto control(HttpExchange &Exchange) -> Awaitable<void>;
  auto cacheEvents(HttpExchange &Exchange) -> Awaitable<void>;
  auto transferCache(HttpExchange &Exchange) -> Awaitable<void>;
  [[nodiscard]] auto snapshot() const -> json;
  /// Returns why a request is refused, or an empty string.
  [[nodiscard]] auto reasonToRefuse(json const &Body) const -> std::string;
  auto insertBlock(std::uint64_t Block) -> void;

  StandinOptions Options;
  std::uint64_t RunId;
  std::string Role = "mixed";
  std::vector<std::string> Models;
  bool IsChanging = false;
  std::uint64_t LastOrder = 0;
  std::uint64_t CurrentOrder = 0;
  std::uint64_t HighestFencing = 0;
  unsigned Running = 0;
  double QueuedTokens = 0;
  double PrefilledTokens = 0;
  std::uint64_t NextPrefill = 0;
  std::list<Prefill> Waiting;
  std::set<std::uint64_t> Cache;
  std::deque<std::uint64_t> CacheOrder;
  std::deque<Snapshot> Snapshots;
  bool CrashesOnOrder = false;
  bool IsSilent = false;
  int BreakAfterTokens = 0;
  // Counters that tests read through the control path.
  std::uint64_t Served = 0;
  std::uint64_t Refused = 0;
  std::uint64_t CutByOrder = 0;
  std::uint64_t OrdersAccepted = 0;
  std::uint64_t OrdersRefused = 0;
  std::uint64_t StaleOrdersAccepted = 0;
};

} // namespace dotterel::standin
