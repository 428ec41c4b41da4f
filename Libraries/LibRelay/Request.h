/// \file
/// A request as a caller sent it, with what placement needs to know of it.
#pragma once

#include "LibCore/Time.h"
#include "LibNet/HttpField.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::relay {

/// Number of a request, unique within one incarnation of an instance.
using RequestNumber = std::uint64_t;

/// A piece of a prompt that other prompts may begin with too.
struct PromptSegment {
  std::uint64_t Hash = 0;
  std::uint32_t Tokens = 0;
};

/// A request as it was received. Immutable once it is shared.
struct Request {
  std::string Method;
  /// Path with query, passed on unchanged.
  std::string Target;
  std::string Host;
  /// The other header fields that are passed on.
  std::vector<HttpField> Fields;
  std::string Body;
  /// The caller's name for this request.
  std::string Id;
  /// Time that the caller waits, from when the request was received.
  std::optional<Duration> TimeLimit;
  std::string Model;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
  std::vector<PromptSegment> PromptSegments;
  /// Last event of a stream that the caller already has.
  std::uint64_t LastEventId = 0;

  [[nodiscard]] auto path() const -> std::string_view {
    return std::string_view(Target).substr(0, Target.find('?'));
  }
};

using RequestPointer = std::shared_ptr<Request const>;

} // namespace dotterel::relay
