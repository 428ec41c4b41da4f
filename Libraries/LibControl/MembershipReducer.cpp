#include "LibControl/MembershipReducer.h"

#include "LibControl/BackendReducer.h"
#include "LibControl/OrderReducer.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr auto HeartbeatInterval = Duration{500ms};
constexpr auto ListInterval = Duration{1s};
constexpr auto ReconnectInterval = Duration{300ms};
/// Time for which an instance must be absent from the list and disconnected
/// before its process counts as ended.
constexpr auto RemovalDelay = Duration{10s};

} // namespace

auto MembershipReducer::on(InstancesListed const &Event) -> void {
  auto &members = CurrentState.Members;
  members.IsListing = false;
  members.HasList = true;
  members.NextList = now() + ListInterval;
  for (auto const &it : Event.Instances)
    if (it.Id != CurrentState.Self.Id)
      mergeListed(it);
  markUnlisted(Event.Instances);
}

auto MembershipReducer::on(InstanceListFailed const & /*Event*/) -> void {
  CurrentState.Members.IsListing = false;
  CurrentState.Members.NextList = now() + ListInterval;
}

auto MembershipReducer::mergeListed(ListedInstance const &Listed) -> void {
  auto &peer = CurrentState.Members.Peers[Listed.Id];
  peer.CallerAddress = Listed.CallerAddress;
  peer.PeerAddress = Listed.PeerAddress;
  peer.Domain = Listed.Domain;
  peer.IsListed = true;
  peer.IsListedLeaving = Listed.IsLeaving;
}

auto MembershipReducer::markUnlisted(std::vector<ListedInstance> const &Listed)
    -> void {
  for (auto &it : CurrentState.Members.Peers) {
    auto isListed = std::ranges::find(Listed, it.first, &ListedInstance::Id) !=
                    Listed.end();
    if (isListed)
      continue;
    if (it.second.IsListed)
      it.second.UnlistedSince = now();
    it.second.IsListed = false;
  }
}

auto MembershipReducer::on(PeerConnected const &Event) -> void {
  auto &peer = CurrentState.Members.Peers[Event.Peer];
  if (peer.Run != 0 && peer.Run != Event.Run)
    CurrentState.Members.EndedRuns.insert(peer.Run);
  peer.IsConnected = true;
  peer.IsConnecting = false;
  peer.Run = Event.Run;
  peer.LastHeardAt = now();
  peer.Heartbeat = {};
  emit(SendPeer{Event.Peer, makeHeartbeat()});
}

auto MembershipReducer::on(PeerDisconnected const &Event) -> void {
  auto it = CurrentState.Members.Peers.find(Event.Peer);
  if (it == CurrentState.Members.Peers.end())
    return;
  it->second.IsConnected = false;
  it->second.IsConnecting = false;
  it->second.NextConnect = now() + ReconnectInterval;
  if (!it->second.IsListed)
    it->second.UnlistedSince = now();
}

auto MembershipReducer::on(PeerHeartbeatReceived const &Event) -> void {
  auto it = CurrentState.Members.Peers.find(Event.Peer);
  if (it == CurrentState.Members.Peers.end() ||
      Event.Heartbeat.Run != it->second.Run)
    return;
  it->second.LastHeardAt = now();
  it->second.Heartbeat = Event.Heartbeat;
  auto const &current = CurrentState.Configuration.Current;
  auto held = current ? current->revision() : 0;
  if (Event.Heartbeat.Configuration > held)
    emit(SendPeer{Event.Peer, ConfigurationRequest{}});
  auto changed = false;
  for (auto const &announcement : Event.Heartbeat.Announcements)
    changed |=
        BackendReducer(CurrentState, Output).applyAnnouncement(announcement);
  if (changed)
    emit(SendPeer{Event.Peer, makeHeartbeat()});
}

auto MembershipReducer::on(Tick const & /*Event*/) -> void {
  auto &members = CurrentState.Members;
  if (!members.IsListing && members.NextList <= now()) {
    members.IsListing = true;
    emit(ListInstances{});
  }
  disconnectUnresponsivePeers();
  removeDepartedPeers();
  connectMissingPeers();
  if (members.NextHeartbeat <= now())
    broadcastHeartbeat();
}

auto MembershipReducer::disconnectUnresponsivePeers() -> void {
  for (auto &it : CurrentState.Members.Peers)
    if (it.second.IsConnected && !isAlive(it.second, now()))
      emit(DisconnectPeer{it.first});
}

auto MembershipReducer::removeDepartedPeers() -> void {
  auto &members = CurrentState.Members;
  std::erase_if(members.Peers, [&](auto const &Item) {
    auto const &peer = Item.second;
    if (peer.IsListed || peer.IsConnected || peer.IsConnecting)
      return false;
    if (now() - peer.UnlistedSince < RemovalDelay)
      return false;
    members.EndedRuns.insert(peer.Run);
    return true;
  });
}

auto MembershipReducer::connectMissingPeers() -> void {
  for (auto &it : CurrentState.Members.Peers) {
    auto &peer = it.second;
    // The instance with the lower name connects, so that two instances share
    // one connection.
    if (it.first < CurrentState.Self.Id || !peer.IsListed)
      continue;
    if (peer.IsConnected || peer.IsConnecting || peer.NextConnect > now())
      continue;
    peer.IsConnecting = true;
    emit(ConnectPeer{it.first, peer.PeerAddress});
  }
}

auto MembershipReducer::broadcastHeartbeat() -> void {
  CurrentState.Members.NextHeartbeat = now() + HeartbeatInterval;
  auto heartbeat = makeHeartbeat();
  for (auto const &it : CurrentState.Members.Peers)
    if (it.second.IsConnected)
      emit(SendPeer{it.first, heartbeat});
}

auto MembershipReducer::makeHeartbeat() const -> PeerHeartbeat {
  auto heartbeat = PeerHeartbeat{};
  heartbeat.Run = CurrentState.Self.Run;
  if (CurrentState.Configuration.Current)
    heartbeat.Configuration = CurrentState.Configuration.Current->revision();
  heartbeat.IsLeaving = CurrentState.LeaveRequestedAt != Instant{};
  heartbeat.CanReachObjectApi = CurrentState.Configuration.IsApiReachable;
  heartbeat.OutstandingCalls =
      static_cast<std::uint32_t>(CurrentState.Calls.Calls.size());
  heartbeat.KeyPrefix =
      formatKeyPrefix({CurrentState.Self.Run, CurrentState.Calls.Keys.epoch()});
  heartbeat.Announcements = makeShardAnnouncements(CurrentState);
  for (auto const &it : CurrentState.Backends.Drains)
    heartbeat.AcknowledgedDrains.push_back({it.first, it.second.Order});
  heartbeat.Releases = makeShardReleases(CurrentState);
  return heartbeat;
}

auto hasRunEnded(State const &CurrentState, InstanceId const &Holder,
                 Incarnation Run, Instant KnownSince) -> bool {
  if (Run == CurrentState.Self.Run)
    return false;
  // Two runs of one instance cannot listen on its addresses at the same time,
  // so the other run has ended.
  if (Holder == CurrentState.Self.Id)
    return true;
  auto const &members = CurrentState.Members;
  if (members.EndedRuns.contains(Run))
    return true;
  auto it = members.Peers.find(Holder);
  if (it == members.Peers.end())
    return members.HasList &&
           CurrentState.Now - CurrentState.Started > RemovalDelay;
  // If another run of the instance still sends heartbeats long after Run became
  // known, that run is the later one and Run has ended.
  auto const &peer = it->second;
  return peer.Run != Run && isAlive(peer, CurrentState.Now) &&
         CurrentState.Now - KnownSince > RemovalDelay;
}

} // namespace dotterel
