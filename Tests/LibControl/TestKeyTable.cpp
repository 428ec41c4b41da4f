#include "LibControl/KeyTable.h"

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

auto key(char const *Text) -> ScopedKey {
  return {CallerName("c"), IdempotencyKey(Text)};
}

auto responseWithBody(std::string Body) -> StoredResponse {
  return {Outcome::Completed, ResultCode::Completed, 200, "t", std::move(Body)};
}

} // namespace

Test(KeyTable, PrefixRoundTrip) {
  auto prefix = KeyPrefix{0x1234abcd5678ef01ULL, 42};
  auto parsed = parseKeyPrefix(formatKeyPrefix(prefix) + "rest.of.it");
  cr_assert(parsed == prefix);
  for (auto const *it :
       {"", "plain", "i12e1.x", "i1234abcd5678ef01e.x", "i1234abcd5678ef01e1",
        "i1234abcd5678efxxe1.x", "i1234abcd5678ef01e-1.x"})
    cr_assert_not(parseKeyPrefix(it).has_value(), "%s", it);
}

Test(KeyTable, KeyIsNewOnlyOnce) {
  auto table = KeyTable{};
  auto start = Instant{} + 1h;
  table.advance(start, start);
  cr_assert_eq(table.admit(1, key("k")), KeyAdmission::New);
  cr_assert_eq(table.admit(1, key("k")), KeyAdmission::Known);
  cr_assert_eq(table.admit(1, {CallerName("d"), IdempotencyKey("k")}),
               KeyAdmission::New);
}

Test(KeyTable, ExpiredEpochIsNeverNewAgain) {
  auto table = KeyTable{};
  auto start = Instant{} + 1h;
  table.advance(start, start);
  cr_assert_eq(table.admit(1, key("k")), KeyAdmission::New);
  table.advance(start + 23h, start);
  cr_assert_eq(table.admit(1, key("k")), KeyAdmission::Known);
  table.advance(start + 26h, start);
  cr_assert_eq(table.size(), 0);
  cr_assert_eq(table.admit(1, key("k")), KeyAdmission::Expired);
  cr_assert_eq(table.admit(99, key("k")), KeyAdmission::Expired);
}

Test(KeyTable, FullTableRejectsNewKeysAndKeepsOldOnes) {
  auto table = KeyTable{};
  auto start = Instant{} + 1h;
  table.advance(start, start);
  auto n = 0;
  while (table.admit(1, key(std::to_string(n).c_str())) == KeyAdmission::New)
    ++n;
  cr_assert_eq(table.admit(1, key("one more")), KeyAdmission::TableFull);
  cr_assert_eq(table.admit(1, key("0")), KeyAdmission::Known);
}

Test(KeyTable, ResponseBytesAreBoundedAndKeysAreKept) {
  auto table = KeyTable{};
  auto start = Instant{} + 1h;
  table.advance(start, start);
  for (auto n = 0; n < 100; ++n) {
    auto name = std::to_string(n);
    (void)table.admit(1, key(name.c_str()));
    (void)table.finish(1, key(name.c_str()), ClaimState::Completed,
                       responseWithBody(std::string(1U << 20U, 'x')));
  }
  auto kept = std::size_t{0};
  for (auto n = 0; n < 100; ++n)
    kept += table.find(1, key(std::to_string(n).c_str()))->Response.Body.size();
  cr_assert_leq(kept, std::size_t{8} << 20U);
  cr_assert_eq(table.size(), 100);
}

} // namespace dotterel::test
