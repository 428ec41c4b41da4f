/// \file
/// Confirms that the customers' keys are current, and counts their requests.
#pragma once

#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Answers removed keys (see KeyConfirmation) and usage that must be reported:
/// each instance counts the requests that it saw begin and repeats its counts
/// to the instances that may have to report them.
class CustomerReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ConfirmationRequested const &Event) -> void;
  auto on(ConfirmationAnswered const &Event) -> void;
  auto on(UsageReceived const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Records that the store has confirmed the configuration in force, to a
  /// question that was sent at \p AskedAt.
  auto observeConfirmation(std::optional<Duration> AskedAt) -> void;

  /// Counts \p Target once, as a request that began to run at \p At.
  auto countStart(InFlightRequest &Target, Instant At) -> void;

  /// Tells the counts of this instance to the peers that may report them.
  auto sendUsage(bool All) -> void;

private:
  auto askWatcher(Duration SinceBoot) -> void;
  auto updateConfirmation(Duration SinceBoot) -> void;
};

} // namespace dotterel::relay
