/// \file
/// Feeds events to a reducer and its effects to the shells, one at a time.
#pragma once

#include "LibCore/Time.h"

#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace dotterel {

/// A reducer with its state. \p Reduce is called with the state and an event
/// that carries its time, and returns the effects. An event that arrives while
/// effects are being carried out waits for its turn. Thread safety: none.
template <typename StateType, typename EventType, typename EffectType,
          auto Reduce>
class ReducerLoop {
public:
  using EffectHandler = std::function<void(EffectType &)>;

  explicit ReducerLoop(StateType Initial) : Current(std::move(Initial)) {}

  /// Precondition: called before the first feed.
  auto setEffectHandler(EffectHandler Handler) -> void {
    HandleEffect = std::move(Handler);
  }

  /// Applies an event that was seen now.
  auto feed(decltype(EventType::Body) Event) -> void {
    Waiting.push_back(std::move(Event));
    if (IsBusy)
      return;
    IsBusy = true;
    while (!Waiting.empty()) {
      auto event = EventType{std::chrono::steady_clock::now(),
                             std::move(Waiting.front())};
      Waiting.pop_front();
      for (auto &it : Reduce(Current, event))
        HandleEffect(it);
    }
    IsBusy = false;
  }

  [[nodiscard]] auto state() const -> StateType const & { return Current; }

private:
  StateType Current;
  EffectHandler HandleEffect;
  std::deque<decltype(EventType::Body)> Waiting;
  bool IsBusy = false;
};

} // namespace dotterel
