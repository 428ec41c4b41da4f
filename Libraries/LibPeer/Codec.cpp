#include "LibPeer/Codec.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

/// First element of every message on the wire; never renumbered.
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

auto envelope(MessageType Type) -> json {
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
    auto out = envelope(MessageType::Hello);
    out.push_back(Message.Version);
    out.push_back(Message.Instance.text());
    out.push_back(Message.Run);
    out.push_back(Message.Key);
    return out;
  }

  auto operator()(PeerHeartbeat const &Message) const -> json {
    auto out = envelope(MessageType::Heartbeat);
    out.push_back(Message.Run);
    out.push_back(Message.Configuration);
    out.push_back(Message.IsLeaving);
    out.push_back(Message.CanReachObjectApi);
    out.push_back(Message.OutstandingCalls);
    out.push_back(Message.KeyPrefix);
    out.push_back(toJson(Message.Announcements));
    out.push_back(toJson(Message.AcknowledgedDrains));
    out.push_back(toJson(Message.Releases));
    return out;
  }

  auto operator()(ConfigurationRequest const & /*Message*/) const -> json {
    return envelope(MessageType::ConfigurationRequest);
  }

  auto operator()(ConfigurationOffer const &Message) const -> json {
    auto out = envelope(MessageType::ConfigurationOffer);
    out.push_back(Message.Number);
    out.push_back(Message.Text);
    return out;
  }

  auto operator()(ForwardedCall const &Message) const -> json {
    auto out = envelope(MessageType::ForwardedCall);
    out.push_back(Message.Call);
    out.push_back(Message.OwnerRun);
    out.push_back(Message.Caller.text());
    out.push_back(Message.Service.text());
    out.push_back(Message.Method);
    out.push_back(Message.Path);
    out.push_back(Message.Key.text());
    out.push_back(toMilliseconds(Message.TimeLeft));
    out.push_back(Message.ContentType);
    out.push_back(json::binary(
        std::vector<std::uint8_t>(Message.Body.begin(), Message.Body.end())));
    return out;
  }

  auto operator()(ForwardedResponse const &Message) const -> json {
    auto out = envelope(MessageType::ForwardedResponse);
    out.push_back(Message.Call);
    out.push_back(Message.OriginRun);
    out.push_back(static_cast<std::uint8_t>(Message.Result));
    out.push_back(static_cast<std::uint16_t>(Message.Code));
    out.push_back(Message.HttpStatus);
    out.push_back(Message.ContentType);
    out.push_back(json::binary(
        std::vector<std::uint8_t>(Message.Body.begin(), Message.Body.end())));
    return out;
  }
};

auto textOf(json const &Binary) -> std::string {
  auto const &bytes = Binary.get_binary();
  return {bytes.begin(), bytes.end()};
}

auto helloFrom(json const &In) -> PeerHello {
  return {In.at(1).get<std::uint32_t>(),
          InstanceId(In.at(2).get<std::string>()), In.at(3).get<Incarnation>(),
          In.at(4).get<std::string>()};
}

auto heartbeatFrom(json const &In) -> PeerHeartbeat {
  auto message = PeerHeartbeat{};
  message.Run = In.at(1).get<Incarnation>();
  message.Configuration = In.at(2).get<Revision>();
  message.IsLeaving = In.at(3).get<bool>();
  message.CanReachObjectApi = In.at(4).get<bool>();
  message.OutstandingCalls = In.at(5).get<std::uint32_t>();
  message.KeyPrefix = In.at(6).get<std::string>();
  message.Announcements = announcementsFrom(In.at(7));
  message.AcknowledgedDrains = drainsFrom(In.at(8));
  message.Releases = releasesFrom(In.at(9));
  return message;
}

auto forwardedCallFrom(json const &In) -> ForwardedCall {
  auto message = ForwardedCall{};
  message.Call = In.at(1).get<CallId>();
  message.OwnerRun = In.at(2).get<Incarnation>();
  message.Caller = CallerName(In.at(3).get<std::string>());
  message.Service = ServiceName(In.at(4).get<std::string>());
  message.Method = In.at(5).get<std::string>();
  message.Path = In.at(6).get<std::string>();
  message.Key = IdempotencyKey(In.at(7).get<std::string>());
  message.TimeLeft = std::chrono::milliseconds(In.at(8).get<std::int32_t>());
  message.ContentType = In.at(9).get<std::string>();
  message.Body = textOf(In.at(10));
  return message;
}

auto outcomeFrom(std::uint8_t Number) -> Outcome {
  if (Number > static_cast<std::uint8_t>(Outcome::Unknown))
    return Outcome::Unknown;
  return static_cast<Outcome>(Number);
}

auto codeFrom(std::uint16_t Number) -> ResultCode {
  for (auto const &it : resultCodes())
    if (static_cast<std::uint16_t>(it.Code) == Number)
      return it.Code;
  return ResultCode::AnswerLost;
}

auto forwardedResponseFrom(json const &In) -> ForwardedResponse {
  auto message = ForwardedResponse{};
  message.Call = In.at(1).get<CallId>();
  message.OriginRun = In.at(2).get<Incarnation>();
  message.Result = outcomeFrom(In.at(3).get<std::uint8_t>());
  message.Code = codeFrom(In.at(4).get<std::uint16_t>());
  message.HttpStatus = In.at(5).get<std::uint16_t>();
  message.ContentType = In.at(6).get<std::string>();
  message.Body = textOf(In.at(7));
  return message;
}

auto messageFrom(json const &In) -> std::optional<PeerMessage> {
  switch (static_cast<MessageType>(In.at(0).get<std::uint8_t>())) {
  case MessageType::Hello:
    return helloFrom(In);
  case MessageType::Heartbeat:
    return heartbeatFrom(In);
  case MessageType::ConfigurationRequest:
    return ConfigurationRequest{};
  case MessageType::ConfigurationOffer:
    return ConfigurationOffer{In.at(1).get<Revision>(),
                              In.at(2).get<std::string>()};
  case MessageType::ForwardedCall:
    return forwardedCallFrom(In);
  case MessageType::ForwardedResponse:
    return forwardedResponseFrom(In);
  }
  return std::nullopt;
}

/// Follows a document without building it, and stops at nesting that no
/// message has: the library decodes by recursion.
class ShapeCheck final : public nlohmann::json_sax<json> {
public:
  auto null() -> bool override { return true; }
  auto boolean(bool /*Value*/) -> bool override { return true; }
  auto number_integer(number_integer_t /*Value*/) -> bool override {
    return true;
  }
  auto number_unsigned(number_unsigned_t /*Value*/) -> bool override {
    return true;
  }
  auto number_float(number_float_t /*Value*/, string_t const & /*Text*/)
      -> bool override {
    return true;
  }
  auto string(string_t & /*Value*/) -> bool override { return true; }
  auto binary(binary_t & /*Value*/) -> bool override { return true; }
  auto start_object(std::size_t /*Count*/) -> bool override { return false; }
  auto key(string_t & /*Name*/) -> bool override { return false; }
  auto end_object() -> bool override { return false; }
  auto start_array(std::size_t /*Count*/) -> bool override {
    return ++Depth <= MaximumDepth;
  }
  auto end_array() -> bool override {
    --Depth;
    return true;
  }
  auto parse_error(std::size_t /*Position*/, std::string const & /*Token*/,
                   json::exception const & /*Problem*/) -> bool override {
    return false;
  }

private:
  static constexpr auto MaximumDepth = 8;
  int Depth = 0;
};

} // namespace

auto encodePeerMessage(PeerMessage const &Message)
    -> std::vector<std::uint8_t> {
  return json::to_cbor(std::visit(Encoder{}, Message));
}

auto decodePeerMessage(std::span<std::uint8_t const> Bytes)
    -> std::optional<PeerMessage> {
  auto shape = ShapeCheck{};
  if (!json::sax_parse(Bytes, &shape, json::input_format_t::cbor))
    return std::nullopt;
  try {
    auto in = json::from_cbor(Bytes);
    if (!in.is_array() || in.empty())
      return std::nullopt;
    return messageFrom(in);
  } catch (json::exception const &) {
    return std::nullopt;
  }
}

} // namespace dotterel
