#include "LibCore/ReducerLoop.h"

#include <stdexcept>
#include <variant>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

struct Number {
  int Value = 0;
};

struct NumberEvent {
  Instant At;
  std::variant<Number> Body;
};

/// Adds up the numbers and emits each; a negative one cannot be reduced.
auto reduce(int &Sum, NumberEvent const &Event) -> std::vector<int> {
  auto const value = std::get<Number>(Event.Body).Value;
  if (value < 0)
    throw std::invalid_argument("negative");
  Sum += value;
  return {value, value};
}

} // namespace

// Regression test: after an exception the loop was busy for ever.
Test(ReducerLoop, EventThatThrowsDoesNotStopTheNext) {
  auto loop = ReducerLoop<int, NumberEvent, int, reduce>(0);
  auto effects = 0;
  loop.setEffectHandler([&](int &Effect) {
    ++effects;
    if (Effect == 3)
      throw std::runtime_error("effect");
  });
  for (auto it : {-1, 3, 4})
    loop.feed(Number{it});
  cr_assert_eq(loop.state(), 7);
  cr_assert_eq(effects, 4);
}

} // namespace dotterel::test
