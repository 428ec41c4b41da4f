/// \file
/// Input of the reducer. Time, randomness and identity reach the reducer only
/// through events and its initial state.
#pragma once

#include "LibConfiguration/FleetConfiguration.h"
#include "LibControl/ShardRecord.h"
#include "LibCore/Identifier.h"
#include "LibCore/Time.h"
#include "LibPeer/Message.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dotterel {

enum class CallKind : std::uint8_t { Completion, Service };

/// A call as received. The reducer forwards Body without inspecting it.
struct CallRequest {
  CallKind Kind = CallKind::Completion;
  CallerName Caller;
  std::shared_ptr<std::string const> Body;
  std::string ContentType;
  std::optional<Duration> RequestedDeadline;

  ModelName Model;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaximumTokens = 0;
  std::vector<std::uint64_t> PrefixHashes;

  ServiceName Service;
  std::string Method;
  std::string Path;
  IdempotencyKey Key;
};

/// The forwarding peer and its call number, for calls from a peer.
struct ForwardOrigin {
  InstanceId Peer;
  Incarnation PeerRun = 0;
  CallId PeerCall = 0;
  Incarnation OwnerRun = 0;
};

struct CallArrived {
  CallId Call = 0;
  CallRequest Request;
  std::optional<ForwardOrigin> Origin;
};

/// The caller closed its connection.
struct CallerDisconnected {
  CallId Call = 0;
};

/// The attempt's connection is established; nothing was sent yet.
struct AttemptConnected {
  AttemptId Attempt;
};

/// No connection could be made; nothing was sent.
struct AttemptUnreachable {
  AttemptId Attempt;
};

/// The backend server refused the request and did not start it.
struct AttemptRefused {
  AttemptId Attempt;
};

/// One token of a stream; Data is the payload for the caller.
struct AttemptToken {
  AttemptId Attempt;
  std::uint32_t Index = 0;
  std::string Data;
};

/// The backend server's response is complete.
struct AttemptCompleted {
  AttemptId Attempt;
  std::uint16_t HttpStatus = 0;
  std::string ContentType;
  std::string Body;
};

/// The connection broke, or the response was malformed, after sending started.
struct AttemptInterrupted {
  AttemptId Attempt;
};

/// An engine's report of its state. It lags behind the actual state.
struct EngineReport {
  /// Identifies the run of the engine's process.
  std::uint64_t Run = 0;
  EngineRole Role = EngineRole::Mixed;
  std::vector<ModelName> Models;
  /// The engine is changing its role or models, or failed during a change.
  bool IsChanging = false;
  OrderId LastOrder = 0;
  FencingNumber HighestFencing = 0;
  std::uint32_t Running = 0;
  std::uint64_t QueuedPrefillTokens = 0;
  std::uint64_t FreeCacheTokens = 0;
  /// Prompt tokens prefilled since the run began, without cached ones; zero if
  /// the engine does not report it.
  std::uint64_t PrefilledTokens = 0;
};

struct EngineReported {
  EngineId Engine;
  EngineReport Report;
  /// Lower bound of the time at which the state was observed.
  Instant ObservedNoEarlierThan;
};

struct EngineUnreachable {
  EngineId Engine;
};

/// The order's connection is established; nothing was sent yet.
struct OrderConnected {
  ShardName Shard;
  EngineId Engine;
  OrderId Order = 0;
};

enum class OrderResult : std::uint8_t {
  Accepted,
  RefusedStaleFencing,
  RefusedBusy,
  /// The connection failed, or no valid response arrived. If the order was
  /// sent, the engine may have accepted it.
  Lost,
};

struct OrderResultReceived {
  ShardName Shard;
  EngineId Engine;
  OrderId Order = 0;
  OrderResult Result = OrderResult::Lost;
};

/// A shard object as read; Version is zero if the object does not exist.
struct ShardRead {
  ShardName Shard;
  std::uint64_t Version = 0;
  ShardRecord Record;
};

struct ShardReadFailed {
  ShardName Shard;
};

enum class WriteResult : std::uint8_t {
  Committed,
  Conflict,
  /// The response was lost; the write may or may not have taken effect.
  Unknown,
};

struct ShardWritten {
  ShardName Shard;
  std::uint64_t WriteNumber = 0;
  WriteResult Result = WriteResult::Unknown;
  std::uint64_t Version = 0;
};

struct ClaimWritten {
  CallId Call = 0;
  WriteResult Result = WriteResult::Unknown;
  std::uint64_t Version = 0;
};

/// A claim object as read; Version is zero if the object does not exist.
struct ClaimRead {
  CallId Call = 0;
  std::uint64_t Version = 0;
  ClaimRecord Record;
};

struct ClaimReadFailed {
  CallId Call = 0;
};

/// The object API delivered a configuration.
struct ConfigurationReceived {
  std::shared_ptr<FleetConfiguration const> Configuration;
};

/// A watch or read of the configuration ended without a newer one.
struct ConfigurationWatchEnded {
  bool IsApiReachable = false;
};

/// One entry of the platform's instance list.
struct ListedInstance {
  InstanceId Id;
  std::string CallerAddress;
  std::string PeerAddress;
  FailureDomain Domain;
  bool IsLeaving = false;
};

struct InstancesListed {
  std::vector<ListedInstance> Instances;
};

struct InstanceListFailed {};

struct PeerConnected {
  InstanceId Peer;
  Incarnation Run = 0;
};

struct PeerDisconnected {
  InstanceId Peer;
};

struct PeerHeartbeatReceived {
  InstanceId Peer;
  PeerHeartbeat Heartbeat;
};

struct ConfigurationRequested {
  InstanceId Peer;
};

struct ForwardedResponseReceived {
  InstanceId Peer;
  ForwardedResponse Response;
};

/// A caller requested the list of instances to use.
struct SteeringRequested {
  CallId Call = 0;
  CallerName Caller;
};

/// The process was asked to stop.
struct LeaveRequested {};

/// Periodic timer event; arrives at least once per tick interval.
struct Tick {};

using EventBody = std::variant<
    CallArrived, CallerDisconnected, AttemptConnected, AttemptUnreachable,
    AttemptRefused, AttemptToken, AttemptCompleted, AttemptInterrupted,
    EngineReported, EngineUnreachable, OrderConnected, OrderResultReceived,
    ShardRead, ShardReadFailed, ShardWritten, ClaimWritten, ClaimRead,
    ClaimReadFailed, ConfigurationReceived, ConfigurationWatchEnded,
    InstancesListed, InstanceListFailed, PeerConnected, PeerDisconnected,
    PeerHeartbeatReceived, ConfigurationRequested, ForwardedResponseReceived,
    SteeringRequested, LeaveRequested, Tick>;

/// An event and the time at which it was received. Times never decrease.
struct Event {
  Instant At;
  EventBody Body;
};

} // namespace dotterel
