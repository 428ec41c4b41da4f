/// \file
/// Instances in virtual time, with fakes of the object API, engines and
/// services. All randomness comes from the seed.
#pragma once

#include "LibControl/Reducer.h"
#include "LibTest/VirtualScheduler.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace dotterel::test {

/// Size and behaviour of the fleet.
struct FleetShape {
  int Instances = 3;
  int Engines = 4;
  int Servers = 2;
  bool EnginesCheckFencing = true;
  std::uint64_t Seed = 1;
};

/// Identifies a stream at an engine by the run and attempt that it serves.
struct StreamKey {
  Incarnation Sender = 0;
  AttemptId Attempt;
  auto operator<=>(StreamKey const &) const = default;
};

struct FakeEngine {
  bool ChecksFencing = true;
  bool IsDown = false;
  bool CrashesOnNextOrder = false;
  EngineReport Report;
  OrderId CurrentOrder = 0;
  std::set<StreamKey> Streams;
};

/// A submitted call and what its caller received.
struct SubmittedCall {
  InstanceId Instance;
  CallRequest Request;
  std::vector<std::string> Tokens;
  std::vector<FinishCall> Responses;
  Instant SubmittedAt;
  Instant FinishedAt;
};

/// A fleet of instances and fakes. Checks the system's guarantees while it
/// runs and collects the violations.
class FakeFleet {
public:
  explicit FakeFleet(FleetShape Shape);

  // Inputs and faults.
  auto advance(Duration Span) -> void;
  auto submitCompletion(int Instance, std::string const &Prompt, int Tokens)
      -> std::size_t;
  auto submitBooking(int Instance, std::string const &Key) -> std::size_t;
  auto kill(int Instance) -> void;
  auto start(int Instance) -> void;
  auto pause(int Instance) -> void;
  /// Pauses the instance right before it sends its next order or service call:
  /// the effect is carried out only after resume().
  auto pauseBeforeSending(int Instance) -> void;
  auto resume(int Instance) -> void;
  auto leave(int Instance) -> void;
  auto setPartitioned(int Left, int Right, bool IsCut) -> void;
  auto setApiCut(int Instance, bool IsCut) -> void;
  auto setOutage(bool IsOut) -> void { IsOutage = IsOut; }
  auto loseNextWrites(int Count) -> void { WritesToLose = Count; }
  auto loseNextResponses(int Count) -> void { ResponsesToLose = Count; }
  /// Sets the engine's label, and so its declared role, in a new configuration
  /// revision.
  auto setRole(int Engine, EngineRole Role) -> void;
  auto engine(int Number) -> FakeEngine &;
  /// Crashes the engine: its streams break, and it is unreachable until IsDown
  /// is cleared.
  auto crashEngine(int Number) -> void;
  /// Ends all faults and restarts the instances that do not run.
  auto healAll() -> void;

  // Observations.
  [[nodiscard]] auto call(std::size_t Number) const -> SubmittedCall const & {
    return Calls[Number];
  }
  [[nodiscard]] auto callCount() const -> std::size_t { return Calls.size(); }
  [[nodiscard]] auto isRunning(int Instance) const -> bool;
  [[nodiscard]] auto state(int Instance) const -> State const &;
  [[nodiscard]] auto executions(std::string const &Key) const -> int;
  [[nodiscard]] auto keyPrefix(int Instance) const -> std::string;
  /// Returns a description of each violated guarantee so far.
  [[nodiscard]] auto violations() const -> std::vector<std::string> const & {
    return Violations;
  }
  /// Returns whether every engine is in its declared state.
  [[nodiscard]] auto isConverged() const -> bool;
  [[nodiscard]] auto objectApiCalls() const -> std::size_t { return ApiCalls; }
  [[nodiscard]] auto ordersExecuted() const -> std::size_t {
    return OrdersExecuted;
  }
  /// Returns the expected token at \p Index of the response to \p Prompt.
  [[nodiscard]] static auto tokenText(std::string const &Prompt,
                                      std::uint32_t Index) -> std::string;

private:
  struct Node {
    InstanceIdentity Identity;
    std::optional<State> Current;
    bool IsPaused = false;
    bool PausesBeforeSending = false;
    bool IsApiCut = false;
    /// Rate of this instance's clock relative to virtual time.
    double ClockRate = 1;
    std::deque<EventBody> PendingEvents;
    std::deque<Effect> DeferredEffects;
    std::map<CallId, std::size_t> CallNumbers;
    CallId NextCall = 1;
    Revision HighestRevision = 0;
  };

  template <typename T> struct Stored {
    std::uint64_t Version = 0;
    T Body;
  };

  struct EffectHandler;

  auto deliver(InstanceId const &Receiver, Incarnation Run, EventBody Body)
      -> void;
  auto feed(Node &Target, EventBody Body) -> void;
  auto handleEffect(Node &Source, Effect &Effect) -> void;
  auto pausesBefore(Node const &Source, Effect const &Effect) const -> bool;
  auto find(InstanceId const &Id) -> Node &;
  /// Returns the current time of the instance's own clock.
  [[nodiscard]] auto clockOf(Node const &Target) const -> Instant;
  auto configurationText() const -> std::string;
  auto publish() -> void;
  auto isReachable(InstanceId const &Left, InstanceId const &Right) const
      -> bool;
  auto streamTokens(EngineId const &Engine, SendAttempt const &Effect,
                    InstanceId const &Receiver, Incarnation Run,
                    std::uint64_t EngineRun, std::uint32_t Index) -> void;
  auto executeOrder(SendOrder const &Effect, Incarnation Sender) -> OrderResult;
  auto finishOrder(EngineId const &Engine, SendOrder const &Effect) -> void;
  auto reportViolation(std::string Description) -> void;
  auto checkNotRun(SubmittedCall const &Submitted) -> void;
  auto checkResponse(SubmittedCall const &Submitted) -> void;
  auto isApiReachable(Node const &Source) const -> bool;

  FleetShape Shape;
  VirtualScheduler Scheduler;
  std::mt19937_64 Random;
  std::map<InstanceId, Node> Nodes;
  std::map<EngineId, FakeEngine> Engines;
  std::map<EngineId, EngineRole> DeclaredRoles;
  std::map<std::string, int> Executions;
  /// Bookings sent to a server and not yet executed, per key.
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
