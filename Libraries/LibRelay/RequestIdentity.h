/// \file
/// Recognises requests that come again, at any instance and with a new id.
#pragma once

#include "LibRelay/Request.h"

#include <array>
#include <cstdint>
#include <string>

namespace dotterel::relay {

/// Identifies what several requests have in common: their content, their
/// caller, or a segment of their prompts.
using SuspectKey = std::uint64_t;

/// The keys under which a request is recognised. What makes a caller is not
/// known: it may name itself in a header field, or have an address of its own.
struct RequestIdentity {
  /// Content, address of the caller and all other header fields except the
  /// request's id.
  SuspectKey Exact = 0;
  /// Content and the other header fields.
  SuspectKey Fields = 0;
  /// Content and the address of the caller.
  SuspectKey Caller = 0;
  /// Method, host, path with query, body, model and prompt.
  SuspectKey Content = 0;
  /// The fields of \ref Path and the address of the caller.
  SuspectKey CallerPath = 0;
  /// Method, host, path without query, and the body, or the prompt if there is
  /// no body.
  SuspectKey Path = 0;

  auto operator==(RequestIdentity const &) const -> bool = default;

  /// Returns the keys, the most specific one first.
  [[nodiscard]] auto keys() const -> std::array<SuspectKey, 6> {
    return {Exact, Fields, Caller, Content, CallerPath, Path};
  }
};

enum class SuspectKind : std::uint8_t {
  /// A segment of prompts for one model.
  Segment,
  /// A request, wherever it comes again.
  Request,
  /// One of several requests of which only one may be the cause.
  AmbiguousRequest,
  /// One of several segments of which only one may be the cause.
  AmbiguousSegment,
};

/// Thread safety, of both: safe from any thread.
[[nodiscard]] constexpr auto isSegment(SuspectKind Kind) -> bool {
  return Kind == SuspectKind::Segment || Kind == SuspectKind::AmbiguousSegment;
}

[[nodiscard]] constexpr auto isAmbiguous(SuspectKind Kind) -> bool {
  return Kind == SuspectKind::AmbiguousRequest ||
         Kind == SuspectKind::AmbiguousSegment;
}

/// Returns the name of \p Kind as used in logs.
[[nodiscard]] auto toString(SuspectKind Kind) -> std::string_view;

/// What may crash servers.
struct Suspect {
  SuspectKey Key = 0;
  SuspectKind Kind = SuspectKind::Segment;

  auto operator==(Suspect const &) const -> bool = default;
};

/// Returns the identity of \p Source. Thread safety: safe from any thread.
[[nodiscard]] auto identify(Request const &Source) -> RequestIdentity;

/// Returns the keys of \p Identity as used in logs: hashes in the order of the
/// members, separated by commas.
[[nodiscard]] auto toString(RequestIdentity const &Identity) -> std::string;

} // namespace dotterel::relay
