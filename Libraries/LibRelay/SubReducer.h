/// \file
/// Base class of the sub-reducers. Internal to LibRelay.
#pragma once

#include "LibRelay/Effect.h"
#include "LibRelay/State.h"

#include <fmt/format.h>
#include <utility>

namespace dotterel::relay {

/// Handles the events of one area of the state. Created anew for each event.
class SubReducer {
public:
  SubReducer(State &CurrentState, Effects &Output)
      : CurrentState(CurrentState), Output(Output) {}

protected:
  template <typename T> auto emit(T Effect) -> void {
    Output.emplace_back(std::move(Effect));
  }

  template <typename... Values>
  auto log(LogLevel Level, std::string Event,
           fmt::format_string<Values...> Format, Values &&...Arguments)
      -> void {
    emit(WriteLog{Level, std::move(Event),
                  fmt::format(Format, std::forward<Values>(Arguments)...)});
  }

  /// Returns the request, or null if it has ended.
  [[nodiscard]] auto find(RequestNumber Number) -> InFlightRequest * {
    auto it = CurrentState.Requests.find(Number);
    return it == CurrentState.Requests.end() ? nullptr : &it->second;
  }

  [[nodiscard]] auto now() const -> Instant { return CurrentState.Now; }

  State &CurrentState; // NOLINT: sub-reducers share one state
  Effects &Output;     // NOLINT
};

} // namespace dotterel::relay
