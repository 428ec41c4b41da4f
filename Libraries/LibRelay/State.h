/// \file
/// State of a relaying instance. Only the reducer changes it.
#pragma once

#include "LibCore/TrueTime.h"
#include "LibCustomer/UsageLedger.h"
#include "LibRelay/DemandMeter.h"
#include "LibRelay/Event.h"
#include "LibRelay/LeaderLease.h"
#include "LibRelay/PrefixIndex.h"
#include "LibRelay/RequestIdentity.h"
#include "LibRelay/RequestLimits.h"
#include "LibRelay/RetryBudget.h"
#include "LibRelay/ServerPlan.h"
#include "LibRelay/SpeedModel.h"
#include "LibRelay/StoreWatch.h"
#include "LibRelay/SuspectQuarantine.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace dotterel::relay {

/// Identifies one run of one instance.
struct Identity {
  std::string Instance;
  std::uint64_t Incarnation = 0;
  std::string Domain;
  std::string CallerAddress;
  std::string PeerAddress;
  /// Share of callers that the instance should receive, relative to its peers.
  double Weight = 1;
};

/// Settings of the reducer's decisions.
struct Options {
  RetryLimits Retries;
  /// Time from the request to stop until the process is killed.
  Duration LeaveTimeout = 8s;
  /// Time between two heartbeats that a server sends to the store.
  Duration ServerHeartbeatInterval = 1200ms;
  /// Age of a watcher's last store response up to which its peers rely on it.
  /// This is half of the time within which a leaving server must stop receiving
  /// requests; the other half is left for an instance to query the store
  /// itself.
  Duration MaximumWatcherAge = 1s;
  /// The whole system starts for the first time, before any traffic.
  bool IsFirstStart = false;
  /// Share of a service's engines that serve the prefill stage until traffic
  /// shows the demand; applied at the first start.
  double PrefillShare = 0.65;
  /// Time after the removal of a customer's key from which no instance may
  /// serve a request that carries it; none if instances may lag behind.
  std::optional<Duration> RevocationBound;
  /// Length of the windows in which the usage of customers is reported, or zero
  /// if it is not.
  Duration UsageWindow{};
  /// Time from the end of a window until its report is due.
  Duration UsageDeadline{};
  /// The number of servers is to be ordered.
  bool OrdersServers = false;
  /// Servers that stay on-demand ones, as a share of those at the start.
  double OnDemandServerShare = 0.2;
  /// Longest time for which a caller may cache a steering response.
  Duration SteeringLifetime = 3s;

  /// Returns the time within which the store removes the entry of a server that
  /// sends no more heartbeats, and this is known.
  [[nodiscard]] auto entryRemovalTime() const -> Duration {
    constexpr auto MissedHeartbeats = 3;
    return (MissedHeartbeats + 1) * ServerHeartbeatInterval;
  }
};

/// A prompt whose KV cache a server keeps until another server fetches it.
struct PrefilledPrompt {
  ServerKey Server = 0;
  std::string Address;
  std::string Handle;
};

/// One attempt to serve a request at one backend server.
struct Attempt {
  std::uint32_t Number = 0;
  std::string Server;
  ServerKey Key = 0;
  std::string Address;
  /// The attempt runs prefill only; another attempt decodes.
  bool IsPrefill = false;
  bool IsSent = false;
  bool HasFirstPart = false;
  /// The prompt tokens are counted as outstanding at the server.
  bool HasOutstandingTokens = false;
  Instant SentAt;
  Instant LastPartAt;
  /// A large body is being passed on.
  bool ForwardsBody = false;
  /// Framing of the streamed response, once its header has arrived.
  std::optional<BodyFraming> Framing;
  /// Prompt tokens to prefill for this attempt, and prompt tokens that were
  /// already outstanding at the server.
  std::uint64_t PromptTokens = 0;
  std::uint64_t TokensAhead = 0;
  Duration Forecast{};
  std::optional<std::uint32_t> QueueRank;
  /// Set while the attempt waits for another instance's permit.
  std::optional<Instant> PermitRequestedAt;
  /// Set if the prompt was prefilled separately.
  std::optional<PrefilledPrompt> Prefilled;
  std::string CacheSource;
};

/// A request whose final response has not been delivered.
struct InFlightRequest {
  RequestPointer Content;
  /// Keeps MatchedRoute valid while a newer configuration is in force.
  std::shared_ptr<Configuration const> Config;
  Route const *MatchedRoute = nullptr;
  std::string Service;
  std::vector<Prefix> Prefixes;
  RequestIdentity Identity;
  /// Name of the customer that the request is served for, or empty.
  std::string Customer;
  /// Takes precedence over the route's priority.
  std::optional<std::uint32_t> CustomerPriority;
  /// The customer's usage contains the request.
  bool IsCounted = false;
  std::vector<SuspectKey> SharedSegments;
  /// Set if the request is the trial of an ambiguous suspect in quarantine.
  std::optional<SuspectKey> TrialOf;
  Instant ArrivedAt;
  Instant Deadline;
  std::optional<Attempt> CurrentAttempt;
  std::uint32_t AttemptsMade = 0;
  /// Attempts among them that got no permit.
  std::uint32_t PermitsDenied = 0;
  /// Servers that received the request, not counting the first separate
  /// prefill.
  std::uint32_t ServersUsed = 0;
  std::uint32_t PrefillsMade = 0;
  /// Times that the request was sent for prefill only, and otherwise.
  std::uint32_t PrefillsSent = 0;
  std::uint32_t DecodesSent = 0;
  /// A server has accepted a separate prefill.
  bool HasPrefilled = false;
  /// Retries that were withdrawn from the budget and have not been sent.
  std::uint32_t RetryCredit = 0;
  bool MayHaveRun = false;
  bool HasHeader = false;
  /// Id of the last event that the caller has, if any. Ids may begin with 0.
  std::optional<std::uint64_t> LastEventId;
  /// Time to the first part of the response, and the longest pause after it.
  Duration TimeToFirstPart{};
  Duration LongestPause{};
  std::set<std::string> ExcludedServers;
  /// Header of the first stream that a server started; forwarded to the caller
  /// together with the first event.
  std::optional<ServerResponse> StreamHeader;

  /// Returns the keys of the request itself and of its shared segments.
  [[nodiscard]] auto suspectKeys() const -> std::vector<SuspectKey> {
    return relay::suspectKeys(Identity, SharedSegments);
  }

  /// Returns the number of attempts to connect to a server.
  [[nodiscard]] auto attemptsStarted() const -> std::uint32_t {
    return AttemptsMade - PermitsDenied;
  }

  /// Returns how often the request was sent, without the first separate prefill
  /// that a server accepted. Each time beyond the first is a retry.
  [[nodiscard]] auto countedSends() const -> std::uint32_t {
    return PrefillsSent + DecodesSent - (HasPrefilled ? 1 : 0);
  }

  /// Zero is the most urgent.
  [[nodiscard]] auto priority() const -> std::uint32_t {
    return CustomerPriority.value_or(MatchedRoute->Priority);
  }

  /// Returns whether the request may be executed more than once.
  [[nodiscard]] auto isRetryable() const -> bool {
    return MatchedRoute->IsIdempotent ||
           (MatchedRoute->IsStream && MatchedRoute->IsResumable);
  }
};

/// Reachability of the platform's store.
struct StoreState {
  /// Result of this instance's last call to the store.
  bool IsReachable = false;
  /// Last response to this instance, or to a watcher that it relies on.
  Instant LastResponseAt;
  /// A call has failed since that response.
  bool HasFailed = false;
  /// End of the last outage.
  Instant OutageEndedAt;
  /// Latest era in which the store was seen, by this instance or a peer.
  std::uint64_t Era = 0;
  /// Version of the first list of servers in the latest era. Older entries of
  /// that era may come from the copy that the store was restored from.
  StoreVersion EraStart;
};

/// The lease object as last read from the store. Its holder may send orders.
struct Lease {
  bool IsKnown = false;
  /// A read or a write is in flight.
  bool IsPending = false;
  StoreVersion Version;
  std::string Holder;
  Instant UnchangedSince;
  Instant NextReadAt;
  /// Until then, the holder of an earlier era may still have orders in flight.
  Instant SuspendedUntil;
};

/// An order that is planned or sent and whose effect has not been observed.
struct StageOrder {
  EngineStage Stage = EngineStage::Any;
  Instant ExpiresAt;
  bool IsSent = false;
};

/// Demand of the requests that this instance received for one service.
struct ServiceDemand {
  DemandMeter Meter;
  Instant ObservedSince;
};

/// The lease, the pending orders and the demand that they are planned from.
struct RoleState {
  relay::Lease Lease;
  /// Orders by server id.
  std::map<std::string, StageOrder> Orders;
  std::map<std::string, ServiceDemand, std::less<>> Demand;
  Instant NextPlanAt;
  Instant LastBatchAt;
  std::optional<Instant> LeaseWriteAt;
  /// Services whose demand calls for a stage change, and since when.
  std::map<std::string, Instant> WantedSince;
};

/// The customers' requests, and what is needed to serve and to count them.
struct CustomerState {
  KeyConfirmation Confirmation;
  /// The confirmation is recent enough, or none is needed.
  bool IsConfirmed = true;
  std::uint64_t ConfirmationsAsked = 0;
  UsageLedger Usage;
  Instant NextUsageAt;
  Instant NextFullUsageAt;
};

/// An order of servers that is not known to be carried out.
struct ServerOrder {
  /// None before the first order.
  std::optional<std::uint32_t> Count;
  Instant NextAt;
  /// The platform has accepted the order.
  bool IsAccepted = false;
  /// The platform had none; other servers are ordered until then.
  Instant UnavailableUntil;
};

/// The servers of a service, and since when their number has not changed.
struct SettlingServers {
  ServersByDomain Servers;
  Instant Since;
};

/// Service, failure domain, and whether the servers are reclaimable.
using ServerOrderKey = std::tuple<std::string, std::string, bool>;

/// State of the leader, the one instance that acts for all.
struct LeaderState {
  LeaderLease Lease;
  /// The latest write of the lease that a peer announced, and when.
  StoreVersion AnnouncedVersion;
  Instant AnnouncedAt;
  /// Windows whose report the platform has accepted, and when to send the
  /// others again.
  std::set<UsageWindow> Accepted;
  std::map<UsageWindow, Instant> NextSendAt;
  std::map<ServerOrderKey, ServerOrder> Orders;
  std::map<std::string, SettlingServers> Settling;
  Instant NextPlanAt;
};

/// Time within which an instance that has just started receives reports from
/// its peers. What it decides for the fleet before would be wrong.
inline constexpr auto PeerDiscoveryPeriod = Duration{1300ms};
/// An instance that cannot list its peers acts without them after this time.
inline constexpr auto PeerListTimeout = Duration{4s};

struct State {
  Identity Self;
  relay::Options Options;
  Instant StartedAt;
  Instant Now;
  /// End of the last time in which no event was handled.
  Instant ResumedAt;
  std::shared_ptr<Configuration const> Config;
  /// Era of the store in which the version in force was read last, and the
  /// version that the store held last.
  std::uint64_t ConfigurationEra = 0;
  std::uint64_t StoredConfiguration = 0;
  /// A peer has a newer version from before the store was restored. The version
  /// of this instance must not be applied until that one is written again.
  bool IsBehindPeers = false;
  ServerTable Servers;
  bool HasServers = false;
  /// Servers whose entries disappeared during or shortly after an outage of the
  /// store, and since when.
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
  SuspectQuarantine Quarantine{relay::Options{}.entryRemovalTime()};
  RequestLimits Limits;
  std::map<std::string, SpeedModel> SpeedModels;
  std::map<std::string, RetryBudget> RetryBudgets;
  std::unordered_map<RequestNumber, InFlightRequest> Requests;
  RoleState Roles;
  CustomerState Customers;
  LeaderState Leader;
  /// Readings of the clocks at the last tick.
  Instant TickedAt;
  Duration SinceBootAtTick{};
  TrueTime TimeOfDay;
  std::optional<Instant> LeavingSince;

  /// Returns the time since boot, as far as it is known. A process that was
  /// suspended since the last tick does not know it.
  [[nodiscard]] auto sinceBoot(Instant At) const -> Duration {
    return SinceBootAtTick + (At - TickedAt);
  }
  /// Returns the usage window that \p At lies in. Precondition: usage is
  /// reported.
  [[nodiscard]] auto usageWindow(Instant At) const -> UsageWindow {
    return static_cast<UsageWindow>(TimeOfDay.at(sinceBoot(At)) /
                                    Options.UsageWindow);
  }

  /// Returns whether \p Target watches the store and its last store response is
  /// recent enough to rely on.
  [[nodiscard]] auto isFreshWatcher(Peer const &Target) const -> bool {
    return Peers.isFresh(Target, Now, Options.MaximumWatcherAge);
  }
  /// Returns whether the instance has had the time to hear from its peers.
  [[nodiscard]] auto knowsPeers() const -> bool {
    return PeersListedAt ? Now - *PeersListedAt > PeerDiscoveryPeriod
                         : Now - StartedAt > PeerListTimeout;
  }
  [[nodiscard]] auto isReady() const -> bool {
    return Config && HasServers && !LeavingSince && !IsBehindPeers &&
           Customers.IsConfirmed;
  }
};

} // namespace dotterel::relay
