/// \file
/// Several relaying instances and the servers that they share, in virtual time.
/// One segment of a prompt may crash each engine that decodes it, or one
/// request each server that runs it; servers may name a limit on what they
/// take.
#pragma once

#include "LibRelay/FleetRecord.h"
#include "LibRelay/Reducer.h"
#include "LibRelay/RelayNode.h"
#include "LibTest/VirtualScheduler.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::relay::test {

struct EngineFleetOptions {
  unsigned Instances = 18;
  unsigned PrefillEngines = 12;
  unsigned DecodeEngines = 6;
  unsigned PlainServers = 0;
  /// Share of the callers that use the first two instances only.
  double UnevenShare = 0;
  /// Share of the reports between instances that are lost.
  double ReportLoss = 0.02;
  /// Time from a crash until the engine runs again, under a new id.
  Duration RestartTime = 3s;
  RetryLimits Retries{0.2, 126, 10s};
  std::uint64_t Seed = 1;
};

/// What a caller sends.
struct FleetCall {
  RouteKind Route = RouteKind::Stream;
  /// Last part of the path; requests with the same one are identical.
  std::string Item = "x";
  /// Query, with its question mark.
  std::string Query;
  std::vector<PromptSegment> Segments;
  std::string CallerAddress = "10.0.0.1";
};

/// Returns the request that a caller sends, without an id.
[[nodiscard]] auto makeRequest(FleetCall const &Call) -> Request;

/// Drives the reducers of all instances, and of the engines and callers around
/// them. Thread safety: none.
class EngineFleet {
public:
  explicit EngineFleet(EngineFleetOptions Options);
  ~EngineFleet();
  EngineFleet(EngineFleet const &) = delete;
  auto operator=(EngineFleet const &) -> EngineFleet & = delete;

  /// Lets all prompts with the segment \p Hash crash the engines that decode
  /// them.
  auto setCrashingSegment(std::uint64_t Hash) -> void;

  /// Lets requests with the route, item and caller of \p Call crash the servers
  /// that run them.
  auto addCrashingCall(FleetCall Call) -> void;

  /// Sends a request to a random instance now. Its caller repeats it once if it
  /// fails and may be repeated.
  auto send(FleetCall const &Call) -> void;

  /// Lets a random server of \p Service crash by itself, if one is up.
  auto crashServer(std::string const &Service) -> void;

  /// Lets a server name a limit in its responses from now on, or none.
  auto setLimit(std::string const &Server, std::optional<double> PerSecond)
      -> void;

  /// Schedules an action, from now on.
  auto schedule(Duration After, std::function<void()> Action) -> void;
  auto run(Duration Span) -> void;
  [[nodiscard]] auto now() const -> Instant;

  /// Ends all instances at once. They start again after \p Downtime without any
  /// state.
  auto restartInstances(Duration Downtime) -> void;

  /// Ends one instance. It starts again after \p Downtime without any state.
  auto restartInstance(unsigned Instance, Duration Downtime) -> void;

  /// Suspends one instance: it handles nothing until \p Span has passed, then
  /// all that has arrived.
  auto freezeInstance(unsigned Instance, Duration Span) -> void;

  /// Loses all datagrams between this instance and the others for \p Span.
  auto cutInstance(unsigned Instance, Duration Span) -> void;

  /// Loses all datagrams between the first \p Count instances and the others
  /// for \p Span. Excuses none of them.
  auto partition(unsigned Count, Duration Span) -> void;

  [[nodiscard]] auto record() const -> FleetRecord const &;
  /// Returns the number of instances.
  [[nodiscard]] auto size() const -> unsigned;
  [[nodiscard]] auto state(unsigned Instance) const -> State const &;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel::relay::test
