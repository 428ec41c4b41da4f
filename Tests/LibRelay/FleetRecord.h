/// \file
/// What callers and servers of a simulated fleet saw.
#pragma once

#include "LibCore/Time.h"
#include "LibRelay/RetryBudget.h"

#include <string>
#include <string_view>
#include <vector>

namespace dotterel::relay::test {

/// Shortest time of all deployments within which instances must act on what one
/// of them knows, and after which a failure excuses nothing.
constexpr auto ContactTime = Duration{3s};

/// A request as a caller saw it.
struct FleetRequest {
  Instant SentAt;
  bool CrashesEngines = false;
  /// A server began to run it; an engine begins with decoding.
  bool HasBegun = false;
  /// Repeats an earlier request of the caller.
  bool IsCallerRetry = false;
  /// It was refused because it, or its prompt, is in quarantine.
  bool IsQuarantined = false;
  /// Which of several crashing calls it is.
  std::size_t CrashingCall = 0;
};

/// A crash that a request or a prompt caused.
struct FleetCrash {
  Instant At;
  /// Which of several crashing calls caused it.
  std::size_t CrashingCall = 0;
};

/// A request that reached a server.
struct FleetArrival {
  Instant At;
  std::uint64_t Request = 0;
  bool CrashesEngines = false;
  /// It is the first prefill of its request that an engine accepted.
  bool IsFirstPrefill = false;
  std::string Server;
  /// Its sender failed shortly before.
  bool IsExcused = false;
};

/// Collects the events of a simulation in the order of their times, and
/// compares them with the users' rules. Thread safety: none.
struct FleetRecord {
  std::vector<FleetRequest> Requests;
  std::vector<FleetArrival> Arrivals;
  std::vector<FleetCrash> Crashes;

  /// Returns the arrivals beyond the first of their requests, not counting
  /// first prefills, that exceed \p Limits in the worst window.
  [[nodiscard]] auto arrivalsAboveBudget(RetryLimits const &Limits) const
      -> double;
  /// Returns the number of crashing requests that reached servers later than
  /// \p Delay after crash number \p Crash, counted from 1.
  [[nodiscard]] auto crashingArrivalsAfterCrash(std::size_t Crash,
                                                Duration Delay) const
      -> unsigned;
  /// Returns the largest number of arrivals of one crashing call later than
  /// \p Delay after its own crash number \p Crash, counted from 1.
  [[nodiscard]] auto mostArrivalsOfOneCall(std::size_t Crash,
                                           Duration Delay) const -> unsigned;
  /// Returns the number of sound requests sent from \p From on that were
  /// refused because of a quarantine.
  [[nodiscard]] auto soundRequestsQuarantined(Instant From) const -> unsigned;
  /// Returns the share of the first attempts of callers between \p From and
  /// \p To that servers began to run, without those that crash engines.
  [[nodiscard]] auto soundShareBegun(Instant From, Instant To) const -> double;
  /// Returns the number of requests that reached \p Server between \p From and
  /// \p To.
  [[nodiscard]] auto arrivalsAt(std::string_view Server, Instant From,
                                Instant To) const -> unsigned;
  /// Returns the largest number of requests that reached \p Server within
  /// \p Window, counted from \p From on, from instances that had not failed.
  [[nodiscard]] auto mostArrivalsAt(std::string_view Server, Instant From,
                                    Duration Window) const -> unsigned;
};

} // namespace dotterel::relay::test
