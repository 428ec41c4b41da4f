#include "LibPeer/Codec.h"

#include "LibPeer/CborNesting.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

/// First element of each encoded message. The numbers are part of the wire
/// format and must not change.
enum class MessageType : std::uint8_t {
  Hello = 1,
  Heartbeat = 2,
  ConfigurationRequest = 3,
  ConfigurationOffer = 4,
  ForwardedCall = 5,
  ForwardedResponse = 6,
};

auto toJson(DrainReference const &Drain) -> json {
  return json::array({Drain.Engine.text(), Drain.Order});
}

auto drainFrom(json const &Item) -> DrainReference {
  return {EngineId(Item.at(0).get<std::string>()), Item.at(1).get<OrderId>()};
}

auto drainsFrom(json const &List) -> std::vector<DrainReference> {
  auto drains = std::vector<DrainReference>{};
  for (auto const &it : List)
    drains.push_back(drainFrom(it));
  return drains;
}

auto toJson(std::vector<DrainReference> const &Drains) -> json {
  auto list = json::array();
  for (auto const &it : Drains)
    list.push_back(toJson(it));
  return list;
}

auto toJson(std::vector<ShardAnnouncement> const &Announcements) -> json {
  auto list = json::array();
  for (auto const &it : Announcements)
    list.push_back(
        json::array({it.Shard.text(), it.Fencing, toJson(it.Drains)}));
  return list;
}

auto announcementsFrom(json const &List) -> std::vector<ShardAnnouncement> {
  auto announcements = std::vector<ShardAnnouncement>{};
  for (auto const &it : List)
    announcements.push_back({ShardName(it.at(0).get<std::string>()),
                             it.at(1).get<FencingNumber>(),
                             drainsFrom(it.at(2))});
  return announcements;
}

auto beginMessage(MessageType Type) -> json {
  return json::array({static_cast<std::uint8_t>(Type)});
}

auto toJson(std::vector<ShardRelease> const &Releases) -> json {
  auto list = json::array();
  for (auto const &it : Releases)
    list.push_back(json::array({it.Shard.text(), it.Fencing}));
  return list;
}

auto releasesFrom(json const &List) -> std::vector<ShardRelease> {
  auto releases = std::vector<ShardRelease>{};
  for (auto const &it : List)
    releases.push_back({ShardName(it.at(0).get<std::string>()),
                        it.at(1).get<FencingNumber>()});
  return releases;
}

struct Encoder {
  auto operator()(PeerHello const &Message) const -> json {
    auto elements = beginMessage(MessageType::Hello);
    elements.push_back(Message.Version);
    elements.push_back(Message.Instance.text());
    elements.push_back(Message.Run);
    elements.push_back(Message.Key);
    return elements;
  }

  auto operator()(PeerHeartbeat const &Message) const -> json {
    auto elements = beginMessage(MessageType::Heartbeat);
    elements.push_back(Message.Run);
    elements.push_back(Message.Configuration);
    elements.push_back(Message.IsLeaving);
    elements.push_back(Message.CanReachObjectApi);
    elements.push_back(Message.OutstandingCalls);
    elements.push_back(Message.KeyPrefix);
    elements.push_back(toJson(Message.Announcements));
    elements.push_back(toJson(Message.AcknowledgedDrains));
    elements.push_back(toJson(Message.Releases));
    return elements;
  }

  auto operator()(ConfigurationRequest const & /*Message*/) const -> json {
    return beginMessage(MessageType::ConfigurationRequest);
  }

  auto operator()(ConfigurationOffer const &Message) const -> json {
    auto elements = beginMessage(MessageType::ConfigurationOffer);
    elements.push_back(Message.Number);
    elements.push_back(Message.Text);
    return elements;
  }

  auto operator()(ForwardedCall const &Message) const -> json {
    auto elements = beginMessage(MessageType::ForwardedCall);
    elements.push_back(Message.Call);
    elements.push_back(Message.OwnerRun);
    elements.push_back(Message.Caller.text());
    elements.push_back(Message.Service.text());
    elements.push_back(Message.Method);
    elements.push_back(Message.Path);
    elements.push_back(Message.Key.text());
    elements.push_back(toMilliseconds(Message.TimeLeft));
    elements.push_back(Message.ContentType);
    elements.push_back(json::binary(
        std::vector<std::uint8_t>(Message.Body.begin(), Message.Body.end())));
    return elements;
  }

  auto operator()(ForwardedResponse const &Message) const -> json {
    auto elements = beginMessage(MessageType::ForwardedResponse);
    elements.push_back(Message.Call);
    elements.push_back(Message.OriginRun);
    elements.push_back(static_cast<std::uint8_t>(Message.Result));
    elements.push_back(static_cast<std::uint16_t>(Message.Code));
    elements.push_back(Message.HttpStatus);
    elements.push_back(Message.ContentType);
    elements.push_back(json::binary(
        std::vector<std::uint8_t>(Message.Body.begin(), Message.Body.end())));
    return elements;
  }
};

auto bytesOf(json const &Binary) -> std::string {
  auto const &bytes = Binary.get_binary();
  return {bytes.begin(), bytes.end()};
}

auto helloFrom(json const &Elements) -> PeerHello {
  return {Elements.at(1).get<std::uint32_t>(),
          InstanceId(Elements.at(2).get<std::string>()),
          Elements.at(3).get<Incarnation>(), Elements.at(4).get<std::string>()};
}

auto heartbeatFrom(json const &Elements) -> PeerHeartbeat {
  auto message = PeerHeartbeat{};
  message.Run = Elements.at(1).get<Incarnation>();
  message.Configuration = Elements.at(2).get<Revision>();
  message.IsLeaving = Elements.at(3).get<bool>();
  message.CanReachObjectApi = Elements.at(4).get<bool>();
  message.OutstandingCalls = Elements.at(5).get<std::uint32_t>();
  message.KeyPrefix = Elements.at(6).get<std::string>();
  message.Announcements = announcementsFrom(Elements.at(7));
  message.AcknowledgedDrains = drainsFrom(Elements.at(8));
  message.Releases = releasesFrom(Elements.at(9));
  return message;
}

auto forwardedCallFrom(json const &Elements) -> ForwardedCall {
  auto message = ForwardedCall{};
  message.Call = Elements.at(1).get<CallId>();
  message.OwnerRun = Elements.at(2).get<Incarnation>();
  message.Caller = CallerName(Elements.at(3).get<std::string>());
  message.Service = ServiceName(Elements.at(4).get<std::string>());
  message.Method = Elements.at(5).get<std::string>();
  message.Path = Elements.at(6).get<std::string>();
  message.Key = IdempotencyKey(Elements.at(7).get<std::string>());
  message.TimeLeft =
      std::chrono::milliseconds(Elements.at(8).get<std::int32_t>());
  message.ContentType = Elements.at(9).get<std::string>();
  message.Body = bytesOf(Elements.at(10));
  return message;
}

/// Maps a number that this version does not know to Outcome::Unknown.
auto outcomeFrom(std::uint8_t Number) -> Outcome {
  if (Number > static_cast<std::uint8_t>(Outcome::Unknown))
    return Outcome::Unknown;
  return static_cast<Outcome>(Number);
}

/// Maps a number that this version does not know to ResultCode::AnswerLost.
auto resultCodeFrom(std::uint16_t Number) -> ResultCode {
  for (auto const &it : resultCodes())
    if (static_cast<std::uint16_t>(it.Code) == Number)
      return it.Code;
  return ResultCode::AnswerLost;
}

auto forwardedResponseFrom(json const &Elements) -> ForwardedResponse {
  auto message = ForwardedResponse{};
  message.Call = Elements.at(1).get<CallId>();
  message.OriginRun = Elements.at(2).get<Incarnation>();
  message.Result = outcomeFrom(Elements.at(3).get<std::uint8_t>());
  message.Code = resultCodeFrom(Elements.at(4).get<std::uint16_t>());
  message.HttpStatus = Elements.at(5).get<std::uint16_t>();
  message.ContentType = Elements.at(6).get<std::string>();
  message.Body = bytesOf(Elements.at(7));
  return message;
}

auto messageFrom(json const &Elements) -> std::optional<PeerMessage> {
  switch (static_cast<MessageType>(Elements.at(0).get<std::uint8_t>())) {
  case MessageType::Hello:
    return helloFrom(Elements);
  case MessageType::Heartbeat:
    return heartbeatFrom(Elements);
  case MessageType::ConfigurationRequest:
    return ConfigurationRequest{};
  case MessageType::ConfigurationOffer:
    return ConfigurationOffer{Elements.at(1).get<Revision>(),
                              Elements.at(2).get<std::string>()};
  case MessageType::ForwardedCall:
    return forwardedCallFrom(Elements);
  case MessageType::ForwardedResponse:
    return forwardedResponseFrom(Elements);
  }
  return std::nullopt;
}

} // namespace

auto encodePeerMessage(PeerMessage const &Message)
    -> std::vector<std::uint8_t> {
  return json::to_cbor(std::visit(Encoder{}, Message));
}

auto decodePeerMessage(std::span<std::uint8_t const> Bytes)
    -> std::optional<PeerMessage> {
  if (!isFlatCbor(Bytes))
    return std::nullopt;
  try {
    auto elements = json::from_cbor(Bytes);
    if (!elements.is_array() || elements.empty())
      return std::nullopt;
    return messageFrom(elements);
  } catch (json::exception const &) {
    return std::nullopt;
  }
}

} // namespace dotterel
