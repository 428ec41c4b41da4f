/// \file
/// State machine of an instance, from start to exit.
#pragma once

#include <cstdint>
#include <memory>

namespace dotterel {

/// State machine of an instance, from start to exit.
/// Each event method returns whether the event is allowed in the current
/// phase; an event that is not allowed changes nothing.
/// Thread safety: none.
class InstanceLifecycle {
public:
  enum class Phase : std::uint8_t {
    Starting,
    Ready,
    Leaving,
    Draining,
    Stopped
  };

  InstanceLifecycle();
  ~InstanceLifecycle();
  InstanceLifecycle(InstanceLifecycle &&) noexcept;
  auto operator=(InstanceLifecycle &&) noexcept -> InstanceLifecycle &;
  InstanceLifecycle(InstanceLifecycle const &) = delete;
  auto operator=(InstanceLifecycle const &) -> InstanceLifecycle & = delete;

  [[nodiscard]] auto phase() const -> Phase;

  /// The first configuration took effect.
  auto configured() -> bool;
  /// The process was asked to stop.
  auto leaveRequested() -> bool;
  /// The leave grace elapsed; new calls are rejected from now on.
  auto graceElapsed() -> bool;
  /// No call is left and the leases are released, or the release timed out.
  auto callsFinished() -> bool;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
