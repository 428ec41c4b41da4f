/// \file
/// Keeps requests away from servers that would crash on them.
#pragma once

#include "LibRelay/Admission.h"
#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Collects evidence from attempts, servers, peers and the store, and applies
/// the quarantine to the requests in progress.
class QuarantineReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(PeerReported const &Event) -> void;
  auto on(QuarantineListed const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Records that the current attempt of a request ended without a response.
  auto observeInterruption(InFlightRequest const &Request) -> void;
  /// Records that a request received a complete response.
  auto observeCompletion(InFlightRequest const &Request) -> void;
  /// Records that the run of a server has ended: another one has its place. The
  /// requests that this instance has in progress there have been interrupted.
  auto observeCrash(ServerKey Key) -> void;
  /// Records that a server cannot be found any more. It has crashed or left
  /// without notice; the requests in progress there show which, as they end.
  auto observeDisappearance(ServerKey Key) -> void;
  /// Records that a server has answered. One that had disappeared has left
  /// without notice.
  auto observeAnswer(ServerKey Key) -> void;

  /// Returns whether a request with the suspects \p Keys is admitted although
  /// \p Target among them is in quarantine, as a trial of an ambiguous one.
  [[nodiscard]] auto admitTrial(Suspect const &Target,
                                std::span<SuspectKey const> Keys) -> bool;
  /// Records the end of a request, which may be a trial.
  auto endTrial(InFlightRequest const &Request) -> void;

  /// Returns the response to requests with a suspect in quarantine: the result
  /// code, and the time after which callers may come back.
  [[nodiscard]] auto refusal(Suspect const &Target) const -> Refusal;

private:
  auto apply(Suspect const &Target, std::string_view Source,
             std::size_t Crashes, std::size_t Requests) -> void;
  auto release(SuspectKey Key, std::string_view Reason) -> void;
};

} // namespace dotterel::relay
