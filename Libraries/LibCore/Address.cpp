#include "LibCore/Address.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <string>

namespace dotterel {

namespace {

constexpr auto FirstNonAscii = 128U;

} // namespace

auto isAddress(std::string_view Text) -> bool {
  auto const colon = Text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  auto ip = in_addr{};
  if (::inet_pton(AF_INET, std::string(Text.substr(0, colon)).c_str(), &ip) !=
      1)
    return false;
  auto const digits = Text.substr(colon + 1);
  auto port = std::uint16_t{0};
  auto const *end = digits.data() + digits.size();
  auto const parsed = std::from_chars(digits.data(), end, port);
  return parsed.ec == std::errc{} && parsed.ptr == end && port > 0;
}

auto isName(std::string_view Text) -> bool {
  return isLabel(Text) && std::ranges::all_of(Text, [](unsigned char it) {
           return it > ' ' && it < FirstNonAscii;
         });
}

auto isLabel(std::string_view Text) -> bool {
  constexpr auto MaximumBytes = std::size_t{256};
  return !Text.empty() && Text.size() <= MaximumBytes &&
         std::ranges::none_of(
             Text, [](unsigned char it) { return std::iscntrl(it) != 0; });
}

} // namespace dotterel
