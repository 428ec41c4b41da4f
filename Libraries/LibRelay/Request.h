/// \file
/// A request as received from a caller, with the fields that placement uses.
#pragma once

#include "LibCore/Time.h"
#include "LibNet/HttpField.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::relay {

/// Unique within one incarnation of an instance.
using RequestNumber = std::uint64_t;

/// A segment of a prompt that other prompts may share.
struct PromptSegment {
  std::uint64_t Hash = 0;
  std::uint32_t Tokens = 0;
};

/// The fields with which a caller says on whose behalf it asks.
struct Credentials {
  /// As they were received; forwarded only if there are no customers.
  std::vector<HttpField> Fields;
  /// The key, if there is exactly one in the expected form. Secret: must not be
  /// logged, reported or forwarded.
  std::optional<std::string> Key;
  /// There is a key field that cannot be read, or more than one.
  bool IsInvalid = false;
};

/// A request as it was received. Immutable once it is shared.
struct Request {
  std::string Method;
  /// Path with query; forwarded unchanged.
  std::string Target;
  std::string Host;
  /// The other header fields to forward.
  std::vector<HttpField> Fields;
  relay::Credentials Credentials;
  std::string Body;
  /// Request id that the caller chose.
  std::string Id;
  /// IP address that the request came from; empty if it is not known.
  std::string CallerAddress;
  /// Time that the caller waits, counted from the arrival of the request.
  std::optional<Duration> TimeLimit;
  std::string Model;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
  std::vector<PromptSegment> PromptSegments;
  /// Id of the last event of the stream that the caller already has.
  std::optional<std::uint64_t> LastEventId;

  [[nodiscard]] auto path() const -> std::string_view {
    return std::string_view(Target).substr(0, Target.find('?'));
  }
};

using RequestPointer = std::shared_ptr<Request const>;

} // namespace dotterel::relay
