#include "LibCore/Error.h"
#include "LibCore/ResultCode.h"

#include <set>

#include <criterion/criterion.h>

namespace dotterel::test {

Test(ResultCode, TableIsAscendingAndNamesAreUnique) {
  auto names = std::set<std::string_view>{};
  auto previous = 0;
  for (auto const &it : resultCodes()) {
    cr_assert_gt(static_cast<int>(it.Code), previous);
    previous = static_cast<int>(it.Code);
    cr_assert(names.insert(it.Name).second);
    cr_assert(it.HttpStatus >= 200 && it.HttpStatus < 600);
  }
}

Test(ResultCode, DescribeFindsTheRow) {
  cr_assert_eq(describe(ResultCode::KeyExpired).HttpStatus, 409);
  cr_assert(describe(ResultCode::KeyExpired).Name == "key-expired");
}

} // namespace dotterel::test
