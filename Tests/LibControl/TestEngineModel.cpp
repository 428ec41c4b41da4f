#include "LibControl/BackendHealth.h"
#include "LibControl/EngineModel.h"

#include <cmath>

#include <criterion/criterion.h>

namespace dotterel::test {

Test(EngineModel, LearnsThePrefillRate) {
  auto model = EngineModel{};
  for (auto n = 0; n < 100; ++n)
    model.observePrefill(20000, 1s);
  cr_assert_float_eq(model.prefillTokensPerSecond(), 20000, 200);
}

Test(EngineModel, LearnsDecodeTimeAtTwoBatchSizes) {
  auto model = EngineModel{};
  for (auto n = 0; n < 20000; ++n) {
    model.observeBetweenTokens(4, 10ms);
    model.observeBetweenTokens(64, 22ms);
  }
  auto small = model.forecast({0, 1, 1000, 3, 0});
  auto large = model.forecast({0, 1, 1000, 63, 0});
  cr_assert_float_eq(toSeconds(small.Completion), 10, 1);
  cr_assert_float_eq(toSeconds(large.Completion), 22, 2.2);
}

Test(BackendHealth, EjectsAfterConsecutiveFailuresThenSlowStarts) {
  auto health = BackendHealth{};
  auto now = Instant{} + 1h;
  health.recordFailure(now);
  health.recordSuccess();
  health.recordFailure(now);
  health.recordFailure(now);
  cr_assert_not(health.isEjected(now));
  health.recordFailure(now);
  cr_assert(health.isEjected(now));
  cr_assert_not(health.isEjected(now + 2s));
  cr_assert_gt(health.slowStartFactor(now + 2s), 2);
  cr_assert_float_eq(health.slowStartFactor(now + 60s), 1, 1e-9);
}

} // namespace dotterel::test
