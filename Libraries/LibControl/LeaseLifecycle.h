/// \file
/// State machine of one shard's lease at one instance.
#pragma once

#include <cstdint>
#include <memory>

namespace dotterel {

/// State machine of one shard's lease at one instance.
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

  /// A write that acquires the lease was sent.
  auto acquireSent() -> bool;
  /// A write that renews the lease was sent.
  auto renewSent() -> bool;
  /// A write that releases the lease was sent.
  auto releaseSent() -> bool;
  /// The write in flight took effect.
  auto committed() -> bool;
  /// The write in flight conflicted, or its response was lost.
  auto notCommitted() -> bool;
  /// A read returned a record with this run as the holder.
  auto readBackOwn() -> bool;
  /// A read returned another record or none.
  auto readBackOther() -> bool;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
