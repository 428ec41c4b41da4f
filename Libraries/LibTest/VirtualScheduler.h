/// \file
/// Virtual time for tests and the decision bench. Not part of the product.
#pragma once

#include "LibCore/Time.h"

#include <functional>
#include <queue>
#include <vector>

namespace dotterel {

/// Runs actions in virtual time, ordered by due time; actions that are due at
/// the same time run in the order in which they were scheduled.
/// Thread safety: none.
class VirtualScheduler {
public:
  explicit VirtualScheduler(Instant Start) : Current(Start) {}

  [[nodiscard]] auto now() const -> Instant { return Current; }

  /// Schedules \p Action to run at now() + \p After.
  auto schedule(Duration After, std::function<void()> Action) -> void {
    Pending.push({Current + After, NextSequence++, std::move(Action)});
  }

  /// Runs every action that is due up to \p End, including those that are
  /// scheduled meanwhile, and sets the time to \p End.
  auto runUntil(Instant End) -> void {
    while (!Pending.empty() && Pending.top().DueAt <= End) {
      auto next = Pending.top();
      Pending.pop();
      Current = std::max(Current, next.DueAt);
      next.Action();
    }
    Current = End;
  }

private:
  struct Entry {
    Instant DueAt;
    std::uint64_t Sequence = 0;
    std::function<void()> Action;
  };

  struct IsLater {
    auto operator()(Entry const &Left, Entry const &Right) const -> bool {
      return Left.DueAt != Right.DueAt ? Left.DueAt > Right.DueAt
                                       : Left.Sequence > Right.Sequence;
    }
  };

  Instant Current;
  std::uint64_t NextSequence = 0;
  std::priority_queue<Entry, std::vector<Entry>, IsLater> Pending;
};

} // namespace dotterel
