/// \file
/// Bounds the nesting of CBOR before it is decoded.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace dotterel {

/// Returns whether \p Bytes are CBOR without objects and with few nested
/// arrays. json::from_cbor recurses once per level, so deeper input could
/// overflow the stack. Thread safety: any thread.
[[nodiscard]] auto isFlatCbor(std::span<std::uint8_t const> Bytes) -> bool;

/// Returns the bytes of \p Text. Thread safety: any thread.
[[nodiscard]] inline auto asBytes(std::string_view Text)
    -> std::span<std::uint8_t const> {
  return {reinterpret_cast<std::uint8_t const *>(Text.data()), Text.size()};
}

} // namespace dotterel
