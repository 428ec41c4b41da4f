/// \file
/// The calls of one instance.
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

/// The current attempt to serve a call.
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
  /// Sent to the engine that every instance prefers for the prompt's prefix,
  /// with a prefix that this instance had not sent before.
  bool IsPreferred = false;
};

/// What a call without an attempt waits for.
enum class CallWait : std::uint8_t {
  None,
  /// An eligible backend server.
  Backend,
  /// The response of the instance that owns its key.
  KeyOwner,
  /// The object API, which records the claim on its key.
  Claim,
  /// Another call with the same key.
  SameKey,
};

/// The claim of a call whose key has no prefix; stored at the object API.
struct CallClaim {
  std::string Name;
  std::uint64_t Version = 0;
  bool IsHeld = false;
  std::uint32_t Reads = 0;
};

/// A call without a final response.
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
  /// Prefix of the call's idempotency key, if it has one.
  std::optional<KeyPrefix> Prefix;
  std::optional<CallClaim> Claim;
  std::uint64_t KeyEpoch = 0;
  bool OwnsKey = false;
  /// The instance that the call was forwarded to; valid while Wait is KeyOwner.
  InstanceId KeyOwner;
};

/// Bounded index of the prompt prefix blocks that were sent to each engine.
/// Thread safety: none.
class PrefixIndex {
public:
  /// Returns the length of the longest leading part of \p Hashes that was sent
  /// to \p Engine.
  [[nodiscard]] auto countSentTo(EngineId const &Engine,
                                 std::span<std::uint64_t const> Hashes) const
      -> std::size_t;

  /// Returns the length of the longest leading part of \p Hashes whose blocks
  /// were each sent to some engine.
  [[nodiscard]] auto
  countSentAnywhere(std::span<std::uint64_t const> Hashes) const -> std::size_t;

  /// Records that a prompt with \p Hashes was sent to \p Engine.
  auto record(EngineId const &Engine, std::span<std::uint64_t const> Hashes)
      -> void;

  /// Removes all blocks of \p Engine, whose cache was lost.
  auto removeEngine(EngineId const &Engine) -> void;

private:
  struct Entry {
    std::uint64_t Hash = 0;
    EngineId Engine;
  };

  auto erase(Entry const &Oldest) -> void;

  /// Engines that each block was sent to; few enough for a linear scan.
  std::unordered_map<std::uint64_t, std::vector<EngineId>> EnginesByHash;
  std::deque<Entry> InsertionOrder;
};

/// Estimates how often prompts of one caller hit an engine's prefix cache
/// although this instance did not send that prefix. Thread safety: none.
class PrefixReuse {
public:
  /// Records whether a prompt's prefix was cached.
  auto observe(bool IsHit) -> void;

  [[nodiscard]] auto probability() const -> double { return Probability; }

private:
  double Probability = 0.5;
};

/// All calls of this instance, and what is learned from them.
struct CallTable {
  std::map<CallId, Call> Calls;
  /// Prompt and output tokens requested by the calls in flight, per caller.
  std::map<CallerName, double> CallerWork;
  RetryBudget Retries;
  PrefixIndex Prefixes;
  std::map<CallerName, PrefixReuse> Reuse;
  KeyTable Keys;
};

} // namespace dotterel
