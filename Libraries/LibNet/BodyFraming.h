/// \file
/// How the end of a message body is marked in HTTP/1.1.
#pragma once

#include <cstdint>
#include <string_view>

namespace dotterel {

enum class BodyFraming : std::uint8_t {
  /// A Content-Length field, or a message that has no body.
  Length,
  Chunked,
  /// Neither: the body ends when the sender closes the connection.
  UntilClose,
};

/// Returns the name of \p Framing as used in logs and metrics. Thread safety:
/// none needed.
[[nodiscard]] constexpr auto toString(BodyFraming Framing) -> std::string_view {
  switch (Framing) {
  case BodyFraming::Length:
    return "length";
  case BodyFraming::Chunked:
    return "chunked";
  case BodyFraming::UntilClose:
    return "until-close";
  }
  return "unknown";
}

} // namespace dotterel
