/// \file
/// Stand-in for the rate-limited weight store.
#pragma once

#include "Support.h"

namespace dotterel::standin {

class WeightStore {
public:
  /// Responds once the weights have been delivered at the limited rate. Loads
  /// are delivered one after another.
  auto handle(HttpExchange &Exchange) -> Awaitable<void> {
    ++Loads;
    auto now = Instant{std::chrono::steady_clock::now()};
    FreeAt = std::max(FreeAt, now) + std::chrono::milliseconds(LoadMs);
    co_await sleepFor(FreeAt - now);
    co_await respondJson(Exchange, 200, json::object());
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
