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

  auto on(RequestArrived const &Event) -> void;
  auto on(CallerDisconnected const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Begins the next attempt, or ends the request if no server can take it.
  /// \p Failure is the result if it has been tried before.
  auto place(RequestNumber Number, ResultCode Failure) -> void;

  /// Begins the attempt that makes tokens from a read prompt.
  auto placePrefilled(RequestNumber Number, Attempt const &Prefill,
                      std::string const &Handle) -> void;

  /// Ends the current attempt, if any: takes its load off the server and frees
  /// a read prompt that was not used.
  auto endAttempt(InFlightRequest &Target) -> void;

  /// The prompt of the current attempt has been read.
  auto completePrefill(Attempt &Target) -> void;

  /// Says that the request did not run, or that this is not known.
  auto fail(RequestNumber Number, ResultCode Code,
            std::optional<Duration> RetryAfter) -> void;

  /// Forgets a request whose answer is out.
  auto finish(RequestNumber Number, ResultCode Code, unsigned Status) -> void;

private:
  auto recordDemand(InFlightRequest const &Target) -> void;
  auto startAttempt(RequestNumber Number, InFlightRequest &Target,
                    Choice const &Chosen, Attempt Next) -> void;
  auto checkTimeouts(RequestNumber Number, InFlightRequest &Target) -> void;
  [[nodiscard]] auto responseTimeout(InFlightRequest const &Target) const
      -> Duration;
};

} // namespace dotterel::relay
