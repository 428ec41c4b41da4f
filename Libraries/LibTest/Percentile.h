/// \file
/// Percentiles for the load tool and the bench. Not part of the product.
#pragma once

#include <algorithm>
#include <vector>

namespace dotterel {

/// Returns the value below which \p Part of \p Values lie; 0 if there are
/// none. Reorders \p Values.
[[nodiscard]] inline auto percentile(std::vector<double> &Values, double Part)
    -> double {
  if (Values.empty())
    return 0;
  auto n = static_cast<std::ptrdiff_t>(Part *
                                       static_cast<double>(Values.size() - 1));
  std::ranges::nth_element(Values, Values.begin() + n);
  return Values[static_cast<std::size_t>(n)];
}

} // namespace dotterel
