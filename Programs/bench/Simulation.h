/// \file
/// Runs one scenario under one policy with the product's reducers, models of
/// engines, and virtual time.
#pragma once

#include "BatchingEngine.h"
#include "Scenario.h"

#include "LibControl/Reducer.h"
#include "LibTest/VirtualScheduler.h"

#include <random>

namespace dotterel::bench {

/// One request and its result.
struct RequestRecord {
  int Class = 0;
  Instant Arrived;
  Instant Deadline;
  CallRequest Request;
  std::uint32_t Tokens = 0;
  Instant LastToken;
  Instant Finished;
  Outcome Result = Outcome::Unknown;
  ResultCode Code = ResultCode::AnswerLost;
};

class Simulation {
public:
  Simulation(Scenario Config, std::uint64_t Seed, std::string Policy);

  /// Runs the scenario and returns its results as one line of JSON.
  [[nodiscard]] auto run() -> std::string;

private:
  struct Node {
    State Current;
    CallId NextCall = 1;
    std::map<CallId, std::size_t> RecordIndices;
  };

  struct EffectHandler;

  auto makeNodes() -> void;
  auto makeArrivals() -> void;
  /// Draws a request and schedules its arrival at a random instance.
  auto scheduleArrival(std::size_t Class, Instant At) -> void;
  auto makeRequest(std::size_t Class) -> CallRequest;
  auto drawUniform(Range Bounds) -> int;
  auto feed(int Instance, EventBody Body) -> void;
  auto tick(int Instance) -> void;
  auto step(int Engine) -> void;
  auto injectFault(Fault const &Injected) -> void;
  auto submit(int Instance, SendAttempt const &Effect) -> void;
  [[nodiscard]] auto configurationText() const -> std::string;
  [[nodiscard]] auto summary() -> std::string;
  /// Returns an upper bound of the goodput that any policy can reach.
  [[nodiscard]] auto goodputBound() const -> double;

  Scenario Config;
  std::uint64_t Seed;
  std::string Policy;
  std::mt19937_64 Random;
  Instant Start;
  VirtualScheduler Scheduler;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<BatchingEngine> Engines;
  std::vector<RequestRecord> Records;
  std::vector<double> FirstTokenSeconds;
  std::vector<double> BetweenTokensSeconds;
  std::vector<double> DecisionSeconds;
  /// Processor time of all reducers, and the number of events they handled.
  double ReducerSeconds = 0;
  std::size_t ReducedEvents = 0;
  std::size_t Retries = 0;
  std::size_t Violations = 0;
};

} // namespace dotterel::bench
