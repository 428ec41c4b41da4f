/// \file
/// Ensures that a call with an idempotency key runs at most once.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class KeyReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ClaimWritten const &Event) -> void;
  auto on(ClaimRead const &Event) -> void;
  auto on(ClaimReadFailed const &Event) -> void;
  auto on(ForwardedResponseReceived const &Event) -> void;
  auto on(PeerDisconnected const &Event) -> void;

  /// Runs a keyed call, forwards it to the owner of its key, lets it wait for
  /// a running call with the same key, or finishes it.
  auto admit(CallId Id) -> void;

  /// Records the outcome of \p Finished under its key. Returns the calls that
  /// wait for the same key.
  [[nodiscard]] auto recordOutcome(CallId Id, Call const &Finished,
                                   StoredResponse const &Response)
      -> std::vector<CallId>;

  /// Returns whether an earlier call with the key of \p Target may have run.
  [[nodiscard]] auto mayHaveRunElsewhere(Call const &Target) -> bool;

private:
  auto admitOwn(CallId Id, std::uint64_t Epoch) -> void;
  auto joinRunningCall(CallId Id, std::uint64_t Epoch) -> void;
  auto forwardToOwner(CallId Id, Incarnation OwnerRun) -> void;
  auto claimKey(CallId Id) -> void;
  auto writeClaim(CallId Id, Call &Target) -> void;
  auto placeClaimed(CallId Id, Call &Target, std::uint64_t Version) -> void;
};

} // namespace dotterel
