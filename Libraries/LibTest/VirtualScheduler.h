/// \file
/// Virtual time for tests and benches. Not part of the product.
#pragma once

#include "LibCore/Time.h"

#include <functional>
#include <queue>
#include <vector>

namespace dotterel {

/// Actions in the order of their times; those of one time in the order in
/// which they were scheduled. Thread safety: none.
class VirtualScheduler {
public:
  explicit VirtualScheduler(Instant Start) : Current(Start) {}

  [[nodiscard]] auto now() const -> Instant { return Current; }

  /// Runs \p Action when \p After has passed.
  auto schedule(Duration After, std::function<void()> Action) -> void {
    Waiting.push({Current + After, NextSequence++, std::move(Action)});
  }

  /// Runs every action up to \p End, and those that they schedule.
  auto runUntil(Instant End) -> void {
    while (!Waiting.empty() && Waiting.top().At <= End) {
      auto next = Waiting.top();
      Waiting.pop();
      Current = std::max(Current, next.At);
      next.Action();
    }
    Current = End;
  }

private:
  struct Entry {
    Instant At;
    std::uint64_t Sequence = 0;
    std::function<void()> Action;
  };

  struct IsLater {
    auto operator()(Entry const &Left, Entry const &Right) const -> bool {
      return Left.At != Right.At ? Left.At > Right.At
                                 : Left.Sequence > Right.Sequence;
    }
  };

  Instant Current;
  std::uint64_t NextSequence = 0;
  std::priority_queue<Entry, std::vector<Entry>, IsLater> Waiting;
};

} // namespace dotterel
