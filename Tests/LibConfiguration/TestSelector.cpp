#include "LibConfiguration/Selector.h"
#include "LibCore/Error.h"

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

auto matches(char const *Text) -> bool {
  auto labels = LabelSet{{"tier", "gold"}, {"pool", "swing"}};
  return Selector::parse(Text).matches(labels);
}

auto errorOf(char const *Text) -> std::string {
  try {
    (void)Selector::parse(Text);
  } catch (Error const &error) {
    return error.what();
  }
  return "";
}

} // namespace

Test(Selector, Matches) {
  cr_assert(matches(""));
  cr_assert(matches("tier=gold"));
  cr_assert(matches("tier == gold, pool=swing"));
  cr_assert(matches("tier in (silver, gold)"));
  cr_assert(matches("tier notin (silver)"));
  cr_assert(matches("tier!=silver"));
  cr_assert(matches("pool,!zone"));
}

Test(Selector, Mismatches) {
  cr_assert_not(matches("tier=silver"));
  cr_assert_not(matches("tier=gold,pool=fixed"));
  cr_assert_not(matches("zone"));
  cr_assert_not(matches("!tier"));
  cr_assert_not(matches("tier notin (gold)"));
  cr_assert_not(matches("zone in (a)"));
}

Test(Selector, LabelsAndValuesMayContainOperatorNames) {
  auto labels = LabelSet{{"inner", "x"}, {"a", "in"}};
  cr_assert(Selector::parse("inner=x,a=in").matches(labels));
}

Test(Selector, ErrorsNameTheColumn) {
  cr_assert(errorOf("tier=").find("column 6") != std::string::npos);
  cr_assert(errorOf("tier in gold").find("expected '('") != std::string::npos);
  cr_assert(errorOf("tier in (gold").find("expected ')'") != std::string::npos);
  cr_assert(errorOf("a b").find("expected ','") != std::string::npos);
}

} // namespace dotterel::test
