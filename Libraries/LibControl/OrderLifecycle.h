/// \file
/// State machine of one order to one engine, at the holder of the lease.
#pragma once

#include <cstdint>
#include <memory>

namespace dotterel {

/// State machine of one order to one engine, at the holder of the lease.
/// Each event method returns whether the event is allowed in the current
/// phase; an event that is not allowed changes nothing.
/// Thread safety: none.
class OrderLifecycle {
public:
  enum class Phase : std::uint8_t {
    Recording,
    Draining,
    AwaitingIdle,
    Connecting,
    Sent,
    Confirming,
    Resolved
  };

  OrderLifecycle();
  ~OrderLifecycle();
  OrderLifecycle(OrderLifecycle &&) noexcept;
  auto operator=(OrderLifecycle &&) noexcept -> OrderLifecycle &;
  OrderLifecycle(OrderLifecycle const &) = delete;
  auto operator=(OrderLifecycle const &) -> OrderLifecycle & = delete;

  [[nodiscard]] auto phase() const -> Phase;

  /// The order is recorded in the shard object.
  auto intentCommitted() -> bool;
  /// Every instance acknowledged the drain.
  auto allAcknowledged() -> bool;
  /// An instance no longer acknowledges the drain.
  auto acknowledgementLost() -> bool;
  /// The engine is idle; the connection was requested.
  auto connectRequested() -> bool;
  /// The order was sent.
  auto sent() -> bool;
  /// The order was abandoned before any byte of it was sent.
  auto notSent() -> bool;
  /// The engine accepted the order, or its response was lost.
  auto acceptedOrLost() -> bool;
  /// The engine refused the order: it is not idle, or the fencing number is
  /// stale.
  auto refusedBusy() -> bool;
  /// A later report shows the ordered state.
  auto reportedApplied() -> bool;
  /// A later report shows that the order was not carried out, or it took too
  /// long.
  auto reportedNotApplied() -> bool;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
