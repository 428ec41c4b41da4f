/// \file
/// Feeds events to the reducer and its effects to the shells, one at a time.
#pragma once

#include "LibControl/Reducer.h"

#include <deque>
#include <functional>

namespace dotterel {

/// Carries out one effect.
using EffectRunner = std::function<void(Effect &)>;

/// The reducer with its state. An event that arrives while effects are being
/// carried out waits for its turn. Thread safety: none.
class Core {
public:
  explicit Core(State Initial) : Current(std::move(Initial)) {}

  /// Precondition: called before the first feed.
  auto setRunner(EffectRunner Given) -> void { Runner = std::move(Given); }

  /// Applies an event that was seen now.
  auto feed(EventBody Happened) -> void;

  [[nodiscard]] auto state() const -> State const & { return Current; }

private:
  State Current;
  EffectRunner Runner;
  std::deque<EventBody> Waiting;
  bool IsBusy = false;
};

} // namespace dotterel
