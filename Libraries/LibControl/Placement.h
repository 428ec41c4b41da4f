/// \file
/// Choice of the backend server for an attempt.
#pragma once

#include "LibControl/State.h"

#include <optional>

namespace dotterel {

/// A candidate engine and the forecast for a call there.
struct EngineChoice {
  EngineId Engine;
  EngineForecast Forecast;
  double PrefillTokens = 0;
  double QueuedPrefillTokens = 0;
  double BatchSize = 0;
  bool IsPreferred = false;
};

/// Chooses among a few candidates: engines that probably hold the prompt's
/// prefix, and others sampled by hash. Sampling keeps instances with the same
/// stale reports from all choosing the same engine.
class Placement {
public:
  explicit Placement(State const &CurrentState) : CurrentState(CurrentState) {}

  /// Returns the engine with the lowest cost for \p Target, or std::nullopt
  /// if none is eligible. Engines in AvoidedEngines are used only if no other
  /// is eligible.
  [[nodiscard]] auto chooseEngine(CallId Id, Call const &Target) const
      -> std::optional<EngineChoice>;

  /// Returns the server of the service with the fewest calls of this instance,
  /// weighted by slow start, or std::nullopt if none is eligible.
  [[nodiscard]] auto chooseServer(CallId Id, Call const &Target) const
      -> std::optional<ServerId>;

private:
  [[nodiscard]] auto isEligible(CompiledRoute const &Route, Call const &Target,
                                std::size_t Engine, bool SkipsAvoided) const
      -> bool;
  [[nodiscard]] auto eligibleEngines(CompiledRoute const &Route,
                                     Call const &Target,
                                     bool SkipsAvoided) const
      -> std::vector<std::size_t>;
  /// Adds the eligible engines that follow the prompt's prefix on the
  /// consistent hashing ring; these probably hold it in their cache.
  auto addPrefixCandidates(CompiledRoute const &Route, Call const &Target,
                           std::vector<std::size_t> &Candidates) const -> void;
  /// Adds engines sampled by hash.
  auto addSampledCandidates(CompiledRoute const &Route, CallId Id,
                            Call const &Target,
                            std::vector<std::size_t> &Candidates) const -> void;
  [[nodiscard]] auto chooseByBaseline(CompiledRoute const &Route, CallId Id,
                                      Call const &Target) const
      -> std::optional<EngineChoice>;
  /// Returns the cost of the choice in seconds: the forecast of this request
  /// and the delay that it causes to others.
  [[nodiscard]] auto costOf(EngineChoice const &Choice) const -> double;
  /// Returns how many blocks of the prompt's prefix \p Engine probably caches.
  [[nodiscard]] auto expectedCachedBlocks(CallRequest const &Request,
                                          EngineId const &Engine,
                                          bool IsPreferred) const -> double;
  [[nodiscard]] auto candidates(CompiledRoute const &Route, CallId Id,
                                Call const &Target) const
      -> std::vector<std::size_t>;
  /// Forecasts \p Target at \p Engine. \p IsPreferred marks the engine that
  /// every instance prefers for the prompt's prefix.
  [[nodiscard]] auto evaluate(Call const &Target, EngineId const &Engine,
                              bool IsPreferred) const -> EngineChoice;

  State const &CurrentState; // NOLINT: lives for one decision
};

} // namespace dotterel
