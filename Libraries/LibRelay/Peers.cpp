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
constexpr auto ReportsPerSecond = 300;
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
    demands.push_back(std::llround(it.PerSecond.OwnTokens));
    demands.push_back(std::llround(it.PerSecond.PromptTokens));
  }
  return demands;
}

auto decodeDemands(json const &From, PeerReport &Into) -> void {
  for (auto n = std::size_t{0}; n + 2 < From.size(); n += 3)
    Into.Demands.push_back({From[n].get<std::uint64_t>(),
                            {From[n + 1].get<double>(),
                             From[n + 2].get<double>()}});
}

constexpr auto ReportFields = std::size_t{12};

} // namespace

auto encodePeerReport(PeerReport const &Message) -> std::string {
  auto document =
      json::array({Message.Instance, Message.Incarnation, Message.Number,
                   Message.CallerAddress, Message.PeerAddress, Message.IsReady,
                   Message.IsLeaving, Message.Weight, encodeLoads(Message),
                   encodePrefixes(Message), encodeDemands(Message),
                   Message.Changing});
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
    message.Number = document[2].get<std::uint64_t>();
    message.CallerAddress = document[3].get<std::string>();
    message.PeerAddress = document[4].get<std::string>();
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
      message.Prefixes.push_back({prefixes[n].get<std::uint64_t>(),
                                  prefixes[n + 1].get<ServerKey>()});
    decodeDemands(document[10], message);
    message.Changing = document[11].get<std::vector<ServerKey>>();
    return message;
  } catch (json::exception const &) {
    // Not a report; the caller counts and logs it.
    return std::nullopt;
  }
}

auto PeerTable::discover(PeerRecord const &Found, Instant Now) -> void {
  auto &peer = Known[Found.PeerAddress];
  peer.PeerAddress = Found.PeerAddress;
  if (peer.HeardAt == Instant{})
    peer.HeardAt = Now;
}

auto PeerTable::forgetLoads(Peer &Target, ServerTable &Servers) -> void {
  for (auto const &it : Target.Last->Loads) {
    if (auto *server = Servers.findKey(it.Server))
      server->OfPeers.subtract(it.Load);
  }
  Target.Last->Loads.clear();
}

auto PeerTable::accept(PeerReport Message, Instant Now, ServerTable &Servers)
    -> bool {
  auto &peer = Known[Message.PeerAddress];
  peer.PeerAddress = Message.PeerAddress;
  if (peer.Last) {
    if (peer.Last->Incarnation == Message.Incarnation &&
        peer.Last->Number >= Message.Number)
      return false;
    forgetLoads(peer, Servers);
  }
  for (auto const &it : Message.Loads) {
    if (auto *server = Servers.findKey(it.Server))
      server->OfPeers.add(it.Load);
  }
  peer.HeardAt = Now;
  peer.Last = std::move(Message);
  return true;
}

auto PeerTable::expire(Instant Now, ServerTable &Servers) -> void {
  for (auto it = Known.begin(); it != Known.end();) {
    auto &peer = it->second;
    if (peer.Last && !isAlive(peer, Now))
      forgetLoads(peer, Servers);
    if (Now - peer.HeardAt > ForgetAfter)
      it = Known.erase(it);
    else
      ++it;
  }
}

auto PeerTable::restoreLoads(Server &Target) const -> void {
  Target.OfPeers = {};
  for (auto const &peer : Known) {
    if (!peer.second.Last)
      continue;
    for (auto const &it : peer.second.Last->Loads) {
      if (it.Server == Target.Key)
        Target.OfPeers.add(it.Load);
    }
  }
}

auto PeerTable::demandOf(std::string_view Service, Instant Now) const
    -> EngineDemand {
  auto sum = EngineDemand{};
  auto hash = hashText(Service);
  for (auto const &peer : Known) {
    if (!isAlive(peer.second, Now))
      continue;
    for (auto const &it : peer.second.Last->Demands) {
      if (it.Service == hash)
        sum.add(it.PerSecond);
    }
  }
  return sum;
}

auto PeerTable::recipients(Instant Now) -> std::vector<std::string> {
  auto addresses = std::vector<std::string>{};
  for (auto &it : Known) {
    auto &peer = it.second;
    auto isTried = isAlive(peer, Now) || Now - peer.TriedAt > SilentTryInterval;
    if (!isTried)
      continue;
    peer.TriedAt = Now;
    addresses.push_back(peer.PeerAddress);
  }
  return addresses;
}

auto PeerTable::isAlive(Peer const &Target, Instant Now) const -> bool {
  return Target.Last &&
         Now - Target.HeardAt <
             std::max(ShortestSilence, MissedReports * reportInterval());
}

auto PeerTable::reportInterval() const -> Duration {
  return std::max(ShortestInterval,
                  Duration{1s} * static_cast<std::int64_t>(Known.size()) /
                      ReportsPerSecond);
}

} // namespace dotterel::relay
