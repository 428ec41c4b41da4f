/// \file
/// Reads datagrams that consist of one CBOR array.
#pragma once

#include "LibPeer/CborNesting.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string_view>

namespace dotterel {

/// Returns what \p Read returns for the array in \p Bytes, or std::nullopt if
/// there is none or \p Read throws because an element is malformed.
/// Precondition: \p Read returns an optional. Thread safety: any thread.
template <typename Reader>
[[nodiscard]] auto readCborArray(std::string_view Bytes, Reader Read)
    -> decltype(Read(nlohmann::json{})) {
  try {
    if (!isFlatCbor(asBytes(Bytes)))
      return std::nullopt;
    auto const document = nlohmann::json::from_cbor(Bytes);
    if (!document.is_array() || document.empty())
      return std::nullopt;
    return Read(document);
  } catch (nlohmann::json::exception const &) {
    // Not a valid message; the caller of this function counts and logs it.
    return std::nullopt;
  } catch (std::invalid_argument const &) {
    // The same: a number is out of range.
    return std::nullopt;
  }
}

} // namespace dotterel
