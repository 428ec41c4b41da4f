#include "LibCore/TrueTime.h"

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

constexpr auto Epoch = Duration{1000000s};

} // namespace

// The clock of a machine jumps for some seconds and jumps back.
Test(TrueTime, IgnoresAShortJump) {
  auto time = TrueTime{};
  for (auto n = 0; n < 60; ++n) {
    auto const sinceBoot = Duration{1s} * n;
    auto const jump = n >= 40 && n < 50 ? Duration{-7s} : Duration{};
    time.observe(Epoch + sinceBoot + jump, sinceBoot);
    cr_expect(time.at(sinceBoot) == Epoch + sinceBoot, "after %d s", n);
  }
}

// A clock that was wrong at the start and then set is followed.
Test(TrueTime, FollowsALastingChange) {
  auto time = TrueTime{};
  cr_expect(time.at(5s) == Duration{});
  for (auto n = 0; n < 60; ++n)
    time.observe(Epoch + Duration{1s} * n + (n < 10 ? Duration{3s} : 0s),
                 Duration{1s} * n);
  cr_expect(time.at(60s) == Epoch + 60s);
}

} // namespace dotterel::test
