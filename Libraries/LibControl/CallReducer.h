/// \file
/// Admits, places, retries and finishes calls.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class CallReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(CallArrived const &Happened) -> void;
  auto on(CallerDisconnected const &Happened) -> void;
  auto on(AttemptConnected const &Happened) -> void;
  auto on(AttemptUnreachable const &Happened) -> void;
  auto on(AttemptRefused const &Happened) -> void;
  auto on(AttemptToken const &Happened) -> void;
  auto on(AttemptCompleted const &Happened) -> void;
  auto on(AttemptBroken const &Happened) -> void;
  auto on(Tick const &Happened) -> void;

  /// Chooses a backend server for the call and connects to it.
  auto place(CallId Id) -> void;

  /// Gives the call its final answer and forgets it. Does nothing if the call
  /// has had its answer.
  auto finish(CallId Id, StoredResponse const &Response,
              std::optional<Duration> RetryAfter = {}) -> void;

  /// Finishes with a result code alone.
  auto finish(CallId Id, Outcome Result, ResultCode Code,
              std::optional<Duration> RetryAfter = {}) -> void;

  /// Finishes a call that was not sent to any backend server: not-run, unless
  /// an earlier call with the same key may have run elsewhere.
  auto reject(CallId Id, ResultCode Code,
              std::optional<Duration> RetryAfter = {}) -> void;

private:
  [[nodiscard]] auto findCurrent(AttemptId const &Id) -> Call *;
  [[nodiscard]] auto describeRoute(Call &Target) const
      -> std::optional<ResultCode>;
  auto addWork(CallerName const &Caller, double Tokens) -> void;
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
  auto observeReuse(Call const &Target) -> void;
  auto observeBetweenTokens(Call const &Target) -> void;
  auto checkDeadline(CallId Id) -> bool;
  auto checkAttempt(CallId Id) -> void;
  auto migrateFromDrain(CallId Id, Call &Target) -> void;
  auto deliver(CallId Id, Call const &Target, StoredResponse const &Response,
               std::optional<Duration> RetryAfter) -> void;
  [[nodiscard]] auto exceedsShare(Call const &Target,
                                  EngineForecast const &Forecast) const -> bool;
  [[nodiscard]] auto redirectAddress() const -> std::string;
};

/// Returns the work of \p Target in tokens, for shares between callers.
[[nodiscard]] auto workOf(Call const &Target) -> double;

} // namespace dotterel
