/// \file
/// The state of an EngineFleet. Instances and callers are in EngineFleet.cpp,
/// servers in EngineFleetServers.cpp.
#pragma once

#include "LibRelay/EngineFleet.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace dotterel::relay::test {

constexpr auto NetworkDelay = Duration{1ms};

struct EngineFleet::Implementation {
  /// An attempt at an engine.
  struct Run {
    unsigned Instance = 0;
    std::uint64_t Incarnation = 0;
    AttemptId Attempt;
    std::uint64_t Request = 0;
    bool IsPrefill = false;
    bool CrashesEngine = false;
  };

  struct Engine {
    ServerDescription Description;
    bool IsUp = true;
    std::uint64_t NextRun = 0;
    std::map<std::uint64_t, Run> Runs;
    std::optional<double> RequestLimit;

    [[nodiscard]] auto notice() const -> ServerNotice {
      auto notice = ServerNotice{};
      notice.RequestLimit = RequestLimit;
      notice.NamesLimit = RequestLimit.has_value();
      return notice;
    }
  };

  struct Node {
    State CurrentState;
    bool IsUp = false;
    Instant FrozenUntil;
    Instant CutUntil;
    /// The rules do not count what the instance sends until then.
    Instant ExcusedUntil;
    std::uint64_t Incarnation = 0;
    RequestNumber LastNumber = 0;
    /// The callers' requests that have not ended, by number at the instance.
    std::map<RequestNumber, std::uint64_t> Callers;
  };

  explicit Implementation(EngineFleetOptions Options);

  auto startInstance(unsigned Instance) -> void;

  auto tick(unsigned Instance, std::uint64_t Incarnation) -> void;

  [[nodiscard]] auto isCurrent(unsigned Instance,
                               std::uint64_t Incarnation) const -> bool;

  auto feed(unsigned Instance, EventBody Body) -> void;

  /// Feeds an event later if the instance has not restarted by then.
  auto feedLater(Duration After, unsigned Instance, EventBody Body) -> void;

  template <typename T>
  auto carryOut(unsigned /*Instance*/, T & /*Effect*/) -> void {}

  auto carryOut(unsigned Instance, ConnectAttempt &Effect) -> void;

  auto carryOut(unsigned Instance, SendAttempt &Effect) -> void;

  /// Returns whether another server runs at the address that \p Server had.
  auto isReplaced(std::string const &Server) -> bool;

  auto arrive(std::string const &Server, Run const &Arrived) -> void;

  /// Completes a lookup at a server of the plain service.
  auto respond(std::string const &Server, std::uint64_t Number) -> void;

  auto begin(std::string const &Server, std::uint64_t Number) -> void;

  /// Removes a run from its engine, if it is still there.
  auto take(std::string const &Server, std::uint64_t Number)
      -> std::optional<Run>;

  auto feedRun(Run const &Target, EventBody Body) -> void;

  auto interrupt(Run const &Target, std::string Reason) -> void;

  auto crash(Engine &Target) -> void;

  /// Writes a server's entry in the store, which all instances watch.
  auto publish(std::string const &Id, std::optional<ServerDescription> Entry)
      -> void;

  auto carryOut(unsigned /*Instance*/, StoreQuarantine &Effect) -> void;
  auto carryOut(unsigned /*Instance*/, DeleteQuarantine &Effect) -> void;

  auto carryOut(unsigned Instance, CancelAttempt &Effect) -> void;

  auto carryOut(unsigned Instance, SendPeerReport &Effect) -> void;

  auto carryOut(unsigned Instance, SendPermitRequest &Effect) -> void;
  auto carryOut(unsigned Instance, SendPermitResponse &Effect) -> void;

  /// Delivers a datagram to the instance at \p Address, or loses it.
  auto deliver(unsigned Sender, std::string const &Address, EventBody Body)
      -> void;

  /// Excuses an instance that fails for \p Span, until it is in contact again.
  auto excuse(unsigned Instance, Duration Span) -> void;

  /// Returns whether datagrams between two instances are lost.
  [[nodiscard]] auto isCut(unsigned Left, unsigned Right) const -> bool;

  auto carryOut(unsigned Instance, ForwardResponse &Effect) -> void;
  auto carryOut(unsigned Instance, EndStream &Effect) -> void;
  auto carryOut(unsigned Instance, AbortStream &Effect) -> void;
  auto carryOut(unsigned Instance, SendErrorResponse &Effect) -> void;

  /// Ends a caller's request and returns its index, unless it has ended.
  auto endCall(unsigned Instance, RequestNumber Number)
      -> std::optional<std::uint64_t>;

  /// Lets the caller repeat a request that failed, once.
  auto retryLater(std::uint64_t Request, Duration After) -> void;

  [[nodiscard]] auto isCrashing(FleetCall const &Call) const -> bool;

  /// Returns the index of a crashing call, or the number of them.
  [[nodiscard]] auto findCrashingCall(FleetCall const &Call) const
      -> std::size_t;

  auto recordCrash(std::uint64_t Request) -> void;

  auto send(FleetCall const &Call, bool IsCallerRetry) -> void;

  auto findEngine(std::string const &Address) -> Engine *;

  auto findById(std::string const &Id) -> Engine *;

  EngineFleetOptions Options;
  std::mt19937_64 Random;
  VirtualScheduler Clock{Instant{} + 1h};
  std::vector<Engine> Engines;
  /// Addresses of all servers that ever ran, by id.
  std::map<std::string, std::string> Addresses;
  std::deque<Node> Nodes;
  /// The first instances lose contact with the others until then.
  unsigned PartitionSize = 0;
  Instant PartitionedUntil;
  std::uint64_t Incarnations = 0;
  std::uint64_t Revision = 2;
  unsigned Restarts = 0;
  std::uint64_t CrashingSegment = 0;
  std::vector<FleetCall> CrashingCalls;
  /// The suspects in quarantine that the store has.
  std::vector<Suspect> StoredSuspects;
  FleetRecord Record;
  std::vector<FleetCall> Calls;
  std::set<std::uint64_t> Prefilled;
};

} // namespace dotterel::relay::test
