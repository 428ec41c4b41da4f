/// \file
/// The life cycle of a request from its arrival to its final response.
#pragma once

#include "LibRelay/Admission.h"
#include "LibRelay/Placement.h"
#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Admits requests, starts attempts and sends final responses.
class RequestReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(RequestArrived const &Event) -> void;
  auto on(CallerDisconnected const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Starts the next attempt, or fails the request if no server can take it.
  /// \p Failure is the result code if the request has been attempted before.
  auto place(RequestNumber Number, ResultCode Failure) -> void;

  /// Starts the attempt that decodes a prefilled prompt.
  auto placePrefilled(RequestNumber Number, PrefilledPrompt const &Prompt)
      -> void;

  /// Places a request again whose attempt got no permit for its server.
  auto placeElsewhere(RequestNumber Number) -> void;

  /// Connects the current attempt, which needs no permit or has got one.
  auto connectAttempt(RequestNumber Number) -> void;

  /// Takes the prefilled prompt from the current attempt if nothing has been
  /// sent to the engine that should decode it.
  [[nodiscard]] auto takeUnusedPrefill(InFlightRequest &Request)
      -> std::optional<PrefilledPrompt>;

  /// Ensures that the retry budget covers the next attempt of \p Request, and
  /// the decode attempt after it if it is a prefill. Returns false if the
  /// budget is exhausted.
  auto reserveRetry(InFlightRequest &Request, bool IsPrefill) -> bool;

  /// Ends the current attempt, if any: removes its load from the server and
  /// releases a prefilled prompt that was not used.
  auto endAttempt(InFlightRequest &Request) -> void;

  /// Removes the prompt tokens of an attempt from the outstanding load of its
  /// server.
  auto removeOutstandingTokens(Attempt &Target) -> void;

  /// Ends the request with an error response, or by closing the connection if a
  /// stream has started. Replaces \p Code where its status would claim that the
  /// request was not executed although it may have been.
  auto fail(RequestNumber Number, ResultCode Code,
            std::optional<Duration> RetryAfter) -> void;

  /// Removes a request whose final response has been emitted or whose caller
  /// has disconnected, and cancels its attempt, if any.
  auto finish(RequestNumber Number, ResultCode Code, unsigned Status) -> void;

private:
  auto recordDemand(InFlightRequest const &Request) -> void;
  /// Fails a request for which no server is usable.
  auto failUnplaced(RequestNumber Number, ResultCode Code) -> void;
  /// Releases a prefilled prompt unless its server asked for a pause.
  auto releasePrefill(PrefilledPrompt const &Prompt) -> void;
  /// Returns whether the limits on attempts allow another one.
  [[nodiscard]] auto mayAttempt(InFlightRequest const &Request) const -> bool;
  auto logRefusal(InFlightRequest const &Request, Choice const &Chosen,
                  Refusal const &Reason) -> void;
  /// Returns false if the server must get no request now.
  auto startAttempt(RequestNumber Number, InFlightRequest &Request,
                    Choice const &Chosen, Attempt Next) -> bool;
  auto checkTimeouts(RequestNumber Number, InFlightRequest &Request) -> void;
  [[nodiscard]] auto responseTimeout(InFlightRequest const &Request) const
      -> Duration;
};

} // namespace dotterel::relay
