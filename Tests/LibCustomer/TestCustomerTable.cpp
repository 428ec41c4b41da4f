#include "LibCustomer/CustomerTable.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::test {

// A request must be attributed to the holder of its key alone.
Test(CustomerTable, FindsTheHolderOfAKey) {
  auto const customers = std::vector<CustomerKeys>{
      {{"north", 1}, {"key-1", "key-2"}}, {{"south", std::nullopt}, {"key-3"}}};
  auto const table = CustomerTable(customers);
  cr_assert_not_null(table.findByKey("key-2"));
  cr_expect(table.findByKey("key-2")->Name == "north");
  cr_expect(table.findByKey("key-3")->Name == "south");
  cr_expect(!table.findByKey("key-3")->Priority);
  cr_expect_null(table.findByKey("key-4"));
  cr_expect_null(table.findByKey(""));
  cr_expect_null(table.findByKey("key-"));
}

// A key that two customers hold would serve one on behalf of the other.
Test(CustomerTable, SharedKeyBelongsToNobody) {
  auto const customers = std::vector<CustomerKeys>{
      {{"north", std::nullopt}, {"shared", "shared", "own"}},
      {{"south", std::nullopt}, {"shared"}}};
  auto const table = CustomerTable(customers);
  cr_expect_null(table.findByKey("shared"));
  cr_expect_not_null(table.findByKey("own"));
  cr_expect_eq(table.sharedKeyCount(), 1U);
}

// A configuration may hold thousands of keys.
Test(CustomerTable, FindsEachOfManyKeys) {
  constexpr auto Count = 20000;
  auto customers = std::vector<CustomerKeys>{};
  for (auto n = 0; n < Count; ++n)
    customers.push_back(
        {{fmt::format("c{}", n), std::nullopt}, {fmt::format("key-{}", n)}});
  auto const table = CustomerTable(customers);
  cr_expect_eq(table.keyCount(), std::size_t{Count});
  for (auto n = 0; n < Count; ++n)
    cr_assert(table.findByKey(fmt::format("key-{}", n))->Name ==
              fmt::format("c{}", n));
}

} // namespace dotterel::test
