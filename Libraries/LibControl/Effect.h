/// \file
/// Everything that an instance does. Effects are data; the shells carry them
/// out and answer with events.
#pragma once

#include "LibControl/Event.h"
#include "LibCore/Log.h"

#include <variant>
#include <vector>

namespace dotterel {

/// Connects to a backend server; answered by AttemptConnected or
/// AttemptUnreachable.
struct ConnectAttempt {
  AttemptId Attempt;
  std::string Address;
};

/// Sends the request over the attempt's connection. ResumeAfter is the number
/// of tokens that the caller already has.
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

/// Passes one token to the caller.
struct ForwardToken {
  CallId Call = 0;
  std::string Data;
};

/// Gives the call its one final answer.
struct FinishCall {
  CallId Call = 0;
  StoredResponse Response;
  std::optional<Duration> RetryAfter;
  /// Address of another instance to use, if this one is leaving.
  std::string RedirectAddress;
};

/// Asks an engine for its report.
struct PollEngine {
  EngineId Engine;
  std::string Address;
};

/// Connects to an engine; answered by OrderConnected, or by OrderResponded
/// with Lost.
struct ConnectOrder {
  ShardName Shard;
  EngineId Engine;
  OrderId Order = 0;
  std::string Address;
};

/// Sends an order over its connection. The engine carries it out only while
/// idle.
struct SendOrder {
  ShardName Shard;
  EngineId Engine;
  OrderId Order = 0;
  FencingNumber Fencing = 0;
  DesiredEngineState State;
};

/// Tells an engine to refuse fencing numbers below Fencing; changes nothing
/// else.
struct RaiseFence {
  EngineId Engine;
  std::string Address;
  FencingNumber Fencing = 0;
};

/// Closes the order's connection without sending.
struct AbandonOrder {
  ShardName Shard;
  EngineId Engine;
  OrderId Order = 0;
};

struct ReadShard {
  ShardName Shard;
};

/// Writes a shard object if its version is ExpectedVersion; zero means that
/// it must not exist.
struct WriteShard {
  ShardName Shard;
  std::uint64_t ExpectedVersion = 0;
  ShardRecord Record;
};

struct ReadClaim {
  CallId Call = 0;
  std::string Name;
};

/// Writes a claim object if its version is ExpectedVersion. Answered by
/// ClaimWritten.
struct WriteClaim {
  CallId Call = 0;
  std::string Name;
  std::uint64_t ExpectedVersion = 0;
  ClaimRecord Record;
};

/// Waits for a configuration newer than After.
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

/// An instance that a caller may use.
struct SteeredInstance {
  InstanceId Id;
  std::string Address;
  double Weight = 0;
  std::string KeyPrefix;
};

struct RespondToSteering {
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

enum class CountMetric : std::uint8_t {
  Calls,
  Retries,
  Resumes,
  Drains,
  Orders,
  RoleChanges,
  LeaseChanges,
  PeerConflicts,
};

/// Adds one to a counter; Label refines it (a result code, a shard).
struct CountOne {
  CountMetric Metric = CountMetric::Calls;
  CallerName Caller;
  std::string Label;
};

/// One key=value pair of a log line.
struct LogPair {
  std::string Key;
  std::string Value;
};

/// Writes a log line.
struct WriteLog {
  LogLevel Level = LogLevel::Info;
  std::string Event;
  std::vector<LogPair> Fields;
};

/// Ends the process; every answer is out.
struct StopProcess {};

using Effect =
    std::variant<ConnectAttempt, SendAttempt, CancelAttempt, ForwardToken,
                 FinishCall, PollEngine, ConnectOrder, SendOrder, RaiseFence,
                 AbandonOrder, ReadShard, WriteShard, ReadClaim, WriteClaim,
                 WatchConfiguration, ListInstances, ConnectPeer, DisconnectPeer,
                 SendPeer, RespondToSteering, ObserveDuration, CountOne,
                 WriteLog, StopProcess>;

using Effects = std::vector<Effect>;

} // namespace dotterel
