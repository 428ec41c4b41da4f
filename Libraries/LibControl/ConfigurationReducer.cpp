#include "LibControl/ConfigurationReducer.h"

#include "LibControl/BackendReducer.h"
#include "LibControl/LeaseReducer.h"
#include "LibControl/MembershipReducer.h"
#include "LibCore/Hash.h"

#include <fmt/format.h>

namespace dotterel {

namespace {

constexpr auto WatchRetryInterval = Duration{500ms};
constexpr auto RelaysPerFailureDomain = 2;

} // namespace

auto ConfigurationReducer::on(ConfigurationReceived const &Happened) -> void {
  auto &state = Subject.Configuration;
  auto held = state.Current ? state.Current->revision() : 0;
  if (Happened.Configuration->revision() <= held)
    return;
  state.Current = Happened.Configuration;
  BackendReducer(Subject, Out).rebuild();
  LeaseReducer(Subject, Out).rebuild();
  if (Subject.Lifecycle.configured())
    log(LogLevel::Info, "instance-ready", {});
  log(LogLevel::Info, "configuration-in-force",
      {{"revision", fmt::format("{}", state.Current->revision())}});
  MembershipReducer(Subject, Out).broadcastHeartbeat();
}

auto ConfigurationReducer::on(ConfigurationWatchEnded const &Happened) -> void {
  auto &state = Subject.Configuration;
  state.IsWatching = false;
  state.IsApiReachable = Happened.IsApiReachable;
  state.NextWatch = now();
  if (!Happened.IsApiReachable)
    state.NextWatch += WatchRetryInterval;
}

auto ConfigurationReducer::on(ConfigurationRequested const &Happened) -> void {
  auto const &current = Subject.Configuration.Current;
  if (!current)
    return;
  emit(SendPeer{Happened.Peer,
                ConfigurationOffer{current->revision(), current->text()}});
}

auto ConfigurationReducer::on(Tick const & /*Happened*/) -> void {
  auto &state = Subject.Configuration;
  if (state.IsWatching || state.NextWatch > now() || !isRelay())
    return;
  state.IsWatching = true;
  emit(WatchConfiguration{state.Current ? state.Current->revision() : 0});
}

auto ConfigurationReducer::isRelay() const -> bool {
  if (!Subject.Configuration.Current)
    return true;
  auto const &self = Subject.Self;
  auto key = hashText(self.Domain.text());
  auto own = rendezvousScore(key, self.Id.text());
  auto ahead = 0;
  for (auto const &it : Subject.Members.Peers) {
    auto const &peer = it.second;
    if (peer.Domain != self.Domain || !isAlive(peer, now()) || isLeaving(peer))
      continue;
    if (!peer.Heartbeat.CanReachObjectApi)
      continue;
    if (rendezvousScore(key, it.first.text()) > own)
      ++ahead;
  }
  return ahead < RelaysPerFailureDomain;
}

} // namespace dotterel
