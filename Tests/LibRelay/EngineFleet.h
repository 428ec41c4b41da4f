/// \file
/// Several relaying instances and the engines that they share, in virtual time.
/// One segment of a prompt may crash each engine that decodes it.
#pragma once

#include "LibRelay/Reducer.h"
#include "LibTest/VirtualScheduler.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dotterel::relay::test {

struct EngineFleetOptions {
  unsigned Instances = 18;
  unsigned PrefillEngines = 12;
  unsigned DecodeEngines = 6;
  /// Share of the reports between instances that are lost.
  double ReportLoss = 0.02;
  /// Time from a crash until the engine runs again, under a new id.
  Duration RestartTime = 3s;
  RetryLimits Retries{0.2, 126, 10s};
  std::uint64_t Seed = 1;
};

/// A request as a caller saw it.
struct FleetRequest {
  Instant SentAt;
  bool CrashesEngines = false;
  /// An engine began to decode it.
  bool HasBegun = false;
  /// Repeats an earlier request of the caller.
  bool IsCallerRetry = false;
};

/// A request that reached an engine.
struct FleetArrival {
  Instant At;
  std::uint64_t Request = 0;
  bool CrashesEngines = false;
  /// It is the first prefill of its request that an engine accepted.
  bool IsFirstPrefill = false;
};

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

  /// Sends a request to a random instance now. Its caller repeats it once if it
  /// fails.
  auto send(std::vector<PromptSegment> Segments) -> void;

  /// Schedules an action, from now on.
  auto schedule(Duration After, std::function<void()> Action) -> void;
  auto run(Duration Span) -> void;
  [[nodiscard]] auto now() const -> Instant;

  /// Ends all instances at once. They start again after \p Downtime without any
  /// state.
  auto restartInstances(Duration Downtime) -> void;

  /// Times of the crashes that a prompt caused.
  [[nodiscard]] auto crashes() const -> std::vector<Instant> const &;
  /// Returns the number of instances.
  [[nodiscard]] auto size() const -> unsigned;
  [[nodiscard]] auto state(unsigned Instance) const -> State const &;

  /// Returns the arrivals beyond the first of their requests, not counting
  /// first prefills, that exceed the retry limits in the worst window.
  [[nodiscard]] auto arrivalsAboveBudget() const -> double;
  /// Returns the number of crashing requests that reached engines later than
  /// \p Delay after the fifth crash.
  [[nodiscard]] auto crashingArrivalsAfterFifthCrash(Duration Delay) const
      -> unsigned;
  /// Returns the share of the first attempts of callers between \p From and
  /// \p To that engines began to decode, without those that crash engines.
  [[nodiscard]] auto soundShareBegun(Instant From, Instant To) const -> double;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel::relay::test
