/// \file
/// What the sub-reducers share. Internal to LibRelay.
#pragma once

#include "LibRelay/Effect.h"
#include "LibRelay/State.h"

#include <fmt/format.h>
#include <utility>

namespace dotterel::relay {

/// A part of the reducer that handles the events of one subject. Lives for
/// one event.
class SubReducer {
public:
  SubReducer(State &CurrentState, Effects &Output)
      : CurrentState(CurrentState), Output(Output) {}

protected:
  template <typename T> auto emit(T What) -> void {
    Output.emplace_back(std::move(What));
  }

  template <typename... Values>
  auto log(LogLevel Level, std::string Event,
           fmt::format_string<Values...> Format, Values &&...Given) -> void {
    emit(WriteLog{Level, std::move(Event),
                  fmt::format(Format, std::forward<Values>(Given)...)});
  }

  /// Returns the call, or null if it has had its answer.
  [[nodiscard]] auto find(RequestNumber Number) -> InFlightRequest * {
    auto it = CurrentState.Requests.find(Number);
    return it == CurrentState.Requests.end() ? nullptr : &it->second;
  }

  [[nodiscard]] auto now() const -> Instant { return CurrentState.Now; }

  State &CurrentState; // NOLINT: sub-reducers share one state
  Effects &Output;     // NOLINT
};

} // namespace dotterel::relay
