/// \file
/// Events of attempts at servers: connections, responses, streams and failures.
#pragma once

#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Tracks attempts and decides whether a failed request is retried.
class AttemptReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(AttemptConnected const &Event) -> void;
  auto on(AttemptUnreachable const &Event) -> void;
  auto on(ConnectionReleased const &Event) -> void;
  auto on(AttemptResponded const &Event) -> void;
  auto on(AttemptBodyStarted const &Event) -> void;
  auto on(AttemptBodyReceived const &Event) -> void;
  auto on(AttemptBodyEnded const &Event) -> void;
  auto on(AttemptPrefilled const &Event) -> void;
  auto on(AttemptStreamStarted const &Event) -> void;
  auto on(AttemptEventsReceived const &Event) -> void;
  auto on(AttemptStreamEnded const &Event) -> void;
  auto on(AttemptInterrupted const &Event) -> void;

  /// Abandons an attempt that takes too long if the request can be retried at
  /// another server.
  auto abandon(AttemptId Attempt, std::string_view Reason) -> void;

private:
  [[nodiscard]] auto findCurrent(AttemptId const &Id) -> InFlightRequest *;
  [[nodiscard]] auto serverOf(InFlightRequest const &Request) -> Server *;
  auto observeFailure(InFlightRequest const &Request, AttemptId const &Id,
                      std::string_view Reason) -> void;
  auto observeFirstPart(InFlightRequest &Request) -> void;
  auto observeNotice(InFlightRequest const &Request, unsigned Status,
                     ServerNotice const &Notice) -> void;
  auto beginStream(RequestNumber Number, InFlightRequest &Request) -> void;
  /// Sends the request to another server if deadline, route and retry budget
  /// allow it. Returns false otherwise; the state is unchanged then.
  auto retry(RequestNumber Number, ResultCode Failure) -> bool;
  auto handleRefusal(RequestNumber Number, InFlightRequest &Request,
                     ServerResponse const &Response) -> void;
  /// Retries or fails a request whose attempt ended without a complete
  /// response.
  auto handleInterruption(AttemptId const &Id, InFlightRequest &Request,
                          std::string_view Reason) -> void;
  auto handleResponse(RequestNumber Number, InFlightRequest &Request,
                      ServerResponse Response) -> void;
  /// Returns whether a response goes to the caller. Otherwise the request was
  /// retried or has failed.
  auto acceptResponse(RequestNumber Number, InFlightRequest &Request,
                      unsigned Status) -> bool;
};

} // namespace dotterel::relay
