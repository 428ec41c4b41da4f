/// \file
/// A call in progress.
#pragma once

#include "LibControl/AttemptLifecycle.h"
#include "LibControl/Event.h"
#include "LibControl/KeyTable.h"
#include "LibControl/RetryBudget.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

namespace dotterel {

/// The current try to serve a call.
struct Attempt {
  std::uint32_t Number = 0;
  AttemptLifecycle Lifecycle;
  EngineId Engine;
  ServerId Server;
  Instant ConnectStarted;
  Instant SentAt;
  double PrefillTokens = 0;
  double QueuedPrefillTokens = 0;
  double BatchSize = 0;
  /// Sent to the engine that every instance prefers for the prompt's prefix.
  bool IsPreferred = false;
};

/// What a call waits for while it has no attempt.
enum class CallWait : std::uint8_t {
  None,
  /// A backend server that can take it.
  Backend,
  /// The instance that owns its key.
  Home,
  /// The object API, to record its key.
  Claim,
  /// Another call with the same key.
  SameKey,
};

/// The claim object of a call whose key has no prefix.
struct CallClaim {
  std::string Name;
  std::uint64_t Version = 0;
  bool IsHeld = false;
  std::uint32_t Reads = 0;
};

/// A call that has not had its final answer.
struct Call {
  CallRequest Request;
  std::optional<ForwardOrigin> Origin;
  std::string Class;
  Instant Arrived;
  Instant Deadline;
  bool IsIdempotent = true;
  bool MayHaveRun = false;
  CallWait Wait = CallWait::None;
  std::optional<Attempt> Current;
  std::uint32_t AttemptsMade = 0;
  std::set<EngineId> AvoidedEngines;
  std::set<ServerId> AvoidedServers;
  std::uint32_t TokensForwarded = 0;
  Instant LastToken;
  /// Key that this instance runs the call under, if any.
  std::optional<KeyPrefix> Prefix;
  std::optional<CallClaim> Claim;
  std::uint64_t KeyEpoch = 0;
  bool OwnsKey = false;
  InstanceId Home;
};

/// Remembers which engine was sent which prompt prefix.
/// Thread safety: none.
class PrefixMemory {
public:
  /// Returns how many of \p Hashes, from the first on, \p Engine was sent.
  [[nodiscard]] auto countKnown(EngineId const &Engine,
                                std::span<std::uint64_t const> Hashes) const
      -> std::size_t;

  /// Returns how many of \p Hashes, from the first on, any engine was sent.
  [[nodiscard]] auto countSeen(std::span<std::uint64_t const> Hashes) const
      -> std::size_t;

  /// Records that \p Engine was sent a prompt with \p Hashes.
  auto record(EngineId const &Engine, std::span<std::uint64_t const> Hashes)
      -> void;

  /// Forgets everything about \p Engine.
  auto forget(EngineId const &Engine) -> void;

private:
  struct Entry {
    std::uint64_t Hash = 0;
    EngineId Engine;
  };

  auto erase(Entry const &Oldest) -> void;

  /// The engines that were sent a piece; few, so that a scan is quick.
  std::unordered_map<std::uint64_t, std::vector<EngineId>> Known;
  std::deque<Entry> Order;
};

/// How often prompts of one caller find their prefix in an engine's cache,
/// although this instance never sent it. Thread safety: none.
class PrefixReuse {
public:
  /// Records whether a prompt's prefix was found.
  auto observe(bool WasFound) -> void;

  [[nodiscard]] auto probability() const -> double { return Probability; }

private:
  double Probability = 0.5;
};

/// All calls of this instance.
struct CallTable {
  std::map<CallId, Call> Calls;
  /// Prefill and decode work in progress per caller, in tokens.
  std::map<CallerName, double> CallerWork;
  RetryBudget Retries;
  PrefixMemory Prefixes;
  std::map<CallerName, PrefixReuse> Reuse;
  KeyTable Keys;
};

} // namespace dotterel
