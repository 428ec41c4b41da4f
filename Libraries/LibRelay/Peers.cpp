#include "LibRelay/Peers.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace dotterel::relay {

namespace {

using nlohmann::json;

/// Reports that an instance takes in per second; each costs some ten
/// microseconds of processor time.
constexpr auto ReportsPerSecond = 600;
constexpr auto ShortestInterval = Duration{100ms};
/// Reports that may be lost before a peer counts as silent.
constexpr auto MissedReports = 6;
constexpr auto ShortestSilence = Duration{1200ms};
/// Silent peers are tried this often, and forgotten after the longer time.
constexpr auto SilentTryInterval = Duration{2s};
constexpr auto ForgetAfter = Duration{60s};

auto encodeLoads(PeerReport const &Message) -> json {
  auto loads = json::array();
  for (auto const &it : Message.Loads) {
    loads.push_back(it.Server);
    loads.push_back(it.Load.Requests);
    loads.push_back(it.Load.PromptTokens);
  }
  return loads;
}

auto encodePrefixes(PeerReport const &Message) -> json {
  auto prefixes = json::array();
  for (auto const &it : Message.Prefixes) {
    prefixes.push_back(it.Hash);
    prefixes.push_back(it.Server);
  }
  return prefixes;
}

auto encodeDemands(PeerReport const &Message) -> json {
  auto demands = json::array();
  for (auto const &it : Message.Demands) {
    demands.push_back(it.Service);
    demands.push_back(std::llround(it.PerSecond.UnsharedTokens));
    demands.push_back(std::llround(it.PerSecond.PromptTokens));
  }
  return demands;
}

auto decodeDemands(json const &From, PeerReport &Into) -> void {
  for (auto n = std::size_t{0}; n + 2 < From.size(); n += 3)
    Into.Demands.push_back(
        {From[n].get<std::uint64_t>(),
         {From[n + 1].get<double>(), From[n + 2].get<double>()}});
}

auto encodeUpdate(ServerUpdate const &From) -> json {
  if (!From.Description)
    return json::array({From.Id, From.Revision});
  auto const &server = *From.Description;
  return json::array({From.Id, From.Revision, server.Service, server.Address,
                      server.Domain, server.Slots, server.IsDraining,
                      static_cast<int>(server.Stage), server.StartedAt});
}

auto decodeUpdate(json const &From) -> ServerUpdate {
  auto update = ServerUpdate{From.at(0).get<std::string>(),
                             From.at(1).get<std::uint64_t>(), std::nullopt};
  if (From.size() == 2)
    return update;
  auto &server = update.Description.emplace();
  server.Id = update.Id;
  server.Revision = update.Revision;
  server.Service = From.at(2).get<std::string>();
  server.Address = From.at(3).get<std::string>();
  server.Domain = From.at(4).get<std::string>();
  server.Slots = From.at(5).get<std::uint32_t>();
  server.IsDraining = From.at(6).get<bool>();
  server.Stage = static_cast<EngineStage>(From.at(7).get<std::uint8_t>());
  server.StartedAt = From.at(8).get<std::uint64_t>();
  return update;
}

auto encodeWatch(std::optional<WatchReport> const &From) -> json {
  if (!From)
    return nullptr;
  auto updates = json::array();
  for (auto const &it : From->Updates)
    updates.push_back(encodeUpdate(it));
  return json::array({toMilliseconds(From->Age), From->Configuration,
                      From->BaseRevision, From->AsOf, std::move(updates)});
}

auto decodeWatch(json const &From) -> std::optional<WatchReport> {
  if (From.is_null())
    return std::nullopt;
  auto watch = WatchReport{};
  watch.Age = std::chrono::milliseconds(From.at(0).get<std::int64_t>());
  watch.Configuration = From.at(1).get<std::uint64_t>();
  watch.BaseRevision = From.at(2).get<std::uint64_t>();
  watch.AsOf = From.at(3).get<std::uint64_t>();
  for (auto const &it : From.at(4))
    watch.Updates.push_back(decodeUpdate(it));
  return watch;
}

constexpr auto ReportFields = std::size_t{14};

} // namespace

auto encodePeerReport(PeerReport const &Message) -> std::string {
  auto document = json::array(
      {Message.Instance, Message.Incarnation, Message.SequenceNumber,
       Message.CallerAddress, Message.IsFull, Message.IsReady,
       Message.IsLeaving, Message.Weight, encodeLoads(Message),
       encodePrefixes(Message), encodeDemands(Message), Message.Changing,
       encodeWatch(Message.Watch), Message.Unreachable});
  auto bytes = std::string{};
  json::to_cbor(document, bytes);
  return bytes;
}

auto decodePeerReport(std::string_view Bytes) -> std::optional<PeerReport> {
  auto document = json::from_cbor(Bytes, true, false);
  if (!document.is_array() || document.size() != ReportFields)
    return std::nullopt;
  try {
    auto message = PeerReport{};
    message.Instance = document[0].get<std::string>();
    message.Incarnation = document[1].get<std::uint64_t>();
    message.SequenceNumber = document[2].get<std::uint64_t>();
    message.CallerAddress = document[3].get<std::string>();
    message.IsFull = document[4].get<bool>();
    message.IsReady = document[5].get<bool>();
    message.IsLeaving = document[6].get<bool>();
    message.Weight = document[7].get<double>();
    auto const &loads = document[8];
    for (auto n = std::size_t{0}; n + 2 < loads.size(); n += 3)
      message.Loads.push_back({loads[n].get<ServerKey>(),
                               {loads[n + 1].get<std::uint32_t>(),
                                loads[n + 2].get<std::uint64_t>()}});
    auto const &prefixes = document[9];
    for (auto n = std::size_t{0}; n + 1 < prefixes.size(); n += 2)
      message.Prefixes.push_back(
          {prefixes[n].get<std::uint64_t>(), prefixes[n + 1].get<ServerKey>()});
    decodeDemands(document[10], message);
    message.Changing = document[11].get<std::vector<ServerKey>>();
    message.Watch = decodeWatch(document[12]);
    message.Unreachable = document[13].get<std::vector<ServerKey>>();
    return message;
  } catch (json::exception const &) {
    // Not a report; the caller counts and logs it.
    return std::nullopt;
  }
}

auto PeerTable::discover(PeerRecord const &Found, Instant Now) -> void {
  auto &peer = Peers[Found.PeerAddress];
  peer.PeerAddress = Found.PeerAddress;
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

auto PeerTable::accept(PeerReport Message, Instant Now, ServerTable &Servers)
    -> bool {
  auto &peer = Peers[Message.PeerAddress];
  peer.PeerAddress = Message.PeerAddress;
  if (peer.LastReport) {
    if (peer.LastReport->Incarnation == Message.Incarnation &&
        peer.LastReport->SequenceNumber >= Message.SequenceNumber)
      return false;
    removeLoads(peer, Servers);
  }
  if (!Message.IsFull) {
    // Nothing can be said of an instance that has not introduced itself.
    if (!peer.LastReport || peer.LastReport->Incarnation != Message.Incarnation)
      return false;
    Message.Instance = peer.LastReport->Instance;
    Message.CallerAddress = peer.LastReport->CallerAddress;
    Message.Demands = peer.LastReport->Demands;
  }
  for (auto const &it : Message.Loads) {
    if (auto *server = Servers.findByKey(it.Server))
      server->PeerLoad.add(it.Load);
  }
  peer.LastHeardAt = Now;
  peer.LastReport = std::move(Message);
  return true;
}

auto PeerTable::expire(Instant Now, ServerTable &Servers) -> void {
  for (auto it = Peers.begin(); it != Peers.end();) {
    auto &peer = it->second;
    if (peer.LastReport && !isAlive(peer, Now))
      removeLoads(peer, Servers);
    if (Now - peer.LastHeardAt > ForgetAfter)
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

auto PeerTable::recipients(Instant Now) -> std::vector<std::string> {
  auto addresses = std::vector<std::string>{};
  for (auto &it : Peers) {
    auto &peer = it.second;
    auto isTried =
        isAlive(peer, Now) || Now - peer.LastSentAt > SilentTryInterval;
    if (!isTried)
      continue;
    peer.LastSentAt = Now;
    addresses.push_back(peer.PeerAddress);
  }
  return addresses;
}

auto PeerTable::isAlive(Peer const &Target, Instant Now) const -> bool {
  return Target.LastReport &&
         Now - Target.LastHeardAt <
             std::max(ShortestSilence, MissedReports * reportInterval());
}

auto PeerTable::isFresh(Peer const &Target, Instant Now, Duration Bound) const
    -> bool {
  return Target.LastReport && Target.LastReport->Watch &&
         !Target.LastReport->IsLeaving &&
         Now - Target.LastHeardAt + Target.LastReport->Watch->Age < Bound;
}

auto PeerTable::reportInterval() const -> Duration {
  return std::max(ShortestInterval,
                  Duration{1s} * static_cast<std::int64_t>(Peers.size()) /
                      ReportsPerSecond);
}

} // namespace dotterel::relay
