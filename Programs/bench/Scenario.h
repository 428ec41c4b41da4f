/// \file
/// A scenario of the decision bench; docs/BENCH.md describes the file.
#pragma once

#include "LibCore/Time.h"

#include <map>
#include <string>
#include <vector>

namespace dotterel::bench {

/// A range that values are drawn from, both ends included.
struct Range {
  int Low = 0;
  int High = 0;
};

/// The distribution of the requests of one class.
struct RequestClass {
  std::string Name;
  std::string Caller;
  Duration Deadline{};
  Range PromptTokens;
  Range OutputTokens;
  /// Number of different long prefixes that prompts share; 0 for none.
  int SharedPrefixes = 0;
  int PrefixTokens = 0;
};

/// Request rates, per second and class, until a time.
struct Phase {
  Duration Until{};
  std::map<std::string, double> Rates;
};

enum class FaultKind : std::uint8_t { Lose, Return, Slow };

/// A fault of an engine, or the end of one.
struct Fault {
  Duration At{};
  FaultKind Kind = FaultKind::Lose;
  int Engine = 0;
  /// For Slow: the factor by which every step takes longer.
  double Factor = 1;
};

/// Capacity and speed of every engine.
struct EngineParameters {
  int Count = 0;
  double PrefillTokensPerSecond = 0;
  double DecodeBaseMs = 0;
  double DecodePerRequestMs = 0;
  int ChunkTokens = 0;
  int MaximumBatch = 0;
  int CachedBlocks = 0;
};

struct Scenario {
  std::string Name;
  Duration Length{};
  int Instances = 0;
  EngineParameters Engines;
  Duration ReportLag{};
  double ReportLossRate = 0;
  std::vector<RequestClass> Classes;
  std::vector<Phase> Phases;
  std::vector<Fault> Faults;
};

/// Parses a scenario and validates it against its schema.
/// Errors: dotterel::Error InvalidUsage, with field and line.
[[nodiscard]] auto parseScenario(std::string const &Text) -> Scenario;

} // namespace dotterel::bench
