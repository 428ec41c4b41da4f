/// \file
/// Everything that a relaying instance knows. Changed by the reducer only.
#pragma once

#include "LibRelay/DemandMeter.h"
#include "LibRelay/Event.h"
#include "LibRelay/PrefixIndex.h"
#include "LibRelay/RetryBudget.h"
#include "LibRelay/SpeedModel.h"
#include "LibRelay/StoreWatch.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dotterel::relay {

/// Names one run of one instance.
struct Identity {
  std::string Instance;
  std::uint64_t Incarnation = 0;
  std::string Domain;
  std::string CallerAddress;
  std::string PeerAddress;
  /// Part of the callers that it should get, against others.
  double Weight = 1;
};

/// What settings say about decisions.
struct Options {
  RetryLimits Retries;
  /// Time from the request to stop until the process is ended by force.
  Duration LeaveTimeout = 8s;
  /// Time between two heartbeats of a server to the store.
  Duration ServerHeartbeatInterval = 1200ms;
  /// Age of a watcher's last answer up to which the others rely on it: half of
  /// the time within which a leaving server must get no more requests, so that
  /// the other half is left for an instance to ask the store itself.
  Duration MaximumWatcherAge = 1s;
  /// The whole system starts for the first time, before any traffic.
  bool IsFirstStart = false;
  /// Part of a service's engines that read prompts until traffic shows what is
  /// needed; applied at the first start.
  double PrefillShare = 0.65;
  /// Longest time that a steering answer may be kept.
  Duration SteeringLifetime = 3s;
};

/// The current try to serve a request.
struct Attempt {
  std::uint32_t Number = 0;
  std::string Server;
  ServerKey Key = 0;
  std::string Address;
  /// Reads the prompt only; another attempt makes the tokens.
  bool IsPrefill = false;
  bool IsSent = false;
  bool HasFirstPart = false;
  /// Its prompt tokens count as outstanding at the server.
  bool HasOutstandingTokens = false;
  Instant SentAt;
  Instant LastPartAt;
  /// Prompt tokens that the server has to read for it, and those before it.
  std::uint64_t PromptTokens = 0;
  std::uint64_t TokensAhead = 0;
  Duration Forecast{};
  std::string PrefillAddress;
  std::string PrefillHandle;
  std::string CacheSource;
};

/// A request that has not had its final answer.
struct InFlightRequest {
  RequestPointer Content;
  /// Keeps the route alive while a newer configuration is in force.
  std::shared_ptr<Configuration const> Config;
  Route const *MatchedRoute = nullptr;
  std::string Service;
  std::vector<Prefix> Prefixes;
  Instant ArrivedAt;
  Instant Deadline;
  std::optional<Attempt> CurrentAttempt;
  std::uint32_t AttemptsMade = 0;
  /// Servers that it was sent to, the first reading of its prompt excluded.
  std::uint32_t ServersUsed = 0;
  std::uint32_t PrefillsMade = 0;
  bool MayHaveRun = false;
  bool HasHeader = false;
  std::uint64_t LastEventId = 0;
  /// Time to the first part of the answer, and the longest pause after it.
  Duration TimeToFirstPart{};
  Duration LongestPause{};
  std::set<std::string> ExcludedServers;
  /// Header of the stream of the first server that began one; the caller gets
  /// it with the first event.
  std::optional<ServerResponse> StreamHeader;

  /// Whether the request may run once more.
  [[nodiscard]] auto isRetryable() const -> bool {
    return MatchedRoute->IsIdempotent ||
           (MatchedRoute->IsStream && MatchedRoute->IsResumable);
  }
};

/// Whether the platform's store answers.
struct StoreState {
  /// Result of this instance's own last call.
  bool IsReachable = false;
  /// Last answer to this instance, or to a watcher that it relies on.
  Instant LastResponseAt;
  /// A call has failed since that answer.
  bool HasFailed = false;
  /// End of the last outage.
  Instant OutageEndedAt;
};

/// What is known of the object that allows to give orders.
struct Lease {
  bool IsKnown = false;
  /// A read or write is under way.
  bool IsPending = false;
  std::uint64_t Revision = 0;
  std::string Holder;
  Instant UnchangedSince;
  Instant NextReadAt;
};

/// An order that was planned or given and is not seen carried out.
struct StageOrder {
  EngineStage Stage = EngineStage::Any;
  Instant ExpiresAt;
  bool IsSent = false;
};

/// Demand that this instance sees on one service.
struct ServiceDemand {
  DemandMeter Meter;
  Instant ObservedSince;
};

/// Who may order engines to change, and what has been ordered.
struct RoleState {
  Lease Lease;
  /// Orders by server.
  std::map<std::string, StageOrder> Orders;
  std::map<std::string, ServiceDemand, std::less<>> Demand;
  Instant NextPlanAt;
  Instant LastBatchAt;
  std::optional<Instant> LeaseWriteAt;
  /// Services whose demand has asked for a change, and since when.
  std::map<std::string, Instant> WantedSince;
};

/// State of one instance.
struct State {
  Identity Self;
  Options Options;
  Instant StartedAt;
  Instant Now;
  std::shared_ptr<Configuration const> Config;
  ServerTable Servers;
  bool HasServers = false;
  /// Entries that vanished around an outage of the store, and since when.
  std::map<std::string, Instant> LapsedServers;
  StoreState Store;
  relay::StoreWatch StoreWatch;
  PeerTable Peers;
  std::optional<Instant> PeersListedAt;
  std::uint64_t ReportsSent = 0;
  Instant NextReportAt;
  Instant NextFullReportAt;
  std::vector<PeerPrefixUse> UnreportedPrefixUses;
  PrefixIndex Prefixes;
  std::map<std::string, SpeedModel> SpeedModels;
  std::map<std::string, RetryBudget> RetryBudgets;
  std::unordered_map<RequestNumber, InFlightRequest> Requests;
  RoleState Roles;
  std::optional<Instant> LeavingSince;

  /// Returns whether \p Target watches the store and can be relied on.
  [[nodiscard]] auto isFreshWatcher(Peer const &Target) const -> bool {
    return Peers.isFresh(Target, Now, Options.MaximumWatcherAge);
  }
  [[nodiscard]] auto isReady() const -> bool {
    return Config && HasServers && !LeavingSince;
  }
};

} // namespace dotterel::relay
