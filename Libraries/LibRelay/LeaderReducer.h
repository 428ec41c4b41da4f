/// \file
/// Elects the instance that acts for all: the leader reports usage and orders
/// servers.
///
/// The holder of the leader lease acts. It writes each usage report to the
/// lease before it sends it; a later holder repeats what is written there and
/// never reports other counts for those windows. The lease is taken over only
/// after it has been unchanged for longer than its holder may act without a new
/// write.
#pragma once

#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

class LeaderReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(LeaderLeaseRead const &Event) -> void;
  auto on(LeaderLeaseWritten const &Event) -> void;
  auto on(PeerReported const &Event) -> void;
  auto on(StoreEraObserved const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Returns the peers that act for all, or would if the leader failed.
  [[nodiscard]] auto successors() const -> std::vector<std::string>;

private:
  [[nodiscard]] auto hasTasks() const -> bool;
  [[nodiscard]] auto isEligible(Duration SinceBoot) const -> bool;
  [[nodiscard]] auto mayWrite() const -> bool;
  auto resign(std::string_view Reason) -> void;
  auto updateLease(Duration SinceBoot) -> void;
};

} // namespace dotterel::relay
