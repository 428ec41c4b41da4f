#include "LibRelay/Peers.h"

#include "LibConfiguration/JsonNumber.h"
#include "LibCore/Hash.h"
#include "LibPeer/CborNesting.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace dotterel::relay {

namespace {

using nlohmann::json;

/// Upper bound on the reports that an instance receives per second; each costs
/// about ten microseconds of processor time.
constexpr auto MaximumReportsPerSecond = 600;
constexpr auto MinimumReportInterval = Duration{100ms};
/// Reports that may be missed before a peer counts as silent.
constexpr auto MaximumMissedReports = 6;
constexpr auto MinimumSilenceTimeout = Duration{1200ms};
/// Interval of reports to silent peers, and the time after which silent peers
/// are removed.
constexpr auto SilentPeerReportInterval = Duration{2s};
constexpr auto SilentPeerLifetime = Duration{60s};
/// Reports that a new peer gets at the usual interval even if it is silent. One
/// may be lost, and a peer that hears of no other instance issues permits.
constexpr auto FirstReports = std::uint64_t{5};

/// Bounds on what a report can say, so that sums of reports stay in range.
constexpr auto MaximumLoadRequests = std::uint32_t{1'000'000};
constexpr auto MaximumTokens = std::uint64_t{1} << 40U;
constexpr auto MaximumWeight = 1e6;
constexpr auto MaximumAge = std::chrono::milliseconds{24h * 30};

template <typename T> auto readList(json const &Source) -> std::vector<T> {
  auto values = std::vector<T>{};
  for (auto const &it : Source)
    values.push_back(readNumber<T>(it));
  return values;
}

auto readAge(json const &Source) -> Duration {
  return std::chrono::milliseconds(
      readNumber<std::int64_t>(Source, 0, MaximumAge.count()));
}

auto encodeQuarantine(QuarantineReport const &Report) -> json {
  auto interrupted = json::array();
  for (auto const &it : Report.Interrupted)
    interrupted.push_back({it.Server, it.Identity.Content, it.Segments,
                           it.Identity.Caller, it.Identity.Fields,
                           it.Identity.Exact, it.Identity.CallerPath,
                           it.Identity.Path, toMilliseconds(it.Age)});
  auto cleared = json::array();
  for (auto const &it : Report.Cleared) {
    cleared.push_back(it.Key);
    cleared.push_back(toMilliseconds(it.Age));
  }
  // Instances of the first format know segments only.
  auto segments = json::array();
  auto requests = json::array();
  auto ambiguousSegments = json::array();
  for (auto const &it : Report.Quarantined) {
    if (it.Suspect.Kind == SuspectKind::Segment) {
      segments.push_back(it.Suspect.Key);
      continue;
    }
    if (it.Suspect.Kind == SuspectKind::AmbiguousSegment) {
      ambiguousSegments.push_back(it.Suspect.Key);
      ambiguousSegments.push_back(toMilliseconds(it.CrashAge));
      continue;
    }
    requests.push_back(it.Suspect.Key);
    requests.push_back(it.Suspect.Kind == SuspectKind::AmbiguousRequest);
    requests.push_back(toMilliseconds(it.CrashAge));
  }
  return json::array({std::move(interrupted), std::move(cleared),
                      std::move(segments), std::move(requests),
                      std::move(ambiguousSegments)});
}

auto decodeQuarantine(json const &Source) -> QuarantineReport {
  auto report = QuarantineReport{};
  for (auto const &it : Source.at(0)) {
    auto interrupted = InterruptedRequest{};
    interrupted.Server = readNumber<ServerKey>(it.at(0));
    interrupted.Identity.Content = readNumber<SuspectKey>(it.at(1));
    interrupted.Segments = readList<SuspectKey>(it.at(2));
    constexpr auto FirstFormatFields = std::size_t{3};
    if (it.size() > FirstFormatFields) {
      interrupted.Identity.Caller = readNumber<SuspectKey>(it.at(3));
      interrupted.Identity.Fields = readNumber<SuspectKey>(it.at(4));
      interrupted.Identity.Exact = readNumber<SuspectKey>(it.at(5));
      interrupted.Identity.CallerPath = readNumber<SuspectKey>(it.at(6));
      interrupted.Identity.Path = readNumber<SuspectKey>(it.at(7));
      interrupted.Age = readAge(it.at(8));
    }
    report.Interrupted.push_back(std::move(interrupted));
  }
  auto const &cleared = Source.at(1);
  for (auto n = std::size_t{0}; n + 1 < cleared.size(); n += 2)
    report.Cleared.push_back(
        {readNumber<SuspectKey>(cleared[n]), readAge(cleared[n + 1])});
  for (auto const &it : Source.at(2))
    report.Quarantined.push_back(
        {{readNumber<SuspectKey>(it), SuspectKind::Segment}, Duration{}});
  constexpr auto RequestsIndex = std::size_t{3};
  if (Source.size() <= RequestsIndex)
    return report;
  auto const &requests = Source[RequestsIndex];
  for (auto n = std::size_t{0}; n + 2 < requests.size(); n += 3) {
    auto const kind = requests[n + 1].get<bool>()
                          ? SuspectKind::AmbiguousRequest
                          : SuspectKind::Request;
    report.Quarantined.push_back({{readNumber<SuspectKey>(requests[n]), kind},
                                  readAge(requests[n + 2])});
  }
  constexpr auto AmbiguousSegmentsIndex = std::size_t{4};
  if (Source.size() <= AmbiguousSegmentsIndex)
    return report;
  auto const &ambiguous = Source[AmbiguousSegmentsIndex];
  for (auto n = std::size_t{0}; n + 1 < ambiguous.size(); n += 2)
    report.Quarantined.push_back(
        {{readNumber<SuspectKey>(ambiguous[n]), SuspectKind::AmbiguousSegment},
         readAge(ambiguous[n + 1])});
  return report;
}

auto encodeLimits(std::vector<LimitReport> const &Limits) -> json {
  auto fields = json::array();
  for (auto const &it : Limits) {
    fields.push_back(it.Server);
    fields.push_back(it.PerSecond ? json(*it.PerSecond) : json(nullptr));
    fields.push_back(toMilliseconds(it.Age));
  }
  return fields;
}

auto decodeLimits(json const &Source) -> std::vector<LimitReport> {
  auto limits = std::vector<LimitReport>{};
  for (auto n = std::size_t{0}; n + 2 < Source.size(); n += 3) {
    auto limit = LimitReport{};
    limit.Server = readNumber<ServerKey>(Source[n]);
    if (!Source[n + 1].is_null())
      limit.PerSecond =
          readNumber(Source[n + 1], 0.0, std::numeric_limits<double>::max());
    limit.Age = readAge(Source[n + 2]);
    limits.push_back(limit);
  }
  return limits;
}

auto encodeLoads(PeerReport const &Report) -> json {
  auto loads = json::array();
  for (auto const &it : Report.Loads) {
    loads.push_back(it.Server);
    loads.push_back(it.Load.Requests);
    loads.push_back(it.Load.PromptTokens);
  }
  // Instances of the first format ignore what follows the groups of three, and
  // reject reports with more fields.
  auto fields = json::array(
      {Report.Leaving, Report.ConfigurationVersion, Report.ConfigurationEra});
  auto const hasFence = Report.LeaderFence > 0;
  auto const hasLimits = !Report.Limits.empty() || hasFence;
  if (!Report.Quarantine.isEmpty() || hasLimits)
    fields.push_back(encodeQuarantine(Report.Quarantine));
  if (hasLimits)
    fields.push_back(encodeLimits(Report.Limits));
  if (hasFence) {
    fields.push_back(Report.LeaderFence);
    fields.push_back(Report.LeaderVersion.packed());
  }
  loads.push_back(std::move(fields));
  return loads;
}

auto decodeVersion(json const &Source) -> StoreVersion {
  return StoreVersion::unpacked(
      readNumber<std::uint64_t>(Source, 0, StoreVersion::maximumPacked()));
}

/// Reads the fields after the loads. Reports of older formats lack some of
/// them.
auto decodeExtension(json const &Loads, PeerReport &Report) -> void {
  if (Loads.empty() || !Loads.back().is_array())
    return;
  auto const &fields = Loads.back();
  Report.Leaving = readList<ServerKey>(fields.at(0));
  Report.ConfigurationVersion = readNumber<std::uint64_t>(fields.at(1));
  Report.ConfigurationEra = readNumber<std::uint64_t>(fields.at(2));
  constexpr auto QuarantineIndex = std::size_t{3};
  if (fields.size() > QuarantineIndex)
    Report.Quarantine = decodeQuarantine(fields[QuarantineIndex]);
  constexpr auto LimitsIndex = std::size_t{4};
  if (fields.size() > LimitsIndex)
    Report.Limits = decodeLimits(fields[LimitsIndex]);
  constexpr auto LeaderFenceIndex = std::size_t{5};
  if (fields.size() > LeaderFenceIndex + 1) {
    Report.LeaderFence = decodeVersion(fields[LeaderFenceIndex]).packed();
    Report.LeaderVersion = decodeVersion(fields[LeaderFenceIndex + 1]);
  }
}

auto encodePrefixes(PeerReport const &Report) -> json {
  auto prefixes = json::array();
  for (auto const &it : Report.Prefixes) {
    prefixes.push_back(it.Hash);
    prefixes.push_back(it.Server);
  }
  return prefixes;
}

auto encodeDemands(PeerReport const &Report) -> json {
  auto demands = json::array();
  for (auto const &it : Report.Demands) {
    demands.push_back(it.Service);
    demands.push_back(std::llround(it.PerSecond.UnsharedTokens));
    demands.push_back(std::llround(it.PerSecond.PromptTokens));
  }
  return demands;
}

auto readTokenRate(json const &Source) -> double {
  return readNumber(Source, 0.0, static_cast<double>(MaximumTokens));
}

auto decodeDemands(json const &Source, PeerReport &Report) -> void {
  for (auto n = std::size_t{0}; n + 2 < Source.size(); n += 3)
    Report.Demands.push_back(
        {readNumber<std::uint64_t>(Source[n]),
         {readTokenRate(Source[n + 1]), readTokenRate(Source[n + 2])}});
}

auto encodeUpdate(ServerUpdate const &Update) -> json {
  if (!Update.Description)
    return json::array({Update.Id, Update.Version.packed()});
  auto const &server = *Update.Description;
  return json::array({Update.Id, Update.Version.packed(), server.Service,
                      server.Address, server.Domain, server.Slots,
                      server.IsDraining, static_cast<int>(server.Stage),
                      server.StartedAt, server.IsReclaimable});
}

auto decodeUpdate(json const &Source) -> ServerUpdate {
  auto update = ServerUpdate{Source.at(0).get<std::string>(),
                             decodeVersion(Source.at(1)), std::nullopt};
  if (Source.size() == 2)
    return update;
  auto &server = update.Description.emplace();
  server.Id = update.Id;
  server.Version = update.Version;
  server.Service = Source.at(2).get<std::string>();
  server.Address = Source.at(3).get<std::string>();
  server.Domain = Source.at(4).get<std::string>();
  server.Slots = readNumber<std::uint32_t>(Source.at(5));
  server.IsDraining = Source.at(6).get<bool>();
  server.Stage = static_cast<EngineStage>(readNumber<std::uint8_t>(
      Source.at(7), 0, static_cast<std::uint8_t>(EngineStage::Decode)));
  server.StartedAt = readNumber<std::uint64_t>(Source.at(8));
  // Instances of earlier versions do not send it.
  constexpr auto ReclaimableIndex = std::size_t{9};
  server.IsReclaimable =
      Source.size() > ReclaimableIndex && Source[ReclaimableIndex].get<bool>();
  return update;
}

auto encodeWatch(std::optional<WatchReport> const &Watch) -> json {
  if (!Watch)
    return nullptr;
  auto updates = json::array();
  for (auto const &it : Watch->Updates)
    updates.push_back(encodeUpdate(it));
  return json::array({toMilliseconds(Watch->Age), Watch->Configuration.packed(),
                      Watch->Base.packed(), Watch->AsOf.packed(),
                      std::move(updates)});
}

auto decodeWatch(json const &Source) -> std::optional<WatchReport> {
  if (Source.is_null())
    return std::nullopt;
  auto watch = WatchReport{};
  watch.Age = readAge(Source.at(0));
  watch.Configuration = decodeVersion(Source.at(1));
  watch.Base = decodeVersion(Source.at(2));
  watch.AsOf = decodeVersion(Source.at(3));
  for (auto const &it : Source.at(4))
    watch.Updates.push_back(decodeUpdate(it));
  return watch;
}

constexpr auto ReportFieldCount = std::size_t{14};

} // namespace

auto encodePeerReport(PeerReport const &Report) -> std::string {
  auto document = json::array(
      {Report.Instance, Report.Incarnation, Report.SequenceNumber,
       Report.CallerAddress, Report.IsFull, Report.IsReady, Report.IsLeaving,
       Report.Weight, encodeLoads(Report), encodePrefixes(Report),
       encodeDemands(Report), Report.Changing, encodeWatch(Report.Watch),
       Report.Unreachable});
  auto bytes = std::string{};
  json::to_cbor(document, bytes);
  return bytes;
}

auto decodePeerReport(std::string_view Bytes) -> std::optional<PeerReport> {
  try {
    if (!isFlatCbor(asBytes(Bytes)))
      return std::nullopt;
    // The library throws on an excessive length even if told not to.
    auto document = json::from_cbor(Bytes);
    if (!document.is_array() || document.size() != ReportFieldCount)
      return std::nullopt;
    auto report = PeerReport{};
    report.Instance = document[0].get<std::string>();
    report.Incarnation = readNumber<std::uint64_t>(document[1]);
    report.SequenceNumber = readNumber<std::uint64_t>(document[2]);
    report.CallerAddress = document[3].get<std::string>();
    report.IsFull = document[4].get<bool>();
    report.IsReady = document[5].get<bool>();
    report.IsLeaving = document[6].get<bool>();
    report.Weight = readNumber(document[7], 0.0, MaximumWeight);
    auto const &loads = document[8];
    for (auto n = std::size_t{0}; n + 2 < loads.size(); n += 3)
      report.Loads.push_back(
          {readNumber<ServerKey>(loads[n]),
           {readNumber<std::uint32_t>(loads[n + 1], 0, MaximumLoadRequests),
            readNumber<std::uint64_t>(loads[n + 2], 0, MaximumTokens)}});
    auto const &prefixes = document[9];
    for (auto n = std::size_t{0}; n + 1 < prefixes.size(); n += 2)
      report.Prefixes.push_back({readNumber<std::uint64_t>(prefixes[n]),
                                 readNumber<ServerKey>(prefixes[n + 1])});
    decodeDemands(document[10], report);
    report.Changing = readList<ServerKey>(document[11]);
    report.Watch = decodeWatch(document[12]);
    report.Unreachable = readList<ServerKey>(document[13]);
    decodeExtension(loads, report);
    return report;
  } catch (json::exception const &) {
    // Not a valid report; the function's caller counts and logs it.
    return std::nullopt;
  } catch (std::invalid_argument const &) {
    // The same: a number is out of range.
    return std::nullopt;
  }
}

auto rejectUnusableUpdates(PeerReport &Report) -> std::vector<RejectedUpdate> {
  auto rejected = std::vector<RejectedUpdate>{};
  if (!Report.Watch)
    return rejected;
  for (auto &it : Report.Watch->Updates) {
    auto reason = it.Description ? findFault(*it.Description) : "";
    if (reason.empty())
      continue;
    it.Description.reset();
    rejected.push_back({it.Id, std::move(reason)});
  }
  return rejected;
}

auto hasPrecedence(PeerReport const &Instance, double OtherWeight,
                   std::string_view OtherInstance) -> bool {
  if (Instance.Weight != OtherWeight)
    return Instance.Weight > OtherWeight;
  return hashText(Instance.Instance) < hashText(OtherInstance);
}

auto PeerTable::discover(PeerRecord const &Record, Instant Now) -> void {
  auto &peer = Peers[Record.PeerAddress];
  peer.PeerAddress = Record.PeerAddress;
  if (peer.LastHeardAt == Instant{})
    peer.LastHeardAt = Now;
}

auto PeerTable::removeLoads(Peer &Target, ServerTable &Servers) -> void {
  for (auto const &it : Target.LastReport->Loads) {
    if (auto *server = Servers.findByKey(it.Server))
      server->PeerLoad.subtract(it.Load);
  }
  Target.LastReport->Loads.clear();
}

auto PeerTable::accept(PeerReport Report, Instant Now, ServerTable &Servers)
    -> bool {
  auto &peer = Peers[Report.PeerAddress];
  peer.PeerAddress = Report.PeerAddress;
  if (peer.LastReport) {
    if (peer.LastReport->Incarnation == Report.Incarnation &&
        peer.LastReport->SequenceNumber >= Report.SequenceNumber)
      return false;
    removeLoads(peer, Servers);
  }
  if (!Report.IsFull) {
    // A partial report is useless without a preceding full one.
    if (!peer.LastReport || peer.LastReport->Incarnation != Report.Incarnation)
      return false;
    Report.Instance = peer.LastReport->Instance;
    Report.CallerAddress = peer.LastReport->CallerAddress;
    Report.Demands = peer.LastReport->Demands;
  }
  for (auto const &it : Report.Loads) {
    if (auto *server = Servers.findByKey(it.Server))
      server->PeerLoad.add(it.Load);
  }
  if (!isAlive(peer, Now) || peer.LastReport->Incarnation != Report.Incarnation)
    peer.HeardSince = Now;
  peer.LastHeardAt = Now;
  peer.LastReport = std::move(Report);
  return true;
}

auto PeerTable::expire(Instant Now, ServerTable &Servers) -> void {
  for (auto it = Peers.begin(); it != Peers.end();) {
    auto &peer = it->second;
    if (peer.LastReport && !isAlive(peer, Now))
      removeLoads(peer, Servers);
    if (Now - peer.LastHeardAt > SilentPeerLifetime)
      it = Peers.erase(it);
    else
      ++it;
  }
}

auto PeerTable::restoreLoads(Server &Target) const -> void {
  Target.PeerLoad = {};
  for (auto const &peer : Peers) {
    if (!peer.second.LastReport)
      continue;
    for (auto const &it : peer.second.LastReport->Loads) {
      if (it.Server == Target.Key)
        Target.PeerLoad.add(it.Load);
    }
  }
}

auto PeerTable::demandOf(std::string_view Service, Instant Now) const
    -> EngineDemand {
  auto sum = EngineDemand{};
  auto hash = hashText(Service);
  for (auto const &peer : Peers) {
    if (!isAlive(peer.second, Now))
      continue;
    for (auto const &it : peer.second.LastReport->Demands) {
      if (it.Service == hash)
        sum.add(it.PerSecond);
    }
  }
  return sum;
}

auto PeerTable::recipients(Instant Now) -> PeerRecipients {
  auto recipients = PeerRecipients{};
  for (auto &it : Peers) {
    auto &peer = it.second;
    auto const isSilent = !isAlive(peer, Now);
    if (isSilent && peer.ReportsSent >= FirstReports &&
        Now - peer.LastSentAt <= SilentPeerReportInterval)
      continue;
    peer.LastSentAt = Now;
    ++peer.ReportsSent;
    recipients.Addresses.push_back(peer.PeerAddress);
    recipients.HasSilent = recipients.HasSilent || isSilent;
  }
  return recipients;
}

auto PeerTable::isAlive(Peer const &Target, Instant Now) const -> bool {
  return Target.LastReport &&
         Now - Target.LastHeardAt <
             std::max(MinimumSilenceTimeout,
                      MaximumMissedReports * reportInterval());
}

auto PeerTable::isFresh(Peer const &Target, Instant Now,
                        Duration MaximumAge) const -> bool {
  return Target.LastReport && Target.LastReport->Watch &&
         !Target.LastReport->IsLeaving &&
         Now - Target.LastHeardAt + Target.LastReport->Watch->Age < MaximumAge;
}

auto PeerTable::reportInterval() const -> Duration {
  return std::max(MinimumReportInterval,
                  Duration{1s} * static_cast<std::int64_t>(Peers.size()) /
                      MaximumReportsPerSecond);
}

} // namespace dotterel::relay
