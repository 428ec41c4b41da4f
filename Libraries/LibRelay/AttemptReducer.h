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

  auto on(AttemptConnected const &Happened) -> void;
  auto on(AttemptUnreachable const &Happened) -> void;
  auto on(AttemptAnswered const &Happened) -> void;
  auto on(AttemptPrefilled const &Happened) -> void;
  auto on(AttemptStreamBegan const &Happened) -> void;
  auto on(AttemptStreamed const &Happened) -> void;
  auto on(AttemptStreamEnded const &Happened) -> void;
  auto on(AttemptBroken const &Happened) -> void;

  /// Gives up an attempt that takes too long, if it can be made elsewhere.
  auto giveUp(AttemptName Attempt, std::string_view Reason) -> void;

private:
  [[nodiscard]] auto findCurrent(AttemptName const &Name) -> Call *;
  [[nodiscard]] auto serverOf(Call const &Target) -> Server *;
  auto observeFailure(Call const &Target, AttemptName const &Name,
                      std::string_view Reason) -> void;
  auto observeFirstPart(Call &Target) -> void;
  auto beginStream(RequestNumber Number, Call &Target) -> void;
  /// Sends the request to another server if that is allowed. Returns false if
  /// it is not; nothing has changed then.
  auto retry(RequestNumber Number, ResultCode Failure, bool HasReachedServer)
      -> bool;
  auto answerRefused(RequestNumber Number, Call &Target,
                     ServerAnswer const &Answer) -> void;
  auto answerRan(RequestNumber Number, Call &Target, ServerAnswer Answer)
      -> void;
};

} // namespace dotterel::relay
