/// \file
/// Datagrams with which an instance asks another one for the permit to send a
/// request to a server that names a limit.
#pragma once

#include "LibCore/Time.h"
#include "LibRelay/AttemptId.h"
#include "LibRelay/ServerHistory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace dotterel::relay {

/// Asks for a permit. Names the limit that the sender knows, because the
/// receiver may not have learned of it.
struct PermitRequest {
  ServerKey Server = 0;
  /// The attempt that needs the permit, and the incarnation of its instance.
  AttemptId Attempt;
  std::uint64_t Incarnation = 0;
  double PerSecond = 0;
  /// Time since a response of the server named the limit.
  Duration Age{};
};

struct PermitResponse {
  ServerKey Server = 0;
  /// As in the request.
  AttemptId Attempt;
  std::uint64_t Incarnation = 0;
  bool IsGranted = false;
  /// If the permit is not granted: time after which to ask again.
  Duration Wait{};
};

using PermitMessage = std::variant<PermitRequest, PermitResponse>;

/// Thread safety: safe from any thread.
[[nodiscard]] auto encodePermitMessage(PermitMessage const &Message)
    -> std::string;

/// Returns std::nullopt if \p Bytes is not a valid message. Thread safety: safe
/// from any thread.
[[nodiscard]] auto decodePermitMessage(std::string_view Bytes)
    -> std::optional<PermitMessage>;

} // namespace dotterel::relay
