#include "LibConfiguration/JsonNumber.h"
#include "LibConfiguration/JsonText.h"

#include <criterion/criterion.h>

namespace dotterel::test {

Test(JsonText, SplitsObjectsWithoutReadingTheirValues) {
  auto const members = splitJsonObject(
      "{ \"a\" : 1e999 , \"b\":[{\"c\":\"],\\\"\"}], \"\xff\":\"\xfe\"}");
  cr_assert(members.has_value());
  cr_assert_eq(members->size(), 3);
  cr_assert(findJsonMember(*members, "a") == "1e999");
  cr_assert(findJsonMember(*members, "b") == R"([{"c":"],\""}])");
  cr_assert(findJsonMember(*members, "c").empty());
  cr_assert_not(splitJsonObject("[1]").has_value());
  cr_assert(splitJsonObject(" {} ")->empty());
}

Test(JsonText, SplitsArraysUpToTheFirstFault) {
  cr_assert_eq(splitJsonArray("[1, [2,3], \"a,b\", {}]")->size(), 4);
  cr_assert(splitJsonArray("[]")->empty());
  cr_assert_eq(splitJsonArray("[1,[2")->size(), 1);
  cr_assert_not(splitJsonArray("{}").has_value());
  cr_assert_not(splitJsonArray("").has_value());
}

Test(JsonText, RefusesDeepNesting) {
  auto nested = [](std::size_t Depth) {
    return std::string(Depth, '[') + std::string(Depth, ']');
  };
  cr_assert_not(parseJson(nested(60)).is_discarded());
  cr_assert(parseJson(nested(1000000)).is_discarded());
  cr_assert(parseJson("").is_discarded());
}

Test(JsonText, ReadsWhatStandsBesideAnUnreadableValue) {
  auto const read = parseReadableJson(R"({"a":[1,1e999,"x"],"b":2})");
  cr_assert(read.IsDamaged);
  cr_assert(read.Value == nlohmann::json({{"a", {1, nullptr, "x"}}, {"b", 2}}));
  cr_assert_not(parseReadableJson("{}").IsDamaged);
}

Test(JsonNumber, RefusesWhatIsOutOfRange) {
  auto isRead = [](char const *Text) {
    try {
      (void)readNumber<std::uint32_t>(nlohmann::json::parse(Text));
      return true;
    } catch (std::invalid_argument const &) {
      return false;
    }
  };
  for (auto const *it : {"0", "7", "4294967295", "7.0"})
    cr_assert(isRead(it), "%s", it);
  for (auto const *it : {"-1", "4294967296", "1e300", "-0.5", "true", "null",
                         "\"7\"", "[]", "18446744073709551615"})
    cr_assert_not(isRead(it), "%s", it);
}

} // namespace dotterel::test
