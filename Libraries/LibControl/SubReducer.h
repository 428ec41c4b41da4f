/// \file
/// What the sub-reducers share. Internal to LibControl.
#pragma once

#include "LibControl/Effect.h"
#include "LibControl/State.h"

#include <utility>

namespace dotterel {

/// A part of the reducer that handles the events of one subject. Lives for
/// one event.
class SubReducer {
public:
  SubReducer(State &Subject, Effects &Out) : Subject(Subject), Out(Out) {}

protected:
  template <typename T> auto emit(T What) -> void {
    Out.emplace_back(std::move(What));
  }

  auto log(LogLevel Level, std::string Event, std::vector<LogPair> Fields)
      -> void {
    emit(WriteLog{Level, std::move(Event), std::move(Fields)});
  }

  /// Returns the call, or null if it has had its answer.
  [[nodiscard]] auto find(CallId Id) -> Call * {
    auto it = Subject.Calls.Calls.find(Id);
    return it == Subject.Calls.Calls.end() ? nullptr : &it->second;
  }

  [[nodiscard]] auto now() const -> Instant { return Subject.Now; }

  State &Subject; // NOLINT: sub-reducers share one state
  Effects &Out;   // NOLINT
};

} // namespace dotterel
