#include "LibCore/Hash.h"

#include <string>

#include <criterion/criterion.h>

namespace dotterel::test {

Test(Hash, PrefixesAreEqualUpToTheFirstDifference) {
  auto left = std::string(40, 'a');
  auto right = left;
  right[25] = 'b';
  auto leftHashes = hashPrefixes(left, 10);
  auto rightHashes = hashPrefixes(right, 10);
  cr_assert_eq(leftHashes.size(), 4);
  cr_assert_eq(leftHashes[1], rightHashes[1]);
  cr_assert_neq(leftHashes[2], rightHashes[2]);
  cr_assert_neq(leftHashes[3], rightHashes[3]);
}

Test(Hash, IncompleteBlockIsIgnored) {
  cr_assert(hashPrefixes("short", 10).empty());
}

Test(Hash, ComparesSecrets) {
  cr_assert(equalsInConstantTime("secret", "secret"));
  cr_assert_not(equalsInConstantTime("secret", "secres"));
  cr_assert_not(equalsInConstantTime("secret", "secre"));
}

} // namespace dotterel::test
