/// \file
/// Applies events to a reducer, one at a time, and has its effects carried out.
#pragma once

#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibCore/Time.h"

#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace dotterel {

/// A reducer with its state. \p Reduce is called with the state and an event
/// with its timestamp, and returns the effects, which are passed to the effect
/// handler. Events that are fed while effects are carried out are queued. An
/// exception of an event or an effect is logged and ends that one alone.
/// Thread safety: none.
template <typename StateType, typename EventType, typename EffectType,
          auto Reduce>
class ReducerLoop {
public:
  using EffectHandler = std::function<void(EffectType &)>;

  explicit ReducerLoop(StateType InitialState)
      : CurrentState(std::move(InitialState)) {}

  /// Precondition: called before the first feed.
  auto setEffectHandler(EffectHandler Handler) -> void {
    HandleEffect = std::move(Handler);
  }

  /// Applies \p Event with the current time as its timestamp.
  auto feed(decltype(EventType::Body) Event) -> void {
    Queue.push_back(std::move(Event));
    if (IsBusy)
      return;
    IsBusy = true;
    while (!Queue.empty()) {
      auto event =
          EventType{std::chrono::steady_clock::now(), std::move(Queue.front())};
      Queue.pop_front();
      guard("event", [&] {
        for (auto &it : Reduce(CurrentState, event))
          guard("effect", [&] { HandleEffect(it); });
      });
    }
    IsBusy = false;
  }

  [[nodiscard]] auto state() const -> StateType const & { return CurrentState; }

private:
  template <typename Callable>
  static auto guard(std::string_view Kind, Callable Body) -> void {
    try {
      Body();
    } catch (std::exception const &error) {
      log(LogLevel::Error, "reducer-failed",
          {{"kind", Kind}, {"error", error.what()}});
    }
  }

  StateType CurrentState;
  EffectHandler HandleEffect;
  std::deque<decltype(EventType::Body)> Queue;
  bool IsBusy = false;
};

} // namespace dotterel
