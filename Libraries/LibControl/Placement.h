/// \file
/// Chooses the backend server for one attempt.
#pragma once

#include "LibControl/State.h"

#include <optional>

namespace dotterel {

/// An engine and what is expected of it.
struct EngineChoice {
  EngineId Engine;
  EngineForecast Forecast;
  double PrefillTokens = 0;
  double QueuedPrefillTokens = 0;
  double BatchSize = 0;
  bool IsPreferred = false;
};

/// Chooses among a few candidates: those that probably hold the prompt's
/// prefix, and others drawn by hash, so that instances with the same stale
/// reports do not all pick the same engine.
class Placement {
public:
  explicit Placement(State const &Subject) : Subject(Subject) {}

  /// Returns the engine that should complete \p Wanted first, or nothing if
  /// none may take it. Engines in AvoidedEngines are used only as a last
  /// resort.
  [[nodiscard]] auto chooseEngine(CallId Id, Call const &Wanted) const
      -> std::optional<EngineChoice>;

  /// Returns a server of the service with few calls of this instance.
  [[nodiscard]] auto chooseServer(CallId Id, Call const &Wanted) const
      -> std::optional<ServerId>;

private:
  [[nodiscard]] auto isEligible(CompiledRoute const &Route, Call const &Wanted,
                                std::size_t Engine, bool MayAvoid) const
      -> bool;
  [[nodiscard]] auto eligibleEngines(CompiledRoute const &Route,
                                     Call const &Wanted, bool MayAvoid) const
      -> std::vector<std::size_t>;
  /// Adds the engines next to the prompt's prefix on the ring.
  auto addAffine(CompiledRoute const &Route, Call const &Wanted,
                 std::vector<std::size_t> &Chosen) const -> void;
  /// Adds engines that are drawn by hash.
  auto addDrawn(CompiledRoute const &Route, CallId Id, Call const &Wanted,
                std::vector<std::size_t> &Chosen) const -> void;
  [[nodiscard]] auto chooseByBaseline(CompiledRoute const &Route, CallId Id,
                                      Call const &Wanted) const
      -> std::optional<EngineChoice>;
  /// Returns the seconds that the choice costs this request and others.
  [[nodiscard]] auto costOf(EngineChoice const &Choice) const -> double;
  /// Returns how many pieces of the prompt's prefix \p Engine probably holds.
  [[nodiscard]] auto expectedCachedPieces(CallRequest const &Request,
                                          EngineId const &Engine,
                                          bool IsPreferred) const -> double;
  [[nodiscard]] auto candidates(CompiledRoute const &Route, CallId Id,
                                Call const &Wanted) const
      -> std::vector<std::size_t>;
  /// \p IsPreferred marks the engine that every instance sends the prompt's
  /// prefix to.
  [[nodiscard]] auto evaluate(Call const &Wanted, EngineId const &Engine,
                              bool IsPreferred) const -> EngineChoice;

  State const &Subject; // NOLINT: lives for one decision
};

} // namespace dotterel
