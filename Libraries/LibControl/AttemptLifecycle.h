/// \file
/// State machine of one attempt.
#pragma once

#include <cstdint>
#include <memory>

namespace dotterel {

/// State machine of one attempt to serve a call at one backend server.
/// Each event method returns whether the event is allowed in the current
/// phase; an event that is not allowed changes nothing.
/// Thread safety: none.
class AttemptLifecycle {
public:
  enum class Phase : std::uint8_t { Connecting, Sent, Responding, Ended };

  AttemptLifecycle();
  ~AttemptLifecycle();
  AttemptLifecycle(AttemptLifecycle &&) noexcept;
  auto operator=(AttemptLifecycle &&) noexcept -> AttemptLifecycle &;
  AttemptLifecycle(AttemptLifecycle const &) = delete;
  auto operator=(AttemptLifecycle const &) -> AttemptLifecycle & = delete;

  [[nodiscard]] auto phase() const -> Phase;

  /// The first byte of the request may have been sent.
  auto sent() -> bool;
  /// The first part of the response arrived.
  auto responseStarted() -> bool;
  auto ended() -> bool;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
