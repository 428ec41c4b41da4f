/// \file
/// The life of a request from its arrival to its one final answer.
#pragma once

#include "LibRelay/Placement.h"
#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Admits requests, begins attempts, and gives final answers.
class RequestReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(RequestArrived const &Happened) -> void;
  auto on(CallerLeft const &Happened) -> void;
  auto on(Tick const &Happened) -> void;

  /// Begins the next attempt, or ends the request if no server can take it.
  /// \p Failure is the result if it has been tried before.
  auto place(RequestNumber Number, ResultCode Failure) -> void;

  /// Begins the attempt that makes tokens from a read prompt.
  auto placePrefilled(RequestNumber Number, Attempt const &Prefill,
                      std::string const &Handle) -> void;

  /// Ends the current attempt, if any: takes its load off the server and frees
  /// a read prompt that was not used.
  auto endAttempt(Call &Target) -> void;

  /// The prompt of the current attempt has been read.
  auto settlePrompt(Attempt &Target) -> void;

  /// Says that the request did not run, or that this is not known.
  auto fail(RequestNumber Number, ResultCode Code,
            std::optional<Duration> RetryAfter) -> void;

  /// Forgets a request whose answer is out.
  auto finish(RequestNumber Number, ResultCode Code, unsigned Status) -> void;

private:
  auto recordDemand(Call const &Target) -> void;
  auto start(RequestNumber Number, Call &Target, Choice const &Chosen,
             Attempt Next) -> void;
  auto checkTimes(RequestNumber Number, Call &Target) -> void;
  [[nodiscard]] auto responseBound(Call const &Target) const -> Duration;
};

} // namespace dotterel::relay
