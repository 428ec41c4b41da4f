/// \file
/// Parsing of callers' HTTP requests.
#pragma once

#include "LibControl/Event.h"
#include "LibNet/HttpServer.h"

namespace dotterel {

/// A parsed completion request.
struct CompletionRequest {
  CallRequest Call;
  bool IsStreaming = false;
};

/// Parses a completion or chat completion and releases the request body.
/// Errors: dotterel::Error MalformedRequest that names the field.
[[nodiscard]] auto parseCompletion(HttpExchange &Exchange, bool IsChat)
    -> CompletionRequest;

/// Parses a call to a plain service under "/services/{name}/{path}".
/// Errors: dotterel::Error MalformedRequest or UnknownPath.
[[nodiscard]] auto parseServiceCall(HttpExchange &Exchange) -> CallRequest;

/// Returns the name in the Dotterel-Caller header, or an empty name.
/// Errors: dotterel::Error MalformedRequest if the name is too long.
[[nodiscard]] auto callerOf(HttpExchange const &Exchange) -> CallerName;

} // namespace dotterel
