/// \file
/// Messages between instances. Every message is idempotent: a repeated or
/// late one changes nothing.
#pragma once

#include "LibCore/Identifier.h"
#include "LibCore/ResultCode.h"
#include "LibCore/Time.h"

#include <string>
#include <variant>
#include <vector>

namespace dotterel {

/// Version of the messages below. Instances with another version are refused.
inline constexpr auto PeerProtocolVersion = std::uint32_t{1};

/// A drain of one engine, named by the order that it prepares.
struct DrainReference {
  EngineId Engine;
  OrderId Order = 0;
  auto operator<=>(DrainReference const &) const = default;
};

/// What the holder of a shard's lease tells all instances. The announcement
/// with the highest fencing number replaces earlier ones of the shard.
struct ShardAnnouncement {
  ShardName Shard;
  FencingNumber Fencing = 0;
  std::vector<DrainReference> Drains;
};

/// A former holder's word that no order of its own for the shard is on its
/// way, and that it knows of the later fencing number.
struct ShardRelease {
  ShardName Shard;
  FencingNumber Fencing = 0;
};

/// First message on a connection, in both directions.
struct PeerHello {
  std::uint32_t Version = PeerProtocolVersion;
  InstanceId Instance;
  Incarnation Run = 0;
  std::string Key;
};

/// State of the sender; sent at intervals and at once when it changes.
struct PeerHeartbeat {
  Incarnation Run = 0;
  Revision Configuration = 0;
  bool IsLeaving = false;
  bool CanReachObjectApi = false;
  std::uint32_t OutstandingCalls = 0;
  std::string KeyPrefix;
  std::vector<ShardAnnouncement> Announcements;
  std::vector<DrainReference> AcknowledgedDrains;
  std::vector<ShardRelease> Releases;
};

/// Asks for the configuration that the receiver holds.
struct ConfigurationRequest {};

/// Carries an accepted configuration.
struct ConfigurationOffer {
  Revision Number = 0;
  std::string Text;
};

/// Hands a keyed call to the instance that owns the key.
struct ForwardedCall {
  CallId Call = 0;
  Incarnation OwnerRun = 0;
  CallerName Caller;
  ServiceName Service;
  std::string Method;
  std::string Path;
  IdempotencyKey Key;
  Duration TimeLeft{};
  std::string ContentType;
  std::string Body;
};

/// Answers a ForwardedCall.
struct ForwardedResponse {
  CallId Call = 0;
  Incarnation OriginRun = 0;
  Outcome Result = Outcome::Unknown;
  ResultCode Code = ResultCode::AnswerLost;
  std::uint16_t HttpStatus = 0;
  std::string ContentType;
  std::string Body;
};

using PeerMessage =
    std::variant<PeerHello, PeerHeartbeat, ConfigurationRequest,
                 ConfigurationOffer, ForwardedCall, ForwardedResponse>;

} // namespace dotterel
