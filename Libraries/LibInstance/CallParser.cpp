#include "LibInstance/CallParser.h"

#include "LibCore/Error.h"
#include "LibCore/Hash.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

/// Estimate for the length of prompts, which are not tokenized here.
constexpr auto BytesPerToken = std::size_t{4};
constexpr auto BytesPerPrefixBlock = std::size_t{8000};
constexpr auto DefaultOutputTokens = std::int64_t{256};
constexpr auto MaximumOutputTokens = std::int64_t{131072};
constexpr auto MaximumNameBytes = std::size_t{128};
constexpr auto MaximumKeyBytes = std::size_t{256};
constexpr auto MaximumNestingLevels = 64;
constexpr auto ServicePrefix = std::string_view{"/services/"};

[[noreturn]] auto fail(std::string const &Message) -> void {
  throw Error(ResultCode::MalformedRequest, Message);
}

/// Returns whether \p Text nests deeper than MaximumNestingLevels. The JSON
/// library serializes and destroys documents recursively, so deep nesting could
/// overflow the stack.
auto isNestedTooDeeply(std::string_view Text) -> bool {
  auto depth = 0;
  auto isInString = false;
  for (auto n = std::size_t{0}; n < Text.size(); ++n) {
    auto c = Text[n];
    if (isInString && c == '\\') {
      ++n;
      continue;
    }
    if (c == '"')
      isInString = !isInString;
    if (isInString)
      continue;
    if (c == '[' || c == '{')
      ++depth;
    if (c == ']' || c == '}')
      --depth;
    if (depth > MaximumNestingLevels)
      return true;
  }
  return false;
}

auto parseObject(std::string const &Text) -> json {
  if (isNestedTooDeeply(Text))
    fail(fmt::format("the body nests deeper than {} levels",
                     MaximumNestingLevels));
  auto body = json::parse(Text, nullptr, false);
  if (!body.is_object())
    fail("the body is not a JSON object");
  return body;
}

auto promptOf(json const &Body, bool IsChat) -> std::string {
  if (!IsChat) {
    if (!Body.contains("prompt") || !Body.at("prompt").is_string())
      fail("field 'prompt' must be a string");
    return Body.at("prompt").get<std::string>();
  }
  if (!Body.contains("messages") || !Body.at("messages").is_array() ||
      Body.at("messages").empty())
    fail("field 'messages' must be a non-empty array");
  for (auto const &it : Body.at("messages"))
    if (!it.is_object() || !it.contains("role") || !it.contains("content"))
      fail("each item of 'messages' must be an object with 'role' and "
           "'content'");
  return Body.at("messages").dump();
}

auto maximumTokensOf(json const &Body) -> std::uint32_t {
  if (!Body.contains("max_tokens"))
    return DefaultOutputTokens;
  auto const &field = Body.at("max_tokens");
  if (!field.is_number_integer() || field.get<std::int64_t>() < 1 ||
      field.get<std::int64_t>() > MaximumOutputTokens)
    fail(fmt::format("field 'max_tokens' must be an integer from 1 to {}",
                     MaximumOutputTokens));
  return field.get<std::uint32_t>();
}

auto modelOf(json const &Body) -> ModelName {
  if (!Body.contains("model") || !Body.at("model").is_string())
    fail("field 'model' must be a string");
  return ModelName(Body.at("model").get<std::string>());
}

auto isStreaming(json const &Body) -> bool {
  if (!Body.contains("stream"))
    return false;
  if (!Body.at("stream").is_boolean())
    fail("field 'stream' must be true or false");
  return Body.at("stream").get<bool>();
}

auto deadlineOf(HttpExchange const &Exchange) -> std::optional<Duration> {
  auto text = Exchange.field("Dotterel-Deadline-Ms");
  if (text.empty())
    return std::nullopt;
  auto number = std::int32_t{0};
  auto const *end = text.data() + text.size();
  auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc{} || result.ptr != end || number <= 0)
    fail(fmt::format(
        "header 'Dotterel-Deadline-Ms' must be a positive integer, not '{}'",
        text));
  return std::chrono::milliseconds(number);
}

auto estimateTokens(std::string const &Prompt) -> std::uint32_t {
  return static_cast<std::uint32_t>(Prompt.size() / BytesPerToken + 1);
}

} // namespace

auto callerOf(HttpExchange const &Exchange) -> CallerName {
  auto name = Exchange.field("Dotterel-Caller");
  if (name.size() > MaximumNameBytes)
    fail(fmt::format("header 'Dotterel-Caller' exceeds {} bytes",
                     MaximumNameBytes));
  return CallerName(std::move(name));
}

auto parseCompletion(HttpExchange &Exchange, bool IsChat) -> CompletionRequest {
  auto body = parseObject(Exchange.body());
  auto request = CompletionRequest{};
  auto &call = request.Call;
  request.IsStreaming = isStreaming(body);
  call.Kind = CallKind::Completion;
  call.Caller = callerOf(Exchange);
  call.RequestedDeadline = deadlineOf(Exchange);
  call.Model = modelOf(body);
  auto prompt = promptOf(body, IsChat);
  call.PromptTokens = estimateTokens(prompt);
  call.PrefixHashes = hashPrefixes(prompt, BytesPerPrefixBlock);
  call.MaximumTokens = maximumTokensOf(body);
  call.Method = "POST";
  call.Path = std::string(Exchange.path());
  call.ContentType = "application/json";
  body["stream"] = true;
  body["max_tokens"] = call.MaximumTokens;
  call.Body = std::make_shared<std::string const>(
      body.dump(-1, ' ', false, json::error_handler_t::replace));
  // Frees the request body, which is not needed while the response is sent.
  std::string().swap(Exchange.body());
  return request;
}

auto parseServiceCall(HttpExchange &Exchange) -> CallRequest {
  auto rest = Exchange.path().substr(ServicePrefix.size());
  auto slash = rest.find('/');
  if (slash == 0 || slash == std::string_view::npos)
    throw Error(ResultCode::UnknownPath,
                fmt::format("expected /services/{{name}}/{{path}}, got '{}'",
                            Exchange.path()));
  auto call = CallRequest{};
  call.Kind = CallKind::Service;
  call.Caller = callerOf(Exchange);
  call.RequestedDeadline = deadlineOf(Exchange);
  call.Service = ServiceName(std::string(rest.substr(0, slash)));
  call.Path = std::string(rest.substr(slash));
  call.Method = std::string(Exchange.method());
  auto key = Exchange.field("Idempotency-Key");
  if (key.size() > MaximumKeyBytes)
    fail(fmt::format("header 'Idempotency-Key' exceeds {} bytes",
                     MaximumKeyBytes));
  call.Key = IdempotencyKey(std::move(key));
  call.ContentType = Exchange.field("Content-Type");
  call.Body = std::make_shared<std::string const>(std::move(Exchange.body()));
  return call;
}

} // namespace dotterel
