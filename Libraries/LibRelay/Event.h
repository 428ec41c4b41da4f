/// \file
/// Input of the reducer. Events carry the time; the reducer has no input except
/// for events and its state, which contains the instance's identity.
#pragma once

#include "LibCustomer/UsageMessage.h"
#include "LibNet/BodyFraming.h"
#include "LibRelay/AttemptId.h"
#include "LibRelay/Configuration.h"
#include "LibRelay/EventFramer.h"
#include "LibRelay/KeyConfirmation.h"
#include "LibRelay/LeaderLease.h"
#include "LibRelay/Peers.h"
#include "LibRelay/PermitMessage.h"
#include "LibRelay/Request.h"
#include "LibRelay/ServerTable.h"
#include "LibRelay/StoreWatch.h"

#include <memory>
#include <optional>
#include <variant>

namespace dotterel::relay {

struct RequestArrived {
  RequestNumber Number = 0;
  RequestPointer Content;
  /// Time since boot, read after the request was received.
  Duration ReceivedAt{};
};

struct CallerDisconnected {
  RequestNumber Number = 0;
};

/// A connection for the attempt is established; no bytes have been sent.
struct AttemptConnected {
  AttemptId Attempt;
};

/// No connection could be established; no bytes have been sent.
struct AttemptUnreachable {
  AttemptId Attempt;
  std::string Reason;
};

/// What a server says about itself in a response.
struct ServerNotice {
  /// The server is leaving and should receive no more requests.
  bool IsLeaving = false;
  /// The server wants nothing more from this instance for this long.
  std::optional<Duration> Pause;
  /// Requests per second that the server takes from all instances together, for
  /// as long as its responses say so.
  std::optional<double> RequestLimit;
  /// The response names a limit, which may be unreadable.
  bool NamesLimit = false;
};

/// The connection of an attempt is kept idle for further requests until
/// IdleUntil. Arrives before the event that ends the attempt.
struct ConnectionReleased {
  AttemptId Attempt;
  Instant IdleUntil;
};

/// A complete response, or the header of a streamed response.
struct ServerResponse {
  unsigned Status = 0;
  /// Header fields to forward to the caller.
  std::vector<HttpField> Fields;
  std::string Body;
  /// The server reported that it did not execute the request.
  bool IsNotExecuted = false;
  /// A different server uses the address now.
  bool IsMisdirected = false;
  BodyFraming Framing = BodyFraming::Length;
  ServerNotice Notice{};
  /// Length of the body if it is passed on in parts and the length is known.
  std::optional<std::uint64_t> Length{};
};

/// Returns whether \p Status tells a caller that its request was not executed
/// and never will be.
[[nodiscard]] constexpr auto impliesNotExecuted(unsigned Status) -> bool {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

struct AttemptResponded {
  AttemptId Attempt;
  ServerResponse Response;
};

/// A response whose body is too large to be held; Response has its first part.
struct AttemptBodyStarted {
  AttemptId Attempt;
  ServerResponse Response;
};

struct AttemptBodyReceived {
  AttemptId Attempt;
  std::string Bytes;
};

/// The body is complete.
struct AttemptBodyEnded {
  AttemptId Attempt;
};

/// Prefill is complete; the server keeps the KV cache under the handle until
/// another server fetches it.
struct AttemptPrefilled {
  AttemptId Attempt;
  std::string Handle;
  ServerNotice Notice{};
};

struct AttemptStreamStarted {
  AttemptId Attempt;
  ServerResponse Header;
};

struct AttemptEventsReceived {
  AttemptId Attempt;
  std::vector<StreamEvent> Events;
};

/// The response ended as its framing demands; the stream may still be
/// truncated. Remainder holds the bytes after the last complete event.
struct AttemptStreamEnded {
  AttemptId Attempt;
  std::string Remainder;
};

/// The connection broke, or the response was malformed, after sending had
/// started.
struct AttemptInterrupted {
  AttemptId Attempt;
  std::string Reason;
};

struct ConfigurationReceived {
  std::shared_ptr<Configuration const> Content;
  /// Version of the configuration object in the store.
  StoreVersion Version;
};

/// The store holds no newer configuration up to AsOf.
struct ConfigurationConfirmed {
  StoreVersion AsOf;
  /// Time since boot, read before the store was asked; none if it is not known.
  std::optional<Duration> AskedAt;
};

/// Complete list of servers, read in one pass that started at AsOf.
struct ServersListed {
  std::vector<ServerDescription> Servers;
  StoreVersion AsOf;
};

/// All changes of servers up to AsOf since the previous read.
struct ServersUpdated {
  std::vector<ServerUpdate> Updates;
  StoreVersion AsOf;
};

/// Result of a call to the store.
struct StoreReachabilityObserved {
  bool IsReachable = false;
  std::string Reason;
};

/// The store responded in an era. It rises when the store is restored from a
/// copy.
struct StoreEraObserved {
  std::uint64_t Era = 0;
};

struct PeersListed {
  std::vector<PeerRecord> Peers;
};

struct PeerReported {
  PeerReport Report;
};

/// A peer asked for a permit.
struct PermitRequested {
  std::string PeerAddress;
  PermitRequest Request;
};

struct PermitAnswered {
  PermitResponse Response;
};

/// A peer asked which configuration is the latest one.
struct ConfirmationRequested {
  std::string PeerAddress;
  ConfirmationRequest Request;
  /// Time since boot, read after the datagram was received.
  Duration ReceivedAt{};
};

struct ConfirmationAnswered {
  ConfirmationResponse Response;
};

/// A peer told the requests of customers that it started.
struct UsageReceived {
  std::string PeerAddress;
  UsageMessage Message;
};

/// Result of reading the leader lease. Revision 0 means that there is none.
struct LeaderLeaseRead {
  bool IsRead = false;
  StoreVersion Version;
  LeaderRecord Record;
};

struct LeaderLeaseWritten {
  /// The write is known to have succeeded.
  bool IsWritten = false;
  StoreVersion Version;
  /// Time since boot, read before the write was sent.
  Duration WrittenAt{};
};

/// Result of a call of the platform's interface.
enum class CallResult : std::uint8_t {
  Accepted,
  /// The call cannot be granted now.
  Refused,
  /// No response, or one that says to try again.
  Failed,
};

[[nodiscard]] auto toString(CallResult Result) -> std::string_view;

struct UsageReported {
  UsageWindow Window = 0;
  CallResult Result = CallResult::Failed;
  unsigned Status = 0;
};

struct ServersOrdered {
  std::string Service;
  std::string Domain;
  bool IsReclaimable = false;
  std::uint32_t Count = 0;
  CallResult Result = CallResult::Failed;
  unsigned Status = 0;
};

/// Result of reading the lease. An empty holder means that the lease object
/// does not exist; the version then has revision 0.
struct LeaseRead {
  bool IsRead = false;
  StoreVersion Version;
  std::string Holder;
};

struct LeaseWritten {
  /// The write is known to have succeeded.
  bool IsWritten = false;
  StoreVersion Version;
  /// Time since boot until which orders may be sent under this write.
  Duration ValidUntil{};
};

enum class OrderResult : std::uint8_t {
  /// Accepted, or the engine is already in the requested stage.
  Accepted,
  Refused,
  /// Sent, but no response arrived; the server may still execute it.
  Unknown,
  NotSent,
};

/// Returns the name of \p Result as used in logs.
[[nodiscard]] auto toString(OrderResult Result) -> std::string_view;

struct OrderResultReceived {
  std::string Server;
  OrderResult Result = OrderResult::NotSent;
  unsigned Status = 0;
  ServerNotice Notice{};
};

/// Suspects that the store lists as quarantined.
struct QuarantineListed {
  std::vector<Suspect> Suspects;
};

/// A caller asked which instances to connect to.
struct SteeringRequested {
  RequestNumber Number = 0;
};

/// The process was requested to stop.
struct LeaveRequested {};

/// Arrives at least once per tick interval.
struct Tick {
  /// Readings of the boot clock and of the clock of the time of day.
  Duration SinceBoot{};
  Duration SinceEpoch{};
};

using EventBody =
    std::variant<RequestArrived, CallerDisconnected, AttemptConnected,
                 AttemptUnreachable, ConnectionReleased, AttemptResponded,
                 AttemptBodyStarted, AttemptBodyReceived, AttemptBodyEnded,
                 AttemptPrefilled, AttemptStreamStarted, AttemptEventsReceived,
                 AttemptStreamEnded, AttemptInterrupted, ConfigurationReceived,
                 ConfigurationConfirmed, ServersListed, ServersUpdated,
                 StoreReachabilityObserved, StoreEraObserved, PeersListed,
                 PeerReported, PermitRequested, PermitAnswered,
                 ConfirmationRequested, ConfirmationAnswered, UsageReceived,
                 LeaderLeaseRead, LeaderLeaseWritten, UsageReported,
                 ServersOrdered, LeaseRead, LeaseWritten, OrderResultReceived,
                 QuarantineListed, SteeringRequested, LeaveRequested, Tick>;

/// An event and the time at which it was observed. Times never decrease.
struct Event {
  Instant At;
  EventBody Body;
};

} // namespace dotterel::relay
