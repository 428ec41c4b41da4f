/// \file
/// Everything that a relaying instance does. Effects are data; the shells
/// carry them out and answer with events.
#pragma once

#include "LibCore/Log.h"
#include "LibCore/ResultCode.h"
#include "LibRelay/Event.h"

#include <variant>

namespace dotterel::relay {

/// Finds or makes a connection to a server.
struct ConnectAttempt {
  AttemptId Attempt;
  std::string Address;
  /// Idle connections that may be kept to this server.
  std::uint32_t IdleLimit = 1;
};

/// What is said to the server beside the caller's request.
struct AttemptParameters {
  /// Time that is left to the caller, if it said so.
  std::optional<Duration> TimeLimit;
  std::string ExpectedServer;
  /// Only read the prompt and keep it.
  bool IsPrefill = false;
  /// Address and handle of the read prompt.
  std::string PrefillAddress;
  std::string PrefillHandle;
  /// Address of a server to copy cached parts from.
  std::string CacheSource;
  std::uint64_t LastEventId = 0;
};

/// Sends the request over the attempt's connection.
struct SendAttempt {
  AttemptId Attempt;
  RequestPointer Content;
  AttemptParameters Parameters;
  /// The answer is passed on event by event.
  bool IsStream = false;
};

/// Closes the attempt's connection, if any.
struct CancelAttempt {
  AttemptId Attempt;
};

/// Frees a read prompt that will not be used.
struct ReleasePrefill {
  std::string Address;
  std::string Handle;
};

/// Gives the caller a server's answer.
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

/// Closes the caller's connection without finishing the answer.
struct AbortStream {
  RequestNumber Number = 0;
};

/// Gives the caller an answer of our own.
struct SendErrorResponse {
  RequestNumber Number = 0;
  ResultCode Code = ResultCode::Completed;
  std::optional<Duration> RetryAfter;
};

/// Forgets connections to a server that is gone or leaving.
struct CloseIdleConnections {
  std::string Address;
};

struct SendSteeringResponse {
  RequestNumber Number = 0;
  /// Empty if this instance does not know the others yet.
  std::vector<std::string> Addresses;
  Duration Lifetime{};
};

struct SendPeerReport {
  std::vector<std::string> Addresses;
  PeerReport Report;
};

/// Reads the object that allows to give orders.
struct ReadLease {};

/// Writes it if its revision is ExpectedRevision; zero means that it must not
/// exist.
struct WriteLease {
  std::uint64_t ExpectedRevision = 0;
  std::string Holder;
};

/// Orders a server to change its stage, unless the time is past ValidUntil.
struct SendOrder {
  std::string Server;
  std::string Address;
  EngineStage Stage = EngineStage::Any;
  std::string Holder;
  std::uint64_t FencingToken = 0;
  /// Boot time.
  Duration ValidUntil{};
};

struct WriteLog {
  LogLevel Level = LogLevel::Info;
  std::string Event;
  /// Formatted key=value pairs.
  std::string Pairs;
};

enum class CounterMetric : std::uint8_t {
  Responses,
  Attempts,
  Retries,
  Resumes,
  Refusals,
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

/// Ends the process; every answer is out.
struct StopProcess {};

using Effect =
    std::variant<ConnectAttempt, SendAttempt, CancelAttempt, ReleasePrefill,
                 ForwardResponse, BeginStream, ForwardBytes, EndStream,
                 AbortStream, SendErrorResponse, CloseIdleConnections,
                 SendSteeringResponse, SendPeerReport, ReadLease, WriteLease,
                 SendOrder, WriteLog, IncrementCounter, ObserveDuration,
                 StopProcess>;

using Effects = std::vector<Effect>;

} // namespace dotterel::relay
