/// \file
/// Chooses the server for a request. A prompt goes to an engine that has its
/// prefix cached as long as the queue there is short; otherwise the cached
/// prefix is copied to the chosen engine. This balances load that is skewed
/// over prompts and servers.
#pragma once

#include "LibRelay/State.h"

#include <optional>

namespace dotterel::relay {

/// A server for a request, with the forecast for it.
struct Choice {
  Server *Target = nullptr;
  /// The server runs prefill only.
  bool IsPrefill = false;
  /// Address of the server to copy the cached prefix from, or empty.
  std::string CacheSource;
  /// Prompt tokens to prefill, and prompt tokens that are outstanding at the
  /// server already.
  std::uint64_t PromptTokens = 0;
  std::uint64_t TokensAhead = 0;
  /// Forecast of the time until the server starts the request.
  Duration Wait{};
  /// Rank in the engine's queue, for prompts.
  std::optional<std::uint32_t> QueueRank;
  /// Forecast of the time to the first part of the response.
  Duration Forecast{};
};

/// Chooses servers from this instance's state. Created anew for each event.
/// Thread safety: none.
class Placement {
public:
  explicit Placement(State &CurrentState) : CurrentState(CurrentState) {}

  /// Chooses a server for the next attempt of \p Request. Returns std::nullopt
  /// if no server of its service is usable.
  [[nodiscard]] auto choose(RequestNumber Number,
                            InFlightRequest const &Request)
      -> std::optional<Choice>;

  /// Chooses the server that decodes \p Request after \p Source has prefilled
  /// its prompt.
  [[nodiscard]] auto chooseForPrefilled(RequestNumber Number,
                                        InFlightRequest const &Request,
                                        ServerKey Source)
      -> std::optional<Choice>;

private:
  /// A possible choice and its cost in seconds.
  struct Candidate {
    double Cost = 0;
    Choice Details;
  };

  /// Returns the cheapest candidate over all usable servers. \p Evaluate
  /// returns a candidate, or std::nullopt to skip the server.
  template <typename Function>
  [[nodiscard]] auto cheapest(RequestNumber Number,
                              InFlightRequest const &Request,
                              Function Evaluate) const -> std::optional<Choice>;

  [[nodiscard]] auto choosePlain(RequestNumber Number,
                                 InFlightRequest const &Request)
      -> std::optional<Choice>;
  [[nodiscard]] auto chooseEngine(RequestNumber Number,
                                  InFlightRequest const &Request)
      -> std::optional<Choice>;
  [[nodiscard]] auto evaluateEngine(InFlightRequest const &Request,
                                    Server &Engine,
                                    Service const &OfferedService) -> Candidate;
  [[nodiscard]] auto findCacheSource(InFlightRequest const &Request,
                                     Server const &Engine, std::uint32_t Cached,
                                     Candidate &Result) -> std::uint32_t;
  /// Returns the engine that rendezvous hashing assigns to the prefix of
  /// \p Request, or null if holders of the prefix are known or there is no
  /// prefix.
  [[nodiscard]] auto assignedEngine(InFlightRequest const &Request) const
      -> Server const *;
  /// Returns the prefill time in seconds that the assigned engine is expected
  /// to save.
  [[nodiscard]] auto assignedEngineBonus(InFlightRequest const &Request,
                                         bool IsPrefill) const -> double;
  [[nodiscard]] auto candidates(InFlightRequest const &Request) const
      -> std::vector<Server *>;
  [[nodiscard]] auto penalty(RequestNumber Number, Server const &Target) const
      -> double;

  State &CurrentState; // NOLINT: lives for one event
};

} // namespace dotterel::relay
