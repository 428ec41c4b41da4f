#include "LibControl/ConfigurationReducer.h"

#include "LibControl/BackendReducer.h"
#include "LibControl/LeaseReducer.h"
#include "LibControl/MembershipReducer.h"
#include "LibCore/Hash.h"

#include <fmt/format.h>

namespace dotterel {

namespace {

constexpr auto WatchRetryInterval = Duration{500ms};
constexpr auto WatchersPerFailureDomain = 2;

} // namespace

auto ConfigurationReducer::on(ConfigurationReceived const &Event) -> void {
  auto &state = CurrentState.Configuration;
  auto held = state.Current ? state.Current->revision() : 0;
  if (Event.Configuration->revision() <= held)
    return;
  state.Current = Event.Configuration;
  BackendReducer(CurrentState, Output).rebuild();
  LeaseReducer(CurrentState, Output).rebuild();
  if (CurrentState.Lifecycle.configured())
    log(LogLevel::Info, "instance-ready", {});
  log(LogLevel::Info, "configuration-in-force",
      {{"revision", fmt::format("{}", state.Current->revision())}});
  MembershipReducer(CurrentState, Output).broadcastHeartbeat();
}

auto ConfigurationReducer::on(ConfigurationWatchEnded const &Event) -> void {
  auto &state = CurrentState.Configuration;
  state.IsWatching = false;
  state.IsApiReachable = Event.IsApiReachable;
  state.NextWatch = now();
  if (!Event.IsApiReachable)
    state.NextWatch += WatchRetryInterval;
}

auto ConfigurationReducer::on(ConfigurationRequested const &Event) -> void {
  auto const &current = CurrentState.Configuration.Current;
  if (!current)
    return;
  emit(SendPeer{Event.Peer,
                ConfigurationOffer{current->revision(), current->text()}});
}

auto ConfigurationReducer::on(Tick const & /*Event*/) -> void {
  auto &state = CurrentState.Configuration;
  if (state.IsWatching || state.NextWatch > now() || !shouldWatch())
    return;
  state.IsWatching = true;
  emit(WatchConfiguration{state.Current ? state.Current->revision() : 0});
}

auto ConfigurationReducer::shouldWatch() const -> bool {
  if (!CurrentState.Configuration.Current)
    return true;
  auto const &self = CurrentState.Self;
  auto key = hashText(self.Domain.text());
  auto own = rendezvousScore(key, self.Id.text());
  auto ahead = 0;
  for (auto const &it : CurrentState.Members.Peers) {
    auto const &peer = it.second;
    if (peer.Domain != self.Domain || !isAlive(peer, now()) || isLeaving(peer))
      continue;
    if (!peer.Heartbeat.CanReachObjectApi)
      continue;
    if (rendezvousScore(key, it.first.text()) > own)
      ++ahead;
  }
  return ahead < WatchersPerFailureDomain;
}

} // namespace dotterel
