/// \file
/// Runs one scenario under one policy: real reducers, modelled engines,
/// virtual time.
#pragma once

#include "BatchingEngine.h"
#include "Scenario.h"

#include "LibControl/Reducer.h"
#include "LibTest/VirtualScheduler.h"

#include <random>

namespace dotterel::bench {

/// One request and what became of it.
struct Trace {
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
  Simulation(Scenario Given, std::uint64_t Seed, std::string Policy);

  /// Runs to the end and returns one line of JSON.
  [[nodiscard]] auto run() -> std::string;

private:
  struct Node {
    State Current;
    CallId NextCall = 1;
    std::map<CallId, std::size_t> Traces;
  };

  struct Carrier;

  auto makeNodes() -> void;
  auto makeArrivals() -> void;
  auto arrive(std::size_t Class, Instant At) -> void;
  auto makeRequest(std::size_t Class) -> CallRequest;
  auto draw(Range Bounds) -> int;
  auto feed(int Instance, EventBody Happened) -> void;
  auto tick(int Instance) -> void;
  auto step(int Engine) -> void;
  auto strike(Fault const &What) -> void;
  auto submit(int Instance, SendAttempt const &What) -> void;
  [[nodiscard]] auto configurationText() const -> std::string;
  [[nodiscard]] auto summary() -> std::string;
  [[nodiscard]] auto bound() const -> double;

  Scenario Given;
  std::uint64_t Seed;
  std::string Policy;
  std::mt19937_64 Random;
  Instant Start;
  VirtualScheduler Plan;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<BatchingEngine> Engines;
  std::vector<Trace> Traces;
  std::vector<double> FirstTokenSeconds;
  std::vector<double> BetweenTokensSeconds;
  std::vector<double> DecisionSeconds;
  /// Processor time of all reducers, and the events that they handled.
  double ReducerSeconds = 0;
  std::size_t ReducedEvents = 0;
  std::size_t Retries = 0;
  std::size_t Violations = 0;
};

} // namespace dotterel::bench
