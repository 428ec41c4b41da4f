/// \file
/// Encoding of peer messages as CBOR.
#pragma once

#include "LibPeer/Message.h"

#include <optional>
#include <span>

namespace dotterel {

/// Encodes \p Message. Thread safety: safe from any thread.
[[nodiscard]] auto encodePeerMessage(PeerMessage const &Message)
    -> std::vector<std::uint8_t>;

/// Decodes \p Bytes. Returns std::nullopt if they are not a complete,
/// well-formed message of this protocol version. Thread safety: safe from any
/// thread.
[[nodiscard]] auto decodePeerMessage(std::span<std::uint8_t const> Bytes)
    -> std::optional<PeerMessage>;

} // namespace dotterel
