/// \file
/// Which server a request goes to. Answers load that is spread unevenly over
/// prompts and servers: a prompt goes where its beginning is cached as long as
/// the wait there is short, and else the cached part is copied along.
#pragma once

#include "LibRelay/State.h"

#include <optional>

namespace dotterel::relay {

/// A server for a request, and what is expected of it.
struct Choice {
  Server *Target = nullptr;
  /// The server reads the prompt only.
  bool IsPrefill = false;
  /// Address of the server whose cached parts are copied first.
  std::string CacheSource;
  /// Prompt tokens to read, and those outstanding before them.
  std::uint64_t PromptTokens = 0;
  std::uint64_t TokensAhead = 0;
  /// Time until the server turns to the request.
  Duration Wait{};
  /// Time until the first part of the answer.
  Duration Forecast{};
};

/// Chooses servers from what this instance knows. Lives for one event.
/// Thread safety: none.
class Placement {
public:
  explicit Placement(State &CurrentState) : CurrentState(CurrentState) {}

  /// Chooses a server for the next attempt of \p Target, or nothing if no
  /// server of its service can take it.
  [[nodiscard]] auto choose(RequestNumber Number, InFlightRequest const &Target)
      -> std::optional<Choice>;

  /// Chooses the server that makes tokens from a prompt that \p Source read.
  [[nodiscard]] auto chooseForPrefilled(RequestNumber Number,
                                        InFlightRequest const &Target,
                                        std::string const &Source)
      -> std::optional<Choice>;

private:
  /// A possible choice and what it costs, in seconds.
  struct Candidate {
    double Cost = 0;
    Choice Details;
  };

  /// Returns the cheapest of what \p Consider makes of the servers that can
  /// take \p Target; it returns nothing for a server to leave out.
  template <typename Function>
  [[nodiscard]] auto cheapest(RequestNumber Number,
                              InFlightRequest const &Target,
                              Function Consider) const -> std::optional<Choice>;

  [[nodiscard]] auto choosePlain(RequestNumber Number,
                                 InFlightRequest const &Target)
      -> std::optional<Choice>;
  [[nodiscard]] auto chooseEngine(RequestNumber Number,
                                  InFlightRequest const &Target)
      -> std::optional<Choice>;
  [[nodiscard]] auto evaluateEngine(InFlightRequest const &Target,
                                    Server &Engine, Service const &Offered)
      -> Candidate;
  [[nodiscard]] auto findCacheSource(InFlightRequest const &Target,
                                     Server const &Engine, std::uint32_t Cached,
                                     Candidate &Into) -> std::uint32_t;
  /// Returns the engine that the beginning of \p Target's prompt is dealt to,
  /// or null if holders are known or nothing is shared.
  [[nodiscard]] auto assignedEngine(InFlightRequest const &Target) const
      -> Server const *;
  /// Returns what the dealt engine is expected to save of the reading.
  [[nodiscard]] auto assignedEngineBonus(InFlightRequest const &Target,
                                         bool IsPrefill) const -> double;
  [[nodiscard]] auto candidates(InFlightRequest const &Target) const
      -> std::vector<Server *>;
  [[nodiscard]] auto penalty(RequestNumber Number, Server const &Target) const
      -> double;

  State &CurrentState; // NOLINT: lives for one event
};

} // namespace dotterel::relay
