#include "LibPeer/CborNesting.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

/// Rejects documents with objects or with more than MaximumDepth nested arrays,
/// without building them.
class NestingCheck final : public nlohmann::json_sax<json> {
public:
  auto null() -> bool override { return true; }
  auto boolean(bool /*Value*/) -> bool override { return true; }
  auto number_integer(number_integer_t /*Value*/) -> bool override {
    return true;
  }
  auto number_unsigned(number_unsigned_t /*Value*/) -> bool override {
    return true;
  }
  auto number_float(number_float_t /*Value*/, string_t const & /*Text*/)
      -> bool override {
    return true;
  }
  auto string(string_t & /*Value*/) -> bool override { return true; }
  auto binary(binary_t & /*Value*/) -> bool override { return true; }
  auto start_object(std::size_t /*Count*/) -> bool override { return false; }
  auto key(string_t & /*Name*/) -> bool override { return false; }
  auto end_object() -> bool override { return false; }
  auto start_array(std::size_t /*Count*/) -> bool override {
    return ++Depth <= MaximumDepth;
  }
  auto end_array() -> bool override {
    --Depth;
    return true;
  }
  auto parse_error(std::size_t /*Position*/, std::string const & /*Token*/,
                   json::exception const & /*Error*/) -> bool override {
    return false;
  }

private:
  static constexpr auto MaximumDepth = 8;
  int Depth = 0;
};

} // namespace

auto isFlatCbor(std::span<std::uint8_t const> Bytes) -> bool {
  auto check = NestingCheck{};
  return json::sax_parse(Bytes, &check, json::input_format_t::cbor);
}

} // namespace dotterel
