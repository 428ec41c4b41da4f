/// \file
/// Admits, places, retries and finishes calls.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class CallReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(CallArrived const &Event) -> void;
  auto on(CallerDisconnected const &Event) -> void;
  auto on(AttemptConnected const &Event) -> void;
  auto on(AttemptUnreachable const &Event) -> void;
  auto on(AttemptRefused const &Event) -> void;
  auto on(AttemptToken const &Event) -> void;
  auto on(AttemptCompleted const &Event) -> void;
  auto on(AttemptInterrupted const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Chooses a backend server for the call and connects to it.
  auto place(CallId Id) -> void;

  /// Delivers the final response and removes the call. Does nothing if the
  /// call is already finished.
  auto finish(CallId Id, StoredResponse const &Response,
              std::optional<Duration> RetryAfter = {}) -> void;

  /// Finishes the call with a result code and no body.
  auto finish(CallId Id, Outcome Result, ResultCode Code,
              std::optional<Duration> RetryAfter = {}) -> void;

  /// Finishes a call that has no response from a backend server. The outcome
  /// is not-run, unless the call, or an earlier one with the same key, may
  /// have run.
  auto reject(CallId Id, ResultCode Code,
              std::optional<Duration> RetryAfter = {}) -> void;

private:
  /// Returns the call whose current attempt is \p Id, or null.
  [[nodiscard]] auto findByAttempt(AttemptId const &Id) -> Call *;
  [[nodiscard]] auto resolveRoute(Call &Target) const
      -> std::optional<ResultCode>;
  auto addCallerWork(CallerName const &Caller, double Tokens) -> void;
  auto admit(CallId Id) -> void;
  auto placeCompletion(CallId Id, Call &Target) -> void;
  auto placeService(CallId Id, Call &Target) -> void;
  auto startAttempt(CallId Id, Call &Target, Attempt Next,
                    std::string const &Address) -> void;
  auto endAttempt(Call &Target) -> void;
  auto retry(CallId Id, bool IsFailure, ResultCode Code) -> void;
  /// Returns the health of the attempt's backend server, or null if the
  /// configuration no longer has it.
  [[nodiscard]] auto healthOf(Attempt const &Target) -> BackendHealth *;
  auto recordFailure(Call const &Target) -> void;
  auto observeToken(Call &Target) -> void;
  auto observePrefixReuse(Call const &Target) -> void;
  auto observeBetweenTokens(Call const &Target) -> void;
  auto checkDeadline(CallId Id) -> bool;
  auto checkAttempt(CallId Id) -> void;
  auto migrateFromDrainingEngine(CallId Id, Call &Target) -> void;
  auto deliver(CallId Id, Call const &Target, StoredResponse const &Response,
               std::optional<Duration> RetryAfter) -> void;
  [[nodiscard]] auto exceedsFairShare(Call const &Target,
                                      EngineForecast const &Forecast) const
      -> bool;
  [[nodiscard]] auto redirectAddress() const -> std::string;
};

/// Returns the prompt and output tokens that \p Target requests; the measure
/// for fair shares between callers.
[[nodiscard]] auto requestedTokens(Call const &Target) -> double;

} // namespace dotterel
