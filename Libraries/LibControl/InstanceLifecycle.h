/// \file
/// Life of an instance from start to exit.
#pragma once

#include <cstdint>
#include <memory>

namespace dotterel {

/// Life of an instance from start to exit.
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

  /// The instance holds a configuration.
  auto configured() -> bool;
  /// The process was asked to stop.
  auto askedToLeave() -> bool;
  /// New calls are no longer accepted.
  auto graceEnded() -> bool;
  /// No call is left.
  auto lastAnswerOut() -> bool;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel
