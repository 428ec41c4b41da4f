#include "LibRelay/PermitMessage.h"

#include "LibConfiguration/JsonNumber.h"
#include "LibPeer/CborArray.h"

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
  message.Server = readNumber<ServerKey>(Source[1]);
  message.Attempt.Request = readNumber<RequestNumber>(Source[2]);
  message.Attempt.Number = readNumber<std::uint32_t>(Source[3]);
  message.Incarnation = readNumber<std::uint64_t>(Source[4]);
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
  return std::chrono::milliseconds(readNumber<std::uint32_t>(Source));
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
  return readCborArray(Bytes,
                       [](json const &Source) -> std::optional<PermitMessage> {
                         if (Source.size() != FieldCount)
                           return std::nullopt;
                         auto kind = readNumber<int>(Source[0]);
                         if (kind == RequestKind) {
                           auto request = decodeHeader<PermitRequest>(Source);
                           request.PerSecond = readNumber<double>(Source[5]);
                           request.Age = decodeMilliseconds(Source[6]);
                           return request;
                         }
                         if (kind != ResponseKind)
                           return std::nullopt;
                         auto response = decodeHeader<PermitResponse>(Source);
                         response.IsGranted = Source[5].get<bool>();
                         response.Wait = decodeMilliseconds(Source[6]);
                         return response;
                       });
}

} // namespace dotterel::relay
