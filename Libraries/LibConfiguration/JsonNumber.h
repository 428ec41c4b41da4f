/// \file
/// Reads numbers from JSON and CBOR values of any type.
#pragma once

#include <cmath>
#include <cstdint>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace dotterel {

/// Returns the number \p Source as \p T. Fractions are dropped if \p T is an
/// integer. Errors: std::invalid_argument if it is no number, or not between
/// \p Minimum and \p Maximum. Thread safety: any thread.
template <typename T>
[[nodiscard]] auto readNumber(nlohmann::json const &Source, T Minimum,
                              T Maximum) -> T {
  auto fail = [&]() -> T {
    constexpr auto ShownBytes = std::size_t{40};
    auto const text = Source.is_number() ? Source.dump() : Source.type_name();
    throw std::invalid_argument(
        fmt::format("{} where a number from {} to {} is expected",
                    text.substr(0, ShownBytes), Minimum, Maximum));
  };
  if (Source.is_number_unsigned()) {
    auto const n = Source.get<std::uint64_t>();
    if (static_cast<long double>(n) < static_cast<long double>(Minimum) ||
        static_cast<long double>(n) > static_cast<long double>(Maximum))
      return fail();
    return static_cast<T>(n);
  }
  if (!Source.is_number())
    return fail();
  auto const n = Source.get<double>();
  // Larger ones cannot be converted exactly.
  constexpr auto LargestWhole = 9007199254740992.0;
  if (std::is_integral_v<T> && std::abs(n) > LargestWhole)
    return fail();
  // Written so that a value that is not a number fails, too.
  if (!(n >= static_cast<double>(Minimum) && n <= static_cast<double>(Maximum)))
    return fail();
  return static_cast<T>(n);
}

/// Returns the number \p Source as \p T, of the whole range that is not
/// negative. Errors and thread safety: as above.
template <typename T>
[[nodiscard]] auto readNumber(nlohmann::json const &Source) -> T {
  return readNumber<T>(Source, T{0}, std::numeric_limits<T>::max());
}

} // namespace dotterel
