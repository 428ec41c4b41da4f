/// \file
/// Output of the reducer. Effects are data; the I/O layer carries them out and
/// feeds their results back as events.
#pragma once

#include "LibControl/Event.h"
#include "LibCore/Log.h"

#include <variant>
#include <vector>

namespace dotterel {

/// Connects to a backend server. Followed by AttemptConnected or
/// AttemptUnreachable.
struct ConnectAttempt {
  AttemptId Attempt;
  std::string Address;
};

/// Sends the request over the attempt's connection. ResumeAfter is the number
/// of tokens already forwarded to the caller.
struct SendAttempt {
  AttemptId Attempt;
  CallKind Kind = CallKind::Completion;
  std::shared_ptr<std::string const> Body;
  std::string ContentType;
  std::string Method;
  std::string Path;
  IdempotencyKey Key;
  std::uint32_t ResumeAfter = 0;
};

/// Closes the attempt's connection, if any.
struct CancelAttempt {
  AttemptId Attempt;
};

/// Forwards one token to the caller.
struct ForwardToken {
  CallId Call = 0;
  std::string Data;
};

/// Delivers the final response of a call. Emitted once per call.
struct FinishCall {
  CallId Call = 0;
  StoredResponse Response;
  std::optional<Duration> RetryAfter;
  /// Address of another instance for the caller, if this one is leaving.
  std::string RedirectAddress;
};

/// Requests an engine's report. Followed by EngineReported or
/// EngineUnreachable.
struct PollEngine {
  EngineId Engine;
  std::string Address;
};

/// Connects to an engine. Followed by OrderConnected, or by OrderResultReceived
/// with Lost.
struct ConnectOrder {
  ShardName Shard;
  EngineId Engine;
  OrderId Order = 0;
  std::string Address;
};

/// Sends an order over its connection. The engine accepts it only while idle.
struct SendOrder {
  ShardName Shard;
  EngineId Engine;
  OrderId Order = 0;
  FencingNumber Fencing = 0;
  DesiredEngineState State;
};

/// Tells an engine to refuse orders with a fencing number below Fencing. Has no
/// other effect.
struct RaiseFence {
  EngineId Engine;
  std::string Address;
  FencingNumber Fencing = 0;
};

/// Closes the order's connection without sending the order.
struct AbandonOrder {
  ShardName Shard;
  EngineId Engine;
  OrderId Order = 0;
};

struct ReadShard {
  ShardName Shard;
};

/// Writes a shard object if its version is ExpectedVersion; zero means that
/// it must not exist. Followed by ShardWritten.
struct WriteShard {
  ShardName Shard;
  std::uint64_t ExpectedVersion = 0;
  ShardRecord Record;
};

struct ReadClaim {
  CallId Call = 0;
  std::string Name;
};

/// Writes a claim object if its version is ExpectedVersion. Followed by
/// ClaimWritten.
struct WriteClaim {
  CallId Call = 0;
  std::string Name;
  std::uint64_t ExpectedVersion = 0;
  ClaimRecord Record;
};

/// Waits for a configuration newer than revision After. Ends with
/// ConfigurationWatchEnded.
struct WatchConfiguration {
  Revision After = 0;
};

struct ListInstances {};

struct ConnectPeer {
  InstanceId Peer;
  std::string Address;
};

struct DisconnectPeer {
  InstanceId Peer;
};

struct SendPeer {
  InstanceId Peer;
  PeerMessage Message;
};

/// An instance that is offered to a caller.
struct SteeredInstance {
  InstanceId Id;
  std::string Address;
  double Weight = 0;
  std::string KeyPrefix;
};

/// Responds to SteeringRequested. The instances are valid for Lifetime.
struct SendSteeringResponse {
  CallId Call = 0;
  std::vector<SteeredInstance> Instances;
  Duration Lifetime{};
};

enum class DurationMetric : std::uint8_t { FirstToken, BetweenTokens, Total };

struct ObserveDuration {
  DurationMetric Metric = DurationMetric::Total;
  CallerName Caller;
  std::string Class;
  Duration Value{};
};

enum class CounterMetric : std::uint8_t {
  Calls,
  Retries,
  Resumes,
  Drains,
  Orders,
  RoleChanges,
  LeaseChanges,
  PeersRefused,
};

/// Increments a counter. Label is its second dimension: a result code, class,
/// engine, shard or peer.
struct IncrementCounter {
  CounterMetric Metric = CounterMetric::Calls;
  CallerName Caller;
  std::string Label;
};

/// One key=value pair of a log line.
struct LogPair {
  std::string Key;
  std::string Value;
};

struct WriteLog {
  LogLevel Level = LogLevel::Info;
  std::string Event;
  std::vector<LogPair> Fields;
};

/// Ends the process, after every response was delivered.
struct StopProcess {};

using Effect =
    std::variant<ConnectAttempt, SendAttempt, CancelAttempt, ForwardToken,
                 FinishCall, PollEngine, ConnectOrder, SendOrder, RaiseFence,
                 AbandonOrder, ReadShard, WriteShard, ReadClaim, WriteClaim,
                 WatchConfiguration, ListInstances, ConnectPeer, DisconnectPeer,
                 SendPeer, SendSteeringResponse, ObserveDuration,
                 IncrementCounter, WriteLog, StopProcess>;

using Effects = std::vector<Effect>;

} // namespace dotterel
