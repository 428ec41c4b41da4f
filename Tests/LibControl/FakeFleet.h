/// \file
/// Instances driven in virtual time against small fakes of the object API,
/// engines and services. Every random choice comes from the seed.
#pragma once

#include "LibControl/Reducer.h"
#include "LibTest/VirtualScheduler.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace dotterel::test {

/// Numbers of instances, engines and servers, and how engines behave.
struct FleetShape {
  int Instances = 3;
  int Engines = 4;
  int Servers = 2;
  bool EnginesCheckFencing = true;
  std::uint64_t Seed = 1;
};

/// One stream at an engine, named by the connection that it uses.
struct StreamKey {
  Incarnation Sender = 0;
  AttemptId Attempt;
  auto operator<=>(StreamKey const &) const = default;
};

/// A fake engine.
struct FakeEngine {
  bool ChecksFencing = true;
  bool IsDown = false;
  bool CrashesOnNextOrder = false;
  EngineReport Report;
  OrderId CurrentOrder = 0;
  std::set<StreamKey> Streams;
};

/// What became of one submitted call.
struct SubmittedCall {
  InstanceId Instance;
  CallRequest Request;
  std::vector<std::string> Tokens;
  std::vector<FinishCall> Responses;
  Instant SubmittedAt;
  Instant FinishedAt;
};

/// Fakes and the instances between them.
class FakeFleet {
public:
  explicit FakeFleet(FleetShape Shape);

  // What tests do.
  auto advance(Duration Span) -> void;
  auto submitCompletion(int Instance, std::string const &Prompt, int Tokens)
      -> std::size_t;
  auto submitBooking(int Instance, std::string const &Key) -> std::size_t;
  auto kill(int Instance) -> void;
  auto start(int Instance) -> void;
  auto pause(int Instance) -> void;
  /// Pauses the instance between its next decision to send an order, or a
  /// call that may not be repeated, and the sending.
  auto pauseBeforeSending(int Instance) -> void;
  auto resume(int Instance) -> void;
  auto leave(int Instance) -> void;
  auto setPartitioned(int Left, int Right, bool IsCut) -> void;
  auto setApiCut(int Instance, bool IsCut) -> void;
  auto setOutage(bool IsOut) -> void { IsOutage = IsOut; }
  auto loseNextWrites(int Count) -> void { WritesToLose = Count; }
  auto loseNextResponses(int Count) -> void { ResponsesToLose = Count; }
  /// Makes the engine's label ask for another role or for "mixed" again.
  auto setRole(int Engine, EngineRole Role) -> void;
  auto engine(int Number) -> FakeEngine &;
  /// Ends the engine's process: its streams break and it is unreachable until
  /// IsDown is cleared.
  auto crashEngine(int Number) -> void;
  /// Ends every fault that is still in force.
  auto healAll() -> void;

  // What tests look at.
  [[nodiscard]] auto call(std::size_t Number) const -> SubmittedCall const & {
    return Calls[Number];
  }
  [[nodiscard]] auto callCount() const -> std::size_t { return Calls.size(); }
  [[nodiscard]] auto isRunning(int Instance) const -> bool;
  [[nodiscard]] auto state(int Instance) const -> State const &;
  [[nodiscard]] auto executions(std::string const &Key) const -> int;
  [[nodiscard]] auto keyPrefix(int Instance) const -> std::string;
  /// Returns the promises that were broken so far, one line each.
  [[nodiscard]] auto violations() const -> std::vector<std::string> const & {
    return Violations;
  }
  /// Returns whether every engine is in its declared state.
  [[nodiscard]] auto isConverged() const -> bool;
  [[nodiscard]] auto objectApiCalls() const -> std::size_t { return ApiCalls; }
  [[nodiscard]] auto ordersExecuted() const -> std::size_t {
    return OrdersExecuted;
  }
  /// The expected token at \p Index of the answer to \p Prompt.
  [[nodiscard]] static auto tokenText(std::string const &Prompt,
                                      std::uint32_t Index) -> std::string;

private:
  struct Node {
    InstanceIdentity Identity;
    std::optional<State> Current;
    bool IsPaused = false;
    bool PausesBeforeSending = false;
    bool IsApiCut = false;
    /// How fast this instance's clock runs.
    double ClockRate = 1;
    std::deque<EventBody> Inbox;
    std::deque<Effect> Held;
    std::map<CallId, std::size_t> CallNumbers;
    CallId NextCall = 1;
    Revision HighestRevision = 0;
  };

  template <typename T> struct Stored {
    std::uint64_t Version = 0;
    T Body;
  };

  struct EffectHandler;

  auto deliver(InstanceId const &To, Incarnation Run, EventBody Happened)
      -> void;
  auto feed(Node &Target, EventBody Happened) -> void;
  auto handleEffect(Node &From, Effect &What) -> void;
  auto pausesBefore(Node const &From, Effect const &What) const -> bool;
  auto find(InstanceId const &Id) -> Node &;
  /// The time that the instance's own clock shows.
  [[nodiscard]] auto clockOf(Node const &Target) const -> Instant;
  auto configurationText() const -> std::string;
  auto publish() -> void;
  auto isReachable(InstanceId const &Left, InstanceId const &Right) const
      -> bool;
  auto streamTokens(EngineId const &Engine, SendAttempt const &What,
                    InstanceId const &From, Incarnation Run,
                    std::uint64_t EngineRun, std::uint32_t Index) -> void;
  auto executeOrder(SendOrder const &What, Incarnation Sender) -> OrderResult;
  auto finishOrder(EngineId const &Engine, SendOrder const &What) -> void;
  auto reportViolation(std::string What) -> void;
  auto checkNotRun(SubmittedCall const &Told) -> void;
  auto checkResponse(SubmittedCall const &Told) -> void;
  auto isApiReachable(Node const &From) const -> bool;

  FleetShape Shape;
  VirtualScheduler Plan;
  std::mt19937_64 Random;
  std::map<InstanceId, Node> Nodes;
  std::map<EngineId, FakeEngine> Engines;
  std::map<EngineId, EngineRole> DeclaredRoles;
  std::map<std::string, int> Executions;
  /// Bookings sent to a server that has not run them yet.
  std::map<std::string, int> BookingsInFlight;
  std::map<ShardName, Stored<ShardRecord>> Shards;
  std::map<std::string, Stored<ClaimRecord>> Claims;
  std::shared_ptr<FleetConfiguration const> Configuration;
  std::set<std::set<InstanceId>> Cuts;
  std::set<std::set<InstanceId>> Links;
  std::vector<SubmittedCall> Calls;
  std::vector<std::string> Violations;
  bool IsOutage = false;
  int WritesToLose = 0;
  int ResponsesToLose = 0;
  std::size_t ApiCalls = 0;
  std::size_t OrdersExecuted = 0;
};

} // namespace dotterel::test
