#include "LibRelay/PermitMessage.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace dotterel::relay {

namespace {

using nlohmann::json;

/// First field of a message, which names its kind.
constexpr auto RequestKind = 1;
constexpr auto ResponseKind = 2;
constexpr auto FieldCount = std::size_t{7};

/// Returns the fields that all messages share.
template <typename T> auto encodeHeader(int Kind, T const &Message) -> json {
  return json::array({Kind, Message.Server, Message.Attempt.Request,
                      Message.Attempt.Number, Message.Incarnation});
}

template <typename T> auto decodeHeader(json const &Source) -> T {
  auto message = T{};
  message.Server = Source[1].get<ServerKey>();
  message.Attempt.Request = Source[2].get<RequestNumber>();
  message.Attempt.Number = Source[3].get<std::uint32_t>();
  message.Incarnation = Source[4].get<std::uint64_t>();
  return message;
}

auto encode(PermitRequest const &Message) -> json {
  auto fields = encodeHeader(RequestKind, Message);
  fields.push_back(Message.PerSecond);
  fields.push_back(toMilliseconds(Message.Age));
  return fields;
}

auto encode(PermitResponse const &Message) -> json {
  auto fields = encodeHeader(ResponseKind, Message);
  fields.push_back(Message.IsGranted);
  fields.push_back(toMilliseconds(Message.Wait));
  return fields;
}

auto decodeMilliseconds(json const &Source) -> Duration {
  return std::chrono::milliseconds(Source.get<std::uint32_t>());
}

} // namespace

auto encodePermitMessage(PermitMessage const &Message) -> std::string {
  auto bytes = std::string{};
  json::to_cbor(
      std::visit([](auto const &Alternative) { return encode(Alternative); },
                 Message),
      bytes);
  return bytes;
}

auto decodePermitMessage(std::string_view Bytes)
    -> std::optional<PermitMessage> {
  try {
    auto document = json::from_cbor(Bytes);
    if (!document.is_array() || document.size() != FieldCount)
      return std::nullopt;
    auto kind = document[0].get<int>();
    if (kind == RequestKind) {
      auto request = decodeHeader<PermitRequest>(document);
      request.PerSecond = document[5].get<double>();
      request.Age = decodeMilliseconds(document[6]);
      if (!std::isfinite(request.PerSecond) || request.PerSecond < 0)
        return std::nullopt;
      return request;
    }
    if (kind != ResponseKind)
      return std::nullopt;
    auto response = decodeHeader<PermitResponse>(document);
    response.IsGranted = document[5].get<bool>();
    response.Wait = decodeMilliseconds(document[6]);
    return response;
  } catch (json::exception const &) {
    // Not a valid message; the function's caller counts and logs it.
    return std::nullopt;
  }
}

} // namespace dotterel::relay
