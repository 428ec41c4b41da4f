#include "LibNet/Endpoint.h"

#include <charconv>
#include <stdexcept>
#include <string>

namespace dotterel {

auto findEndpoint(std::string_view Address)
    -> std::optional<asio::ip::tcp::endpoint> {
  auto colon = Address.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  auto text = Address.substr(colon + 1);
  auto port = std::uint16_t{0};
  auto const *end = text.data() + text.size();
  auto result = std::from_chars(text.data(), end, port);
  auto ec = boost::system::error_code{};
  auto ip = asio::ip::make_address(std::string(Address.substr(0, colon)), ec);
  if (result.ec != std::errc{} || result.ptr != end || ec)
    return std::nullopt;
  return asio::ip::tcp::endpoint(ip, port);
}

auto parseEndpoint(std::string_view Address) -> asio::ip::tcp::endpoint {
  auto endpoint = findEndpoint(Address);
  if (!endpoint)
    throw std::invalid_argument("invalid address '" + std::string(Address) +
                                "': expected ip:port");
  return *endpoint;
}

} // namespace dotterel
