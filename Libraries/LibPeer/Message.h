/// \file
/// Messages between instances. Handling is idempotent: a repeated or outdated
/// message has no effect.
#pragma once

#include "LibCore/Identifier.h"
#include "LibCore/ResultCode.h"
#include "LibCore/Time.h"

#include <string>
#include <variant>
#include <vector>

namespace dotterel {

/// Version of the message format. Peers with another version are refused.
inline constexpr auto PeerProtocolVersion = std::uint32_t{1};

/// Identifies the drain of one engine that precedes an order.
struct DrainReference {
  EngineId Engine;
  OrderId Order = 0;
  auto operator<=>(DrainReference const &) const = default;
};

/// The drains that the holder of a shard's lease requests from all instances.
/// The announcement with the highest fencing number replaces earlier ones of
/// the shard.
struct ShardAnnouncement {
  ShardName Shard;
  FencingNumber Fencing = 0;
  std::vector<DrainReference> Drains;
};

/// Confirms that the sender, a former holder of the shard's lease, has no order
/// for the shard in flight and knows that fencing number Fencing was issued.
struct ShardRelease {
  ShardName Shard;
  FencingNumber Fencing = 0;
};

/// First message in each direction of a connection. Key is the secret that all
/// instances share.
struct PeerHello {
  std::uint32_t Version = PeerProtocolVersion;
  InstanceId Instance;
  Incarnation Run = 0;
  std::string Key;
};

/// State of the sender; sent periodically, and immediately after a change.
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

/// Requests the receiver's current configuration.
struct ConfigurationRequest {};

/// Carries a configuration that the sender has accepted.
struct ConfigurationOffer {
  Revision Number = 0;
  std::string Text;
};

/// Forwards a call with an idempotency key to the instance that owns the key.
struct ForwardedCall {
  CallId Call = 0;
  /// Incarnation of the instance that owns the key.
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

/// The final response to a ForwardedCall.
struct ForwardedResponse {
  CallId Call = 0;
  /// Incarnation of the instance that forwarded the call.
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
