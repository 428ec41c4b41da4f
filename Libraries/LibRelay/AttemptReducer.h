/// \file
/// What happens at servers: connections, answers, streams, failures, and
/// whether a failed request is sent once more.
#pragma once

#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Follows attempts and decides on retries.
class AttemptReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(AttemptConnected const &Event) -> void;
  auto on(AttemptUnreachable const &Event) -> void;
  auto on(AttemptResponded const &Event) -> void;
  auto on(AttemptPrefilled const &Event) -> void;
  auto on(AttemptStreamStarted const &Event) -> void;
  auto on(AttemptEventsReceived const &Event) -> void;
  auto on(AttemptStreamEnded const &Event) -> void;
  auto on(AttemptInterrupted const &Event) -> void;

  /// Gives up an attempt that takes too long, if it can be made elsewhere.
  auto abandon(AttemptId Attempt, std::string_view Reason) -> void;

private:
  [[nodiscard]] auto findCurrent(AttemptId const &Name) -> InFlightRequest *;
  [[nodiscard]] auto serverOf(InFlightRequest const &Target) -> Server *;
  auto observeFailure(InFlightRequest const &Target, AttemptId const &Name,
                      std::string_view Reason) -> void;
  auto observeFirstPart(InFlightRequest &Target) -> void;
  auto beginStream(RequestNumber Number, InFlightRequest &Target) -> void;
  /// Sends the request to another server if that is allowed. Returns false if
  /// it is not; nothing has changed then.
  auto retry(RequestNumber Number, ResultCode Failure, bool HasReachedServer)
      -> bool;
  auto handleRefusal(RequestNumber Number, InFlightRequest &Target,
                     ServerResponse const &Answer) -> void;
  auto handleResponse(RequestNumber Number, InFlightRequest &Target,
                      ServerResponse Answer) -> void;
};

} // namespace dotterel::relay
