/// \file
/// Keeps prompts away from servers that would crash on them.
#pragma once

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

  /// Records that the connection of a request's current attempt broke.
  auto observeInterruption(InFlightRequest const &Request) -> void;
  /// Records that a request received a complete response.
  auto observeCompletion(InFlightRequest const &Request) -> void;

private:
  auto apply(SuspectKey Segment, std::string_view Source, std::size_t Crashes,
             std::size_t Prompts) -> void;
  auto release(SuspectKey Segment, std::string_view Reason) -> void;
};

} // namespace dotterel::relay
