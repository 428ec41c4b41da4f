/// \file
/// Base class of the sub-reducers. Internal to LibControl.
#pragma once

#include "LibControl/Effect.h"
#include "LibControl/State.h"

#include <utility>

namespace dotterel {

/// A part of the reducer that handles the events of one area. Constructed for
/// each event.
class SubReducer {
public:
  SubReducer(State &CurrentState, Effects &Output)
      : CurrentState(CurrentState), Output(Output) {}

protected:
  template <typename T> auto emit(T Effect) -> void {
    Output.emplace_back(std::move(Effect));
  }

  auto log(LogLevel Level, std::string Event, std::vector<LogPair> Fields)
      -> void {
    emit(WriteLog{Level, std::move(Event), std::move(Fields)});
  }

  /// Returns the call, or null if it is finished.
  [[nodiscard]] auto find(CallId Id) -> Call * {
    auto it = CurrentState.Calls.Calls.find(Id);
    return it == CurrentState.Calls.Calls.end() ? nullptr : &it->second;
  }

  [[nodiscard]] auto now() const -> Instant { return CurrentState.Now; }

  State &CurrentState; // NOLINT: sub-reducers share one state
  Effects &Output;     // NOLINT
};

} // namespace dotterel
