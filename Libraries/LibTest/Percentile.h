/// \file
/// Percentiles for the load generator and the decision bench. Not part of the
/// product.
#pragma once

#include <algorithm>
#include <vector>

namespace dotterel {

/// Returns the value below which the fraction \p Fraction of \p Values lies;
/// 0 if there are no values. Reorders \p Values.
/// Precondition: \p Fraction is between 0 and 1.
[[nodiscard]] inline auto percentile(std::vector<double> &Values,
                                     double Fraction) -> double {
  if (Values.empty())
    return 0;
  auto n = static_cast<std::ptrdiff_t>(Fraction *
                                       static_cast<double>(Values.size() - 1));
  std::ranges::nth_element(Values, Values.begin() + n);
  return Values[static_cast<std::size_t>(n)];
}

} // namespace dotterel
