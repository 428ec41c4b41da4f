#include "LibControl/MembershipReducer.h"

#include "LibControl/BackendReducer.h"
#include "LibControl/OrderReducer.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr auto HeartbeatInterval = Duration{500ms};
constexpr auto ListInterval = Duration{1s};
constexpr auto ReconnectInterval = Duration{300ms};
/// Time for which an instance must be absent from the list, and disconnected,
/// before its process counts as ended.
constexpr auto RemovalBound = Duration{10s};

} // namespace

auto MembershipReducer::on(InstancesListed const &Happened) -> void {
  auto &members = Subject.Members;
  members.IsListing = false;
  members.HasList = true;
  members.NextList = now() + ListInterval;
  for (auto const &it : Happened.Instances)
    if (it.Id != Subject.Self.Id)
      mergeListed(it);
  noteUnlisted(Happened.Instances);
}

auto MembershipReducer::on(InstanceListFailed const & /*Happened*/) -> void {
  Subject.Members.IsListing = false;
  Subject.Members.NextList = now() + ListInterval;
}

auto MembershipReducer::mergeListed(ListedInstance const &Listed) -> void {
  auto &peer = Subject.Members.Peers[Listed.Id];
  peer.CallerAddress = Listed.CallerAddress;
  peer.PeerAddress = Listed.PeerAddress;
  peer.Domain = Listed.Domain;
  peer.IsListed = true;
  peer.IsListedLeaving = Listed.IsLeaving;
}

auto MembershipReducer::noteUnlisted(std::vector<ListedInstance> const &Listed)
    -> void {
  for (auto &it : Subject.Members.Peers) {
    auto isListed = std::ranges::find(Listed, it.first, &ListedInstance::Id) !=
                    Listed.end();
    if (isListed)
      continue;
    if (it.second.IsListed)
      it.second.UnlistedSince = now();
    it.second.IsListed = false;
  }
}

auto MembershipReducer::on(PeerConnected const &Happened) -> void {
  auto &peer = Subject.Members.Peers[Happened.Peer];
  if (peer.Run != 0 && peer.Run != Happened.Run)
    Subject.Members.EndedRuns.insert(peer.Run);
  peer.IsConnected = true;
  peer.IsConnecting = false;
  peer.Run = Happened.Run;
  peer.LastHeard = now();
  peer.Heartbeat = {};
  emit(SendPeer{Happened.Peer, makeHeartbeat()});
}

auto MembershipReducer::on(PeerDisconnected const &Happened) -> void {
  auto it = Subject.Members.Peers.find(Happened.Peer);
  if (it == Subject.Members.Peers.end())
    return;
  it->second.IsConnected = false;
  it->second.IsConnecting = false;
  it->second.NextConnect = now() + ReconnectInterval;
  if (!it->second.IsListed)
    it->second.UnlistedSince = now();
}

auto MembershipReducer::on(PeerHeartbeatReceived const &Happened) -> void {
  auto it = Subject.Members.Peers.find(Happened.Peer);
  if (it == Subject.Members.Peers.end() ||
      Happened.Heartbeat.Run != it->second.Run)
    return;
  it->second.LastHeard = now();
  it->second.Heartbeat = Happened.Heartbeat;
  auto const &current = Subject.Configuration.Current;
  auto held = current ? current->revision() : 0;
  if (Happened.Heartbeat.Configuration > held)
    emit(SendPeer{Happened.Peer, ConfigurationRequest{}});
  auto changed = false;
  for (auto const &announcement : Happened.Heartbeat.Announcements)
    changed |= BackendReducer(Subject, Out).honour(announcement);
  if (changed)
    emit(SendPeer{Happened.Peer, makeHeartbeat()});
}

auto MembershipReducer::on(Tick const & /*Happened*/) -> void {
  auto &members = Subject.Members;
  if (!members.IsListing && members.NextList <= now()) {
    members.IsListing = true;
    emit(ListInstances{});
  }
  disconnectSilentPeers();
  forgetGonePeers();
  connectMissingPeers();
  if (members.NextHeartbeat <= now())
    broadcastHeartbeat();
}

auto MembershipReducer::disconnectSilentPeers() -> void {
  for (auto &it : Subject.Members.Peers)
    if (it.second.IsConnected && !isAlive(it.second, now()))
      emit(DisconnectPeer{it.first});
}

auto MembershipReducer::forgetGonePeers() -> void {
  auto &members = Subject.Members;
  std::erase_if(members.Peers, [&](auto const &Item) {
    auto const &peer = Item.second;
    if (peer.IsListed || peer.IsConnected || peer.IsConnecting)
      return false;
    if (now() - peer.UnlistedSince < RemovalBound)
      return false;
    members.EndedRuns.insert(peer.Run);
    return true;
  });
}

auto MembershipReducer::connectMissingPeers() -> void {
  for (auto &it : Subject.Members.Peers) {
    auto &peer = it.second;
    // One side connects, so that two instances hold one connection.
    if (it.first < Subject.Self.Id || !peer.IsListed)
      continue;
    if (peer.IsConnected || peer.IsConnecting || peer.NextConnect > now())
      continue;
    peer.IsConnecting = true;
    emit(ConnectPeer{it.first, peer.PeerAddress});
  }
}

auto MembershipReducer::broadcastHeartbeat() -> void {
  Subject.Members.NextHeartbeat = now() + HeartbeatInterval;
  auto heartbeat = makeHeartbeat();
  for (auto const &it : Subject.Members.Peers)
    if (it.second.IsConnected)
      emit(SendPeer{it.first, heartbeat});
}

auto MembershipReducer::makeHeartbeat() const -> PeerHeartbeat {
  auto heartbeat = PeerHeartbeat{};
  heartbeat.Run = Subject.Self.Run;
  if (Subject.Configuration.Current)
    heartbeat.Configuration = Subject.Configuration.Current->revision();
  heartbeat.IsLeaving = Subject.LeaveRequestedAt != Instant{};
  heartbeat.CanReachObjectApi = Subject.Configuration.IsApiReachable;
  heartbeat.OutstandingCalls =
      static_cast<std::uint32_t>(Subject.Calls.Calls.size());
  heartbeat.KeyPrefix =
      formatKeyPrefix({Subject.Self.Run, Subject.Calls.Keys.epoch()});
  heartbeat.Announcements = announcementsOf(Subject);
  for (auto const &it : Subject.Backends.Drains)
    heartbeat.AcknowledgedDrains.push_back({it.first, it.second.Order});
  heartbeat.Releases = yieldsOf(Subject);
  return heartbeat;
}

auto hasEnded(State const &Subject, InstanceId const &Holder, Incarnation Run,
              Instant KnownSince) -> bool {
  if (Run == Subject.Self.Run)
    return false;
  // Two runs of one instance cannot hold its addresses at once.
  if (Holder == Subject.Self.Id)
    return true;
  auto const &members = Subject.Members;
  if (members.EndedRuns.contains(Run))
    return true;
  auto it = members.Peers.find(Holder);
  if (it == members.Peers.end())
    return members.HasList && Subject.Now - Subject.Started > RemovalBound;
  // Another run still speaks well after this one was known to have run, so it
  // is the later of the two.
  auto const &peer = it->second;
  return peer.Run != Run && isAlive(peer, Subject.Now) &&
         Subject.Now - KnownSince > RemovalBound;
}

} // namespace dotterel
