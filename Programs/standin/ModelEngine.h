/// \file
/// Stand-in for a model engine: continuous batching, a prefix cache, resumable
/// streams, lagging reports, and orders.
#pragma once

#include "Support.h"

#include <deque>
#include <list>
#include <map>
#include <set>

namespace dotterel::standin {

class ModelEngine {
public:
  explicit ModelEngine(Options Given);

  auto handle(HttpExchange &Target) -> Awaitable<void>;
  /// Takes snapshots for reports, for ever.
  auto run() -> Awaitable<void>;

private:
  struct Snapshot {
    Instant At;
    json Report;
  };

  /// A request that waits for its prefill.
  struct Prefill {
    int Priority = 0;
    std::uint64_t Number = 0;
    double Tokens = 0;
  };

  auto generate(HttpExchange &Target) -> Awaitable<void>;
  auto runPrefill(double Tokens, int Priority) -> Awaitable<void>;
  auto stream(HttpExchange &Target, std::string const &Prompt, bool IsChat,
              unsigned First, unsigned Last) -> Awaitable<void>;
  auto uncachedTokens(std::string const &Prompt) -> double;
  auto report(HttpExchange &Target) -> Awaitable<void>;
  auto order(HttpExchange &Target) -> Awaitable<void>;
  auto change(json Body) -> Awaitable<void>;
  auto control(HttpExchange &Target) -> Awaitable<void>;
  auto cacheEvents(HttpExchange &Target) -> Awaitable<void>;
  auto moveCache(HttpExchange &Target) -> Awaitable<void>;
  [[nodiscard]] auto snapshot() const -> json;
  [[nodiscard]] auto refusal(json const &Body) const -> std::string;
  auto remember(std::uint64_t Piece) -> void;

  Options Given;
  std::uint64_t Run;
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
  // What the tests check.
  std::uint64_t Served = 0;
  std::uint64_t Refused = 0;
  std::uint64_t CutByOrder = 0;
  std::uint64_t OrdersAccepted = 0;
  std::uint64_t OrdersRefused = 0;
  std::uint64_t StaleOrdersObeyed = 0;
};

} // namespace dotterel::standin
