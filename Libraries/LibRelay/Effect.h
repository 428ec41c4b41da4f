/// \file
/// Output of the reducer. Effects are data; the I/O layer carries them out and
/// feeds their results back as events.
#pragma once

#include "LibCore/Log.h"
#include "LibCore/ResultCode.h"
#include "LibRelay/Event.h"

#include <variant>

namespace dotterel::relay {

/// Reuses or opens a connection to a server.
struct ConnectAttempt {
  AttemptId Attempt;
  std::string Address;
  /// Maximum number of idle connections to keep to this server.
  std::uint32_t IdleLimit = 1;
  /// Hash of the request's id. A connection that has carried a request with it
  /// is not reused: a second copy of that response would be taken for the
  /// response to this request.
  std::uint64_t RequestHash = 0;
};

/// What is sent to the server in addition to the caller's request.
struct AttemptParameters {
  /// Time left until the caller's deadline, if the caller sent one.
  std::optional<Duration> TimeLimit;
  std::string ExpectedServer;
  /// Run prefill only and keep the KV cache.
  bool IsPrefill = false;
  /// Server that holds the prefilled prompt, and its handle there.
  std::string PrefillAddress;
  std::string PrefillHandle;
  /// Address of a server to copy the cached prefix from.
  std::string CacheSource;
  /// Id of the last event that the caller has, if any.
  std::optional<std::uint64_t> LastEventId;
  /// Rank in the server's queue; see queueRank.
  std::optional<std::uint32_t> QueueRank;
  /// Name of the customer that the request is served for, or empty.
  std::string Customer;
  /// Requests need no keys, so that the caller's credentials are forwarded like
  /// other fields.
  bool ForwardsCredentials = true;
};

/// Sends the request over the attempt's connection.
struct SendAttempt {
  AttemptId Attempt;
  RequestPointer Content;
  AttemptParameters Parameters;
  /// The response is forwarded event by event.
  bool IsStream = false;
};

/// Closes the attempt's connection, if any.
struct CancelAttempt {
  AttemptId Attempt;
};

/// Frees the KV cache of a prefilled prompt that will not be used.
struct ReleasePrefill {
  std::string Address;
  std::string Handle;
};

/// Forwards a server's response to the caller.
struct ForwardResponse {
  RequestNumber Number = 0;
  ServerResponse Response;
};

struct BeginStream {
  RequestNumber Number = 0;
  ServerResponse Header;
};

struct ForwardBytes {
  RequestNumber Number = 0;
  std::string Bytes;
};

struct EndStream {
  RequestNumber Number = 0;
};

/// Closes the caller's connection without completing the response.
struct AbortStream {
  RequestNumber Number = 0;
};

/// Sends the caller an error response that this instance generated.
struct SendErrorResponse {
  RequestNumber Number = 0;
  ResultCode Code = ResultCode::Completed;
  std::optional<Duration> RetryAfter;
};

/// Closes idle connections to a server that was removed or is draining.
struct CloseIdleConnections {
  std::string Address;
};

struct SendSteeringResponse {
  RequestNumber Number = 0;
  /// Empty if this instance does not know its peers or the configuration yet,
  /// or if no instance is ready.
  std::vector<std::string> Addresses;
  Duration Lifetime{};
};

struct SendPeerReport {
  std::vector<std::string> Addresses;
  PeerReport Report;
};

struct SendPermitRequest {
  std::string Address;
  PermitRequest Request;
};

struct SendPermitResponse {
  std::string Address;
  PermitResponse Response;
};

struct SendConfirmationRequest {
  std::string Address;
  ConfirmationRequest Request;
};

struct SendConfirmationResponse {
  std::string Address;
  ConfirmationResponse Response;
};

/// Tells peers the requests of customers that this instance started.
struct SendUsage {
  std::vector<std::string> Addresses;
  std::vector<UsageMessage> Messages;
};

/// Reads the leader lease from the store.
struct ReadLeaderLease {};

/// Writes the leader lease if its version is Expected; revision 0 means that it
/// must not exist.
struct WriteLeaderLease {
  StoreVersion Expected;
  LeaderRecord Record;
};

struct SendUsageReport {
  UsageReport Report;
  LeaderAuthority Authority;
};

/// Orders the number of servers of one kind in one failure domain.
struct OrderServers {
  std::string Service;
  std::string Domain;
  bool IsReclaimable = false;
  std::uint32_t Count = 0;
  LeaderAuthority Authority;
};

/// Reads the lease from the store.
struct ReadLease {};

/// Writes the lease if its version is Expected; revision 0 means that it must
/// not exist.
struct WriteLease {
  StoreVersion Expected;
  std::string Holder;
};

/// Writes a suspect in quarantine to the store, for instances that start later.
struct StoreQuarantine {
  relay::Suspect Suspect;
};

/// Deletes a suspect of any kind from the store that is no longer in
/// quarantine.
struct DeleteQuarantine {
  SuspectKey Key = 0;
};

/// Orders a server to change its stage. Not sent after ValidUntil.
struct SendOrder {
  std::string Server;
  std::string Address;
  EngineStage Stage = EngineStage::Any;
  std::string Holder;
  std::uint64_t FencingNumber = 0;
  /// Time since boot.
  Duration ValidUntil{};
};

struct WriteLog {
  LogLevel Level = LogLevel::Info;
  std::string Event;
  /// Formatted as key=value pairs.
  std::string Pairs;
};

enum class CounterMetric : std::uint8_t {
  Responses,
  Attempts,
  Retries,
  Resumes,
  Refusals,
  /// Streams that servers ended, by framing.
  StreamEnds,
  /// Requests that were sent to servers, by kind.
  Sends,
  /// Requests that were sent to servers that name a limit, by service.
  LimitedSends,
  /// Permits for servers that name a limit, by outcome.
  Permits,
  /// Requests of customers that began to run.
  CustomerStarts,
  /// Calls of the leader to the platform, by outcome.
  LeaderCalls,
};

struct IncrementCounter {
  CounterMetric Metric = CounterMetric::Responses;
  std::string Route;
  std::string Label;
};

enum class DurationMetric : std::uint8_t { FirstPart, Total };

struct ObserveDuration {
  DurationMetric Metric = DurationMetric::Total;
  std::string Route;
  Duration Value{};
};

/// Ends the process. The final responses of all requests have been emitted;
/// callers have up to \ref WriteTime to read them.
struct StopProcess {
  Duration WriteTime{};
};

using Effect =
    std::variant<ConnectAttempt, SendAttempt, CancelAttempt, ReleasePrefill,
                 ForwardResponse, BeginStream, ForwardBytes, EndStream,
                 AbortStream, SendErrorResponse, CloseIdleConnections,
                 SendSteeringResponse, SendPeerReport, SendPermitRequest,
                 SendPermitResponse, SendConfirmationRequest,
                 SendConfirmationResponse, SendUsage, ReadLeaderLease,
                 WriteLeaderLease, SendUsageReport, OrderServers, ReadLease,
                 WriteLease, StoreQuarantine, DeleteQuarantine, SendOrder,
                 WriteLog, IncrementCounter, ObserveDuration, StopProcess>;

using Effects = std::vector<Effect>;

} // namespace dotterel::relay
