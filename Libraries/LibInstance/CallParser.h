/// \file
/// Parsing of callers' requests.
#pragma once

#include "LibControl/Event.h"
#include "LibNet/HttpServer.h"

namespace dotterel {

/// A completion request as parsed.
struct CompletionRequest {
  CallRequest Call;
  bool IsStreaming = false;
};

/// Parses a completion or chat completion.
/// Errors: dotterel::Error MalformedRequest that names the field.
[[nodiscard]] auto parseCompletion(HttpExchange &Target, bool IsChat)
    -> CompletionRequest;

/// Parses a call to a plain service under "/services/{name}/{path}".
/// Errors: dotterel::Error MalformedRequest or UnknownPath.
[[nodiscard]] auto parseServiceCall(HttpExchange &Target) -> CallRequest;

/// Returns the name of the caller, or an empty name.
[[nodiscard]] auto callerOf(HttpExchange const &Target) -> CallerName;

} // namespace dotterel
