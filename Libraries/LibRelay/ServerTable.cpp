#include "LibRelay/ServerTable.h"

#include "LibCore/Address.h"
#include "LibCore/Hash.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace dotterel::relay {

namespace {

/// Weight of a new observation in the moving averages; about the last ten
/// count.
constexpr auto ObservationWeight = 0.1;
/// Bounds on one observed ratio, so that a single stall does not exclude a
/// server.
constexpr auto MinimumRatio = 0.25;
constexpr auto MaximumRatio = 8.0;

/// Bounds on what an entry can say, so that what is computed from it stays in
/// range.
constexpr auto MaximumSlots = 1000000U;
/// The year 2286, in milliseconds since the Unix epoch.
constexpr auto LatestStart = std::uint64_t{10'000'000'000'000};

/// Failures that two instances report within this time, a few report intervals,
/// are attributed to the same cause.
constexpr auto SuspicionWindow = Duration{1500ms};
/// Duration of a confirmed suspicion, renewed by further failures. Short,
/// because the server may have restarted.
constexpr auto SuspicionDuration = Duration{1s};

} // namespace

auto toString(EngineStage Stage) -> std::string_view {
  switch (Stage) {
  case EngineStage::Prefill:
    return "prefill";
  case EngineStage::Decode:
    return "decode";
  case EngineStage::Any:
    return "any";
  }
  return "any";
}

auto ServerDescription::key() const -> ServerKey {
  return static_cast<ServerKey>(hashText(Id, StartedAt));
}

auto findFault(ServerDescription const &Description) -> std::string {
  if (!isName(Description.Id))
    return "invalid id";
  if (!isLabel(Description.Service))
    return fmt::format("invalid service '{}'", Description.Service);
  if (!isLabel(Description.Domain))
    return fmt::format("invalid failure domain '{}'", Description.Domain);
  if (!isAddress(Description.Address))
    return fmt::format("invalid address '{}'", Description.Address);
  if (Description.Slots == 0 || Description.Slots > MaximumSlots)
    return fmt::format("{} slots", Description.Slots);
  if (Description.StartedAt > LatestStart)
    return fmt::format("started at {}", Description.StartedAt);
  return {};
}

auto ServerLoad::add(ServerLoad const &Other) -> void {
  Requests += Other.Requests;
  PromptTokens += Other.PromptTokens;
}

auto ServerLoad::subtract(ServerLoad const &Other) -> void {
  Requests -= std::min(Requests, Other.Requests);
  PromptTokens -= std::min(PromptTokens, Other.PromptTokens);
}

auto Suspicion::record(std::uint64_t Incarnation, Instant Now) -> bool {
  auto wasConfirmed = isConfirmed(Now);
  if (LastIncarnation && *LastIncarnation != Incarnation &&
      Now - LastAt < SuspicionWindow)
    ConfirmedUntil = Now + SuspicionDuration;
  LastIncarnation = Incarnation;
  LastAt = Now;
  return !wasConfirmed && isConfirmed(Now);
}

auto Suspicion::clear() -> void { *this = {}; }

auto Suspicion::isConfirmed(Instant Now) const -> bool {
  return Now < ConfirmedUntil;
}

auto Server::load() const -> ServerLoad {
  auto sum = OwnLoad;
  sum.add(PeerLoad);
  return sum;
}

auto Server::hasIdleConnection(Instant Now) const -> bool {
  return std::ranges::any_of(IdleConnections,
                             [Now](Instant it) { return Now < it; });
}

auto Server::takeIdleConnection(Instant Now) -> void {
  std::erase_if(IdleConnections, [Now](Instant it) { return Now >= it; });
  // Connections are reused in reverse order.
  if (!IdleConnections.empty())
    IdleConnections.pop_back();
}

auto Server::observeDuration(Duration Taken, Duration Forecast) -> void {
  auto ratio = std::clamp(toSeconds(Taken) / toSeconds(Forecast), MinimumRatio,
                          MaximumRatio);
  Slowness += ObservationWeight * (ratio - Slowness);
}

auto Server::observeOutcome(bool HasFailed) -> void {
  FailureShare += ObservationWeight * ((HasFailed ? 1.0 : 0.0) - FailureShare);
}

auto Server::recordSuccess() -> void {
  observeOutcome(false);
  Health.recordSuccess();
  Suspicion.clear();
}

auto Server::recordFailure(Instant Now) -> void {
  observeOutcome(true);
  Health.recordFailure(Now);
}

auto Server::isLastResort(Instant Now) const -> bool {
  return Health.isEjected(Now) || Suspicion.isConfirmed(Now);
}

auto ServerTable::put(ServerDescription Description) -> bool {
  auto it = ById.find(Description.Id);
  if (it != ById.end()) {
    auto &server = *it->second;
    auto const &known = server.Description;
    if (Description.Version < known.Version)
      return false;
    auto isSameRun = known.StartedAt == Description.StartedAt &&
                     known.Service == Description.Service &&
                     known.Address == Description.Address;
    if (isSameRun) {
      auto isChanged = known.IsDraining != Description.IsDraining ||
                       known.Stage != Description.Stage;
      server.Description = std::move(Description);
      return isChanged;
    }
    unlink(server);
    ById.erase(it);
  }
  auto id = Description.Id;
  auto server = std::make_unique<Server>();
  server->Key = Description.key();
  server->Description = std::move(Description);
  if (auto const *run = History.find(server->Key)) {
    server->HasAnnouncedLeaving = run->HasAnnouncedLeaving;
    server->PausedUntil = run->PausedUntil;
  }
  ByKey[server->Key] = server.get();
  ByService[server->Description.Service].push_back(server.get());
  ById.emplace(std::move(id), std::move(server));
  return true;
}

auto ServerTable::unlink(Server const &Target) -> void {
  ByKey.erase(Target.Key);
  auto it = ByService.find(Target.Description.Service);
  std::erase(it->second, &Target);
  if (it->second.empty())
    ByService.erase(it);
}

auto ServerTable::remove(std::string_view Id) -> std::string {
  auto it = ById.find(Id);
  if (it == ById.end())
    return {};
  auto address = it->second->Description.Address;
  unlink(*it->second);
  ById.erase(it);
  return address;
}

auto ServerTable::missingFrom(std::span<ServerDescription const> Listed) const
    -> std::vector<std::string> {
  auto listedIds = std::set<std::string_view>{};
  for (auto const &it : Listed)
    listedIds.insert(it.Id);
  auto missing = std::vector<std::string>{};
  for (auto const &it : ById) {
    if (!listedIds.contains(it.first))
      missing.push_back(it.first);
  }
  return missing;
}

auto ServerTable::find(std::string_view Id) -> Server * {
  auto it = ById.find(Id);
  return it == ById.end() ? nullptr : it->second.get();
}

auto ServerTable::findByKey(ServerKey Key) -> Server * {
  auto it = ByKey.find(Key);
  return it == ByKey.end() ? nullptr : it->second;
}

auto ServerTable::serversOf(std::string_view Service) const
    -> std::span<Server *const> {
  auto it = ByService.find(Service);
  if (it == ByService.end())
    return {};
  return it->second;
}

} // namespace dotterel::relay
