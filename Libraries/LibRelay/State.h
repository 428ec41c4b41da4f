/// \file
/// Everything that a relaying instance knows. Changed by the reducer only.
#pragma once

#include "LibRelay/DemandMeter.h"
#include "LibRelay/Event.h"
#include "LibRelay/Following.h"
#include "LibRelay/PrefixIndex.h"
#include "LibRelay/RetryAllowance.h"
#include "LibRelay/SpeedModel.h"

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
  Duration LeaveBound = 8s;
  /// Time between two heartbeats of a server to the store.
  Duration ServerHeartbeat = 1200ms;
  /// Age of a watcher's last answer up to which the others rely on it: half of
  /// the time within which a leaving server must get no more requests, so that
  /// the other half is left for an instance to ask the store itself.
  Duration WatcherFreshness = 1s;
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
  bool IsCounted = false;
  Instant SentAt;
  Instant LastPart;
  /// Prompt tokens that the server has to read for it, and those before it.
  std::uint64_t PromptTokens = 0;
  std::uint64_t TokensAhead = 0;
  Duration Forecast{};
  std::string PrefilledAt;
  std::string PrefillHandle;
  std::string CopyFrom;
};

/// A request that has not had its final answer.
struct Call {
  RequestPointer Content;
  /// Keeps the route alive while a newer configuration is in force.
  std::shared_ptr<Configuration const> Configured;
  Route const *Matched = nullptr;
  std::string Service;
  std::vector<Prefix> Prefixes;
  Instant Arrived;
  Instant Deadline;
  std::optional<Attempt> Current;
  std::uint32_t AttemptsMade = 0;
  /// Servers that it was sent to, the first reading of its prompt excluded.
  std::uint32_t ServersUsed = 0;
  std::uint32_t PrefillsMade = 0;
  bool MayHaveRun = false;
  bool HasHeader = false;
  std::uint64_t LastEvent = 0;
  /// Time to the first part of the answer, and the longest pause after it.
  Duration FirstPart{};
  Duration LongestPause{};
  std::set<std::string> Avoided;
  /// Header of the stream of the first server that began one; the caller gets
  /// it with the first event.
  std::optional<ServerAnswer> Header;

  /// Whether the request may run once more.
  [[nodiscard]] auto mayRepeat() const -> bool {
    return Matched->IsIdempotent || (Matched->IsStream && Matched->IsResumable);
  }
};

/// Whether the platform's store answers.
struct StoreState {
  /// Result of this instance's own last call.
  bool IsReachable = false;
  /// Last answer to this instance, or to a watcher that it relies on.
  Instant AnsweredAt;
  /// A call has failed since that answer.
  bool HasFailed = false;
  /// End of the last outage.
  Instant RegainedAt;
};

/// What is known of the object that allows to give orders.
struct Authority {
  bool IsKnown = false;
  /// A read or write is under way.
  bool IsPending = false;
  std::uint64_t Revision = 0;
  std::string Holder;
  Instant UnchangedSince;
  Instant NextRead;
};

/// An order that was planned or given and is not seen carried out.
struct StageOrder {
  EngineStage Stage = EngineStage::Any;
  Instant Until;
  bool IsSent = false;
};

/// Demand that this instance sees on one service.
struct ServiceDemand {
  DemandMeter Meter;
  Instant Since;
};

/// Who may order engines to change, and what has been ordered.
struct RoleState {
  Authority Authority;
  /// Orders by server.
  std::map<std::string, StageOrder> Orders;
  std::map<std::string, ServiceDemand, std::less<>> Demand;
  Instant NextPlan;
  Instant LastBatch;
  std::optional<Instant> WriteAt;
  /// Services whose demand has asked for a change, and since when.
  std::map<std::string, Instant> WantedSince;
};

/// State of one instance.
struct State {
  Identity Self;
  Options Given;
  Instant Started;
  Instant Now;
  std::shared_ptr<Configuration const> Current;
  ServerTable Servers;
  bool HasServers = false;
  /// Entries that vanished around an outage of the store, and since when.
  std::map<std::string, Instant> Vanished;
  StoreState Store;
  relay::Following Following;
  PeerTable Peers;
  std::optional<Instant> PeersListedAt;
  std::uint64_t ReportsSent = 0;
  Instant NextReport;
  Instant NextFullReport;
  std::vector<PeerPrefixUse> NewPrefixUses;
  PrefixIndex Prefixes;
  std::map<std::string, SpeedModel> Speeds;
  std::map<std::string, RetryAllowance> Retries;
  std::unordered_map<RequestNumber, Call> Calls;
  RoleState Roles;
  std::optional<Instant> LeavingSince;

  /// Returns whether \p Target watches the store and can be relied on.
  [[nodiscard]] auto isFreshWatcher(Peer const &Target) const -> bool {
    return Peers.isFresh(Target, Now, Given.WatcherFreshness);
  }
  [[nodiscard]] auto isReady() const -> bool {
    return Current && HasServers && !LeavingSince;
  }
};

} // namespace dotterel::relay
