/// \file
/// Stand-in for the rate-limited weight store.
#pragma once

#include "Support.h"

namespace dotterel::standin {

class WeightStore {
public:
  /// Answers when the weights have been delivered at the limited rate.
  auto handle(HttpExchange &Target) -> Awaitable<void> {
    ++Loads;
    auto now = Instant{std::chrono::steady_clock::now()};
    FreeAt = std::max(FreeAt, now) + std::chrono::milliseconds(LoadMs);
    co_await sleepFor(FreeAt - now);
    co_await respondJson(Target, 200, json::object());
  }

  auto control(json const &Body) -> void {
    LoadMs = Body.value("weightLoadMs", LoadMs);
  }

  [[nodiscard]] auto counts() const -> json { return {{"loads", Loads}}; }

private:
  int LoadMs = 100;
  Instant FreeAt;
  std::uint64_t Loads = 0;
};

} // namespace dotterel::standin
