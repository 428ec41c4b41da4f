/// \file
/// One instance's relation to a shard's lease.
#pragma once

#include <cstdint>
#include <memory>

namespace dotterel {

/// One instance's relation to a shard's lease.
/// Each event method returns whether the event is allowed in the current
/// phase; an event that is not allowed changes nothing.
/// Thread safety: none.
class LeaseLifecycle {
public:
  enum class Phase : std::uint8_t {
    Following,
    Acquiring,
    AcquireUncertain,
    Held,
    Renewing,
    RenewUncertain,
    Releasing,
    Released
  };

  LeaseLifecycle();
  ~LeaseLifecycle();
  LeaseLifecycle(LeaseLifecycle &&) noexcept;
  auto operator=(LeaseLifecycle &&) noexcept -> LeaseLifecycle &;
  LeaseLifecycle(LeaseLifecycle const &) = delete;
  auto operator=(LeaseLifecycle const &) -> LeaseLifecycle & = delete;

  [[nodiscard]] auto phase() const -> Phase;

  /// A write that takes the lease was sent.
  auto acquireSent() -> bool;
  /// A write that renews the lease was sent.
  auto renewSent() -> bool;
  /// A write that releases the lease was sent.
  auto releaseSent() -> bool;
  /// The write in flight took effect.
  auto committed() -> bool;
  /// The write in flight conflicted or its answer was lost.
  auto notCommitted() -> bool;
  /// A read shows this holder's own record.
  auto readBackOwn() -> bool;
  /// A read shows another record or none.
  auto readBackOther() -> bool;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel
