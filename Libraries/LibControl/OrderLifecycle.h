/// \file
/// Life of one order to one engine, at the lease's holder.
#pragma once

#include <cstdint>
#include <memory>

namespace dotterel {

/// Life of one order to one engine, at the lease's holder.
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

  /// The order stands in the shard object.
  auto intentCommitted() -> bool;
  /// Every instance honours the drain.
  auto allAcknowledged() -> bool;
  /// An instance no longer honours the drain.
  auto acknowledgementLost() -> bool;
  /// The engine is idle; a connection is being made.
  auto connectRequested() -> bool;
  /// The order left this process.
  auto sent() -> bool;
  /// The order was abandoned before any byte of it left.
  auto notSent() -> bool;
  /// The engine accepted the order, or its answer was lost.
  auto answered() -> bool;
  /// The engine refused because it is not idle.
  auto refusedBusy() -> bool;
  /// A later report shows the ordered state.
  auto reportedDone() -> bool;
  /// A later report shows that the order was not carried out.
  auto reportedNotDone() -> bool;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel
