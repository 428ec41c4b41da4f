/// \file
/// Everything that can happen to an instance that relays requests. Time and
/// identity arrive here; the reducer has no other input.
#pragma once

#include "LibRelay/Configuration.h"
#include "LibRelay/EventFramer.h"
#include "LibRelay/Peers.h"
#include "LibRelay/Request.h"
#include "LibRelay/ServerTable.h"
#include "LibRelay/StoreWatch.h"

#include <memory>
#include <variant>

namespace dotterel::relay {

/// Names one try to serve a request at one server.
struct AttemptId {
  RequestNumber Request = 0;
  std::uint32_t Number = 0;
  auto operator<=>(AttemptId const &) const = default;
};

struct RequestArrived {
  RequestNumber Number = 0;
  RequestPointer Content;
};

/// The caller closed its connection.
struct CallerDisconnected {
  RequestNumber Number = 0;
};

/// A connection for the attempt stands; nothing was sent yet.
struct AttemptConnected {
  AttemptId Attempt;
};

/// No connection could be made; nothing was sent.
struct AttemptUnreachable {
  AttemptId Attempt;
  std::string Reason;
};

/// A whole answer, or the header of a stream.
struct ServerResponse {
  unsigned Status = 0;
  /// Fields for the caller.
  std::vector<HttpField> Fields;
  std::string Body;
  /// The server says that it did not run the request.
  bool IsNotExecuted = false;
  /// Another server has the address.
  bool IsMisdirected = false;
};

/// Returns whether \p Status tells a caller that its request did not run and
/// never will.
[[nodiscard]] constexpr auto impliesNotExecuted(unsigned Status) -> bool {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

struct AttemptResponded {
  AttemptId Attempt;
  ServerResponse Response;
};

/// The prompt was read and is kept for another server under a handle.
struct AttemptPrefilled {
  AttemptId Attempt;
  std::string Handle;
};

struct AttemptStreamStarted {
  AttemptId Attempt;
  ServerResponse Header;
};

struct AttemptEventsReceived {
  AttemptId Attempt;
  std::vector<StreamEvent> Events;
};

/// The stream ended whole; Rest are bytes after the last event.
struct AttemptStreamEnded {
  AttemptId Attempt;
  std::string Remainder;
};

/// The connection broke, or the answer was malformed, after sending began.
struct AttemptInterrupted {
  AttemptId Attempt;
  std::string Reason;
};

struct ConfigurationReceived {
  std::shared_ptr<Configuration const> Content;
  /// Revision of the object that it was read from.
  std::uint64_t Revision = 0;
};

/// The store has answered: no newer configuration up to AsOf.
struct ConfigurationConfirmed {
  std::uint64_t AsOf = 0;
};

/// All servers, as read in one pass that began at AsOf.
struct ServersListed {
  std::vector<ServerDescription> Servers;
  std::uint64_t AsOf = 0;
};

/// All changes of servers up to AsOf, after those that were read before.
struct ServersUpdated {
  std::vector<ServerUpdate> Updates;
  std::uint64_t AsOf = 0;
};

/// The store answered, or stopped to.
struct StoreReachabilityObserved {
  bool IsReachable = false;
  std::string Reason;
};

struct PeersListed {
  std::vector<PeerRecord> Peers;
};

struct PeerReported {
  PeerReport Report;
};

/// The object that allows to give orders, as read; an empty holder means that
/// it does not exist.
struct LeaseRead {
  bool IsRead = false;
  std::uint64_t Revision = 0;
  std::string Holder;
};

struct LeaseWritten {
  /// The write is known to have taken effect.
  bool IsWritten = false;
  std::uint64_t Revision = 0;
  /// Boot time until which orders may follow the write.
  Duration ValidUntil{};
};

enum class OrderResult : std::uint8_t {
  /// Accepted, or what it asks for holds already.
  Accepted,
  Refused,
  /// Sent without an answer; it may be carried out later.
  Unknown,
  NotSent,
};

/// Returns the word that stands for \p Result in logs.
[[nodiscard]] auto toString(OrderResult Result) -> std::string_view;

struct OrderResultReceived {
  std::string Server;
  OrderResult Result = OrderResult::NotSent;
  unsigned Status = 0;
};

/// A caller asked which instances to use.
struct SteeringRequested {
  RequestNumber Number = 0;
};

/// The process was asked to stop.
struct LeaveRequested {};

/// Time passed; arrives at least once per tick interval.
struct Tick {};

using EventBody =
    std::variant<RequestArrived, CallerDisconnected, AttemptConnected,
                 AttemptUnreachable, AttemptResponded, AttemptPrefilled,
                 AttemptStreamStarted, AttemptEventsReceived,
                 AttemptStreamEnded, AttemptInterrupted, ConfigurationReceived,
                 ConfigurationConfirmed, ServersListed, ServersUpdated,
                 StoreReachabilityObserved, PeersListed, PeerReported,
                 LeaseRead, LeaseWritten, OrderResultReceived,
                 SteeringRequested, LeaveRequested, Tick>;

/// An event and the time at which it was seen. Times never fall.
struct Event {
  Instant At;
  EventBody Body;
};

} // namespace dotterel::relay
