#include "LibControl/Placement.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <numeric>

namespace dotterel {

namespace {

constexpr auto PrefixCandidates = std::size_t{2};
constexpr auto CandidatesPerCall = std::size_t{4};
/// Limits on the search for eligible engines.
constexpr auto MaximumRingPoints = std::size_t{256};
constexpr auto MaximumSamples = std::size_t{24};
/// Prefill delays every other request at the engine as well. The cost includes
/// this multiple of the request's own prefill time for them.
constexpr auto PrefillInterferenceWeight = 8.0;
constexpr auto TokensPerBlock = 2000.0;

auto findRoute(State const &CurrentState, Call const &Target)
    -> CompiledRoute const * {
  auto const &configuration = *CurrentState.Configuration.Current;
  auto const &request = Target.Request;
  if (request.Kind == CallKind::Completion)
    return configuration.findModelRoute(request.Caller, request.Model);
  return configuration.findServiceRoute(request.Caller, request.Service);
}

/// Returns the output of the SplitMix64 generator for state \p Value.
auto mixBits(std::uint64_t Value) -> std::uint64_t {
  Value += 0x9e3779b97f4a7c15ULL;
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31U);
}

} // namespace

auto Placement::isEligible(CompiledRoute const &Route, Call const &Target,
                           std::size_t Engine, bool SkipsAvoided) const
    -> bool {
  if (!Route.UsesEngine[Engine])
    return false;
  auto const &id = CurrentState.Configuration.Current->engines()[Engine].Id;
  if (SkipsAvoided && Target.AvoidedEngines.contains(id))
    return false;
  return isRoutable(CurrentState.Backends, id, Target.Request.Model,
                    CurrentState.Now);
}

auto Placement::eligibleEngines(CompiledRoute const &Route, Call const &Target,
                                bool SkipsAvoided) const
    -> std::vector<std::size_t> {
  auto eligible = std::vector<std::size_t>{};
  for (auto index : Route.Engines)
    if (isEligible(Route, Target, index, SkipsAvoided))
      eligible.push_back(index);
  return eligible;
}

auto Placement::addPrefixCandidates(CompiledRoute const &Route,
                                    Call const &Target,
                                    std::vector<std::size_t> &Candidates) const
    -> void {
  auto const &ring = CurrentState.Configuration.Current->ring();
  if (Target.Request.PrefixHashes.empty() || ring.empty())
    return;
  auto point = std::ranges::lower_bound(
      ring, Target.Request.PrefixHashes.front(), {}, &RingPoint::Position);
  for (auto n = std::size_t{0}; n < std::min(ring.size(), MaximumRingPoints) &&
                                Candidates.size() < PrefixCandidates;
       ++n, ++point) {
    if (point == ring.end())
      point = ring.begin();
    if (std::ranges::find(Candidates, point->Engine) == Candidates.end() &&
        isEligible(Route, Target, point->Engine, /*SkipsAvoided=*/true))
      Candidates.push_back(point->Engine);
  }
}

auto Placement::addSampledCandidates(CompiledRoute const &Route, CallId Id,
                                     Call const &Target,
                                     std::vector<std::size_t> &Candidates) const
    -> void {
  auto salt = hashText(CurrentState.Self.Id.text(), Id + Target.AttemptsMade);
  for (auto n = std::size_t{0};
       n < MaximumSamples && Candidates.size() < CandidatesPerCall; ++n) {
    salt = mixBits(salt);
    auto index = Route.Engines[salt % Route.Engines.size()];
    if (std::ranges::find(Candidates, index) == Candidates.end() &&
        isEligible(Route, Target, index, /*SkipsAvoided=*/true))
      Candidates.push_back(index);
  }
}

auto Placement::candidates(CompiledRoute const &Route, CallId Id,
                           Call const &Target) const
    -> std::vector<std::size_t> {
  auto candidates = std::vector<std::size_t>{};
  if (Route.Engines.empty())
    return candidates;
  addPrefixCandidates(Route, Target, candidates);
  addSampledCandidates(Route, Id, Target, candidates);
  // If few engines are eligible, sampling may miss all of them.
  if (candidates.empty())
    candidates = eligibleEngines(Route, Target, /*SkipsAvoided=*/true);
  if (candidates.empty())
    candidates = eligibleEngines(Route, Target, /*SkipsAvoided=*/false);
  return candidates;
}

auto Placement::expectedCachedBlocks(CallRequest const &Request,
                                     EngineId const &Engine,
                                     bool IsPreferred) const -> double {
  auto const &calls = CurrentState.Calls;
  auto const &hashes = Request.PrefixHashes;
  auto sentToEngine =
      static_cast<double>(calls.Prefixes.countSentTo(Engine, hashes));
  if (!IsPreferred)
    return sentToEngine;
  // A prefix that this instance sent to any engine was probably sent to the
  // preferred engine by its peers; one that it never sent may have been too.
  auto sentAnywhere =
      static_cast<double>(calls.Prefixes.countSentAnywhere(hashes));
  auto reuse = calls.Reuse.find(Request.Caller);
  auto probability = reuse == calls.Reuse.end() ? PrefixReuse{}.probability()
                                                : reuse->second.probability();
  return std::max({sentToEngine, sentAnywhere,
                   probability * static_cast<double>(hashes.size())});
}

auto Placement::evaluate(Call const &Target, EngineId const &Engine,
                         bool IsPreferred) const -> EngineChoice {
  auto const &view = CurrentState.Backends.Engines.at(Engine);
  auto const &request = Target.Request;
  auto cached =
      expectedCachedBlocks(request, Engine, IsPreferred) * TokensPerBlock;
  auto choice = EngineChoice{};
  choice.Engine = Engine;
  choice.IsPreferred = IsPreferred;
  choice.PrefillTokens =
      std::max(static_cast<double>(request.PromptTokens) - cached, 1.0) +
      Target.TokensForwarded;
  choice.QueuedPrefillTokens =
      static_cast<double>(view.Report->QueuedPrefillTokens);
  for (auto const &it : view.UnreportedRequests)
    choice.QueuedPrefillTokens += it.PrefillTokens;
  choice.BatchSize = view.Report->Running +
                     static_cast<double>(view.UnreportedRequests.size());
  auto work = EngineWork{};
  work.QueuedPrefillTokens = choice.QueuedPrefillTokens;
  work.PromptTokens = choice.PrefillTokens;
  work.OutputTokens =
      static_cast<double>(request.MaximumTokens - Target.TokensForwarded);
  work.BatchSize = choice.BatchSize;
  work.PrefillShare = view.PrefillShare;
  choice.Forecast = CurrentState.Backends.Model.forecast(work);
  choice.Forecast.FirstToken =
      scaled(choice.Forecast.FirstToken, view.Slowness.factor());
  choice.Forecast.Completion =
      scaled(choice.Forecast.Completion, view.Slowness.factor());
  return choice;
}

auto Placement::chooseByBaseline(CompiledRoute const &Route, CallId Id,
                                 Call const &Target) const
    -> std::optional<EngineChoice> {
  auto ids = std::vector<EngineId>{};
  for (auto index : eligibleEngines(Route, Target, /*SkipsAvoided=*/true))
    ids.push_back(CurrentState.Configuration.Current->engines()[index].Id);
  if (ids.empty())
    return std::nullopt;
  auto index = CurrentState.Options.Chooser->choose(CurrentState, Id, ids);
  return evaluate(Target, ids[index], /*IsPreferred=*/false);
}

auto Placement::chooseEngine(CallId Id, Call const &Target) const
    -> std::optional<EngineChoice> {
  auto const *route = findRoute(CurrentState, Target);
  if (route == nullptr)
    return std::nullopt;
  if (CurrentState.Options.Chooser)
    return chooseByBaseline(*route, Id, Target);
  auto best = std::optional<EngineChoice>{};
  auto bestCost = 0.0;
  auto isPreferred = !Target.Request.PrefixHashes.empty();
  for (auto index : candidates(*route, Id, Target)) {
    auto const &id = CurrentState.Configuration.Current->engines()[index].Id;
    auto choice = evaluate(Target, id, isPreferred);
    isPreferred = false;
    auto cost = costOf(choice);
    if (best && cost >= bestCost)
      continue;
    best = std::move(choice);
    bestCost = cost;
  }
  return best;
}

auto Placement::costOf(EngineChoice const &Choice) const -> double {
  auto const &backends = CurrentState.Backends;
  auto prefillSeconds =
      Choice.PrefillTokens / backends.Model.prefillTokensPerSecond();
  auto seconds = toSeconds(Choice.Forecast.Completion) +
                 PrefillInterferenceWeight * prefillSeconds;
  auto const &health = backends.Engines.at(Choice.Engine).Health;
  return seconds * health.slowStartFactor(CurrentState.Now);
}

auto Placement::chooseServer(CallId Id, Call const &Target) const
    -> std::optional<ServerId> {
  auto const *route = findRoute(CurrentState, Target);
  if (route == nullptr)
    return std::nullopt;
  auto salt = hashText(CurrentState.Self.Id.text(), Id + Target.AttemptsMade);
  auto best = std::optional<ServerId>{};
  auto bestCost = 0.0;
  for (auto index : route->Servers) {
    auto const &server = CurrentState.Configuration.Current->servers()[index];
    if (server.Service != Target.Request.Service)
      continue;
    auto const &view = CurrentState.Backends.Servers.at(server.Id);
    if (view.Health.isEjected(CurrentState.Now) ||
        Target.AvoidedServers.contains(server.Id))
      continue;
    // The fraction, below 1, breaks ties differently for each call.
    auto score = rendezvousScore(salt, server.Id.text());
    auto fraction =
        static_cast<double>(score) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    auto cost = (1 + view.CallsInFlight) *
                    view.Health.slowStartFactor(CurrentState.Now) +
                fraction;
    if (best && cost >= bestCost)
      continue;
    best = server.Id;
    bestCost = cost;
  }
  return best;
}

} // namespace dotterel
