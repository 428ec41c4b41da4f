/// \file
/// Outcomes and numbered result codes; docs/RESULT-CODES.md has the table.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace dotterel {

/// Whether a call was executed, as far as the instance knows.
enum class Outcome : std::uint8_t { Completed, NotRun, Unknown };

/// Result of a call, command or order.
enum class ResultCode : std::uint16_t {
  Completed = 1000,

  MalformedRequest = 1101,
  UnknownModel = 1102,
  UnknownService = 1103,
  BodyTooLarge = 1104,
  MethodNotAllowed = 1105,
  UnknownPath = 1106,
  HeadersTooLarge = 1107,
  RequestTimeout = 1108,
  NoRoute = 1109,
  TooManyConnections = 1110,
  UnknownKey = 1111,

  NoBackendAvailable = 1201,
  DeadlineInfeasible = 1202,
  CallerOverShare = 1203,
  InstanceLeaving = 1204,
  NotConfigured = 1205,
  BackendUnreachable = 1206,
  KeyTableFull = 1207,
  QueueTooLong = 1208,
  PromptQuarantined = 1209,
  RequestQuarantined = 1210,
  KeysUnconfirmed = 1211,
  OverloadedByCallers = 1212,

  AnswerLost = 2001,
  HomeUnreachable = 2002,
  KeyExpired = 2003,
  ClaimStoreUnavailable = 2004,
  ClaimedElsewhere = 2005,
  DeadlinePassed = 2006,
  RetriesExhausted = 2007,
  CallerDisconnected = 2008,

  RevisionConflict = 3001,
  InvalidConfiguration = 3002,
  InvalidSettings = 3003,
  ObjectApiUnavailable = 3004,
  InvalidUsage = 3005,
  InstanceUnreachable = 3006,
  ObjectNotFound = 3007,
  PeerKeyMismatch = 3008,
};

/// One row of the table of result codes.
struct ResultCodeEntry {
  ResultCode Code;
  std::uint16_t HttpStatus;
  std::string_view Name;
  std::string_view Meaning;
};

/// Returns every result code, in ascending order.
/// Thread safety: safe from any thread.
[[nodiscard]] auto resultCodes() -> std::span<ResultCodeEntry const>;

/// Returns the table row of \p Code.
/// Precondition: \p Code is one of the enumerators.
[[nodiscard]] auto describe(ResultCode Code) -> ResultCodeEntry const &;

/// Returns the text of \p Value in headers and logs.
[[nodiscard]] auto toString(Outcome Value) -> std::string_view;

} // namespace dotterel
