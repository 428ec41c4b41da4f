/// \file
/// Life of one try to serve a call at one backend server.
#pragma once

#include <cstdint>
#include <memory>

namespace dotterel {

/// Life of one try to serve a call at one backend server.
/// Each event method returns whether the event is allowed in the current
/// phase; an event that is not allowed changes nothing.
/// Thread safety: none.
class AttemptLifecycle {
public:
  enum class Phase : std::uint8_t { Connecting, Sent, Answering, Ended };

  AttemptLifecycle();
  ~AttemptLifecycle();
  AttemptLifecycle(AttemptLifecycle &&) noexcept;
  auto operator=(AttemptLifecycle &&) noexcept -> AttemptLifecycle &;
  AttemptLifecycle(AttemptLifecycle const &) = delete;
  auto operator=(AttemptLifecycle const &) -> AttemptLifecycle & = delete;

  [[nodiscard]] auto phase() const -> Phase;

  /// The request's first byte may have left.
  auto sent() -> bool;
  /// The first part of the answer arrived.
  auto answerBegan() -> bool;
  /// The attempt is over.
  auto ended() -> bool;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel
