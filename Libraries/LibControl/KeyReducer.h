/// \file
/// Sees to it that a call with an idempotency key runs at most once.
#pragma once

#include "LibControl/SubReducer.h"

namespace dotterel {

class KeyReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ClaimWritten const &Happened) -> void;
  auto on(ClaimRead const &Happened) -> void;
  auto on(ClaimReadFailed const &Happened) -> void;
  auto on(ForwardedResponseReceived const &Happened) -> void;
  auto on(PeerDisconnected const &Happened) -> void;

  /// Runs, joins, forwards or answers a keyed call.
  auto admit(CallId Id) -> void;

  /// Records the outcome of a call that is being finished. Returns the calls
  /// that wait for the same key.
  [[nodiscard]] auto settle(CallId Id, Call const &Finished,
                            StoredResponse const &Response)
      -> std::vector<CallId>;

  /// Returns whether an earlier call with the key of \p Target may have run.
  [[nodiscard]] auto mayHaveRunElsewhere(Call const &Target) -> bool;

private:
  auto admitOwn(CallId Id, std::uint64_t Epoch) -> void;
  auto join(CallId Id, std::uint64_t Epoch) -> void;
  auto forward(CallId Id, Incarnation Home) -> void;
  auto claim(CallId Id) -> void;
  auto writeClaim(CallId Id, Call &Target) -> void;
  auto placeClaimed(CallId Id, Call &Target, std::uint64_t Version) -> void;
};

} // namespace dotterel
