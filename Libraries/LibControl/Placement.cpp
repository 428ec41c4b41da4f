#include "LibControl/Placement.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <numeric>

namespace dotterel {

namespace {

constexpr auto AffineCandidates = std::size_t{2};
constexpr auto CandidatesPerCall = std::size_t{4};
/// Bounds on the search for eligible engines.
constexpr auto RingPointsTried = std::size_t{256};
constexpr auto DrawsTried = std::size_t{24};
/// Prefill holds up every other request at the engine, not only its own; this
/// many of its own seconds are added to the cost for them.
constexpr auto AddedWorkWeight = 8.0;
constexpr auto TokensPerPiece = 2000.0;

auto routeOf(State const &Subject, Call const &Wanted)
    -> CompiledRoute const * {
  auto const &configuration = *Subject.Configuration.Current;
  auto const &request = Wanted.Request;
  if (request.Kind == CallKind::Completion)
    return configuration.findModelRoute(request.Caller, request.Model);
  return configuration.findServiceRoute(request.Caller, request.Service);
}

/// Returns the next number of a sequence that visits all values evenly.
auto mixBits(std::uint64_t Value) -> std::uint64_t {
  Value += 0x9e3779b97f4a7c15ULL;
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31U);
}

} // namespace

auto Placement::isEligible(CompiledRoute const &Route, Call const &Wanted,
                           std::size_t Engine, bool MayAvoid) const -> bool {
  if (!Route.UsesEngine[Engine])
    return false;
  auto const &id = Subject.Configuration.Current->engines()[Engine].Id;
  if (MayAvoid && Wanted.AvoidedEngines.contains(id))
    return false;
  return isRoutable(Subject.Backends, id, Wanted.Request.Model, Subject.Now);
}

auto Placement::eligibleEngines(CompiledRoute const &Route, Call const &Wanted,
                                bool MayAvoid) const
    -> std::vector<std::size_t> {
  auto eligible = std::vector<std::size_t>{};
  for (auto index : Route.Engines)
    if (isEligible(Route, Wanted, index, MayAvoid))
      eligible.push_back(index);
  return eligible;
}

auto Placement::addAffine(CompiledRoute const &Route, Call const &Wanted,
                          std::vector<std::size_t> &Chosen) const -> void {
  auto const &ring = Subject.Configuration.Current->ring();
  if (Wanted.Request.PrefixHashes.empty() || ring.empty())
    return;
  auto point = std::ranges::lower_bound(
      ring, Wanted.Request.PrefixHashes.front(), {}, &RingPoint::Position);
  for (auto n = std::size_t{0}; n < std::min(ring.size(), RingPointsTried) &&
                                Chosen.size() < AffineCandidates;
       ++n, ++point) {
    if (point == ring.end())
      point = ring.begin();
    if (std::ranges::find(Chosen, point->Engine) == Chosen.end() &&
        isEligible(Route, Wanted, point->Engine, /*MayAvoid=*/true))
      Chosen.push_back(point->Engine);
  }
}

auto Placement::addDrawn(CompiledRoute const &Route, CallId Id,
                         Call const &Wanted,
                         std::vector<std::size_t> &Chosen) const -> void {
  auto salt = hashText(Subject.Self.Id.text(), Id + Wanted.AttemptsMade);
  for (auto n = std::size_t{0};
       n < DrawsTried && Chosen.size() < CandidatesPerCall; ++n) {
    salt = mixBits(salt);
    auto index = Route.Engines[salt % Route.Engines.size()];
    if (std::ranges::find(Chosen, index) == Chosen.end() &&
        isEligible(Route, Wanted, index, /*MayAvoid=*/true))
      Chosen.push_back(index);
  }
}

auto Placement::candidates(CompiledRoute const &Route, CallId Id,
                           Call const &Wanted) const
    -> std::vector<std::size_t> {
  auto chosen = std::vector<std::size_t>{};
  if (Route.Engines.empty())
    return chosen;
  addAffine(Route, Wanted, chosen);
  addDrawn(Route, Id, Wanted, chosen);
  // Where few engines are eligible, drawing may miss them all.
  if (chosen.empty())
    chosen = eligibleEngines(Route, Wanted, /*MayAvoid=*/true);
  if (chosen.empty())
    chosen = eligibleEngines(Route, Wanted, /*MayAvoid=*/false);
  return chosen;
}

auto Placement::expectedCachedPieces(CallRequest const &Request,
                                     EngineId const &Engine,
                                     bool IsPreferred) const -> double {
  auto const &calls = Subject.Calls;
  auto const &hashes = Request.PrefixHashes;
  auto known = static_cast<double>(calls.Prefixes.countKnown(Engine, hashes));
  if (!IsPreferred)
    return known;
  // What this instance sent anywhere, the others sent to the preferred engine;
  // what it never sent, they may have sent there.
  auto seen = static_cast<double>(calls.Prefixes.countSeen(hashes));
  auto reuse = calls.Reuse.find(Request.Caller);
  auto probability = reuse == calls.Reuse.end() ? PrefixReuse{}.probability()
                                                : reuse->second.probability();
  return std::max(
      {known, seen, probability * static_cast<double>(hashes.size())});
}

auto Placement::evaluate(Call const &Wanted, EngineId const &Engine,
                         bool IsPreferred) const -> EngineChoice {
  auto const &view = Subject.Backends.Engines.at(Engine);
  auto const &request = Wanted.Request;
  auto cached =
      expectedCachedPieces(request, Engine, IsPreferred) * TokensPerPiece;
  auto choice = EngineChoice{};
  choice.Engine = Engine;
  choice.IsPreferred = IsPreferred;
  choice.PrefillTokens =
      std::max(static_cast<double>(request.PromptTokens) - cached, 1.0) +
      Wanted.TokensForwarded;
  choice.QueuedPrefillTokens =
      static_cast<double>(view.Report->QueuedPrefillTokens);
  for (auto const &it : view.UnreportedSends)
    choice.QueuedPrefillTokens += it.PrefillTokens;
  choice.BatchSize =
      view.Report->Running + static_cast<double>(view.UnreportedSends.size());
  auto work = EngineWork{};
  work.QueuedPrefillTokens = choice.QueuedPrefillTokens;
  work.PromptTokens = choice.PrefillTokens;
  work.OutputTokens =
      static_cast<double>(request.MaximumTokens - Wanted.TokensForwarded);
  work.BatchSize = choice.BatchSize;
  work.PrefillShare = view.PrefillShare;
  choice.Forecast = Subject.Backends.Model.forecast(work);
  choice.Forecast.FirstToken =
      scaled(choice.Forecast.FirstToken, view.Slowness.factor());
  choice.Forecast.Completion =
      scaled(choice.Forecast.Completion, view.Slowness.factor());
  return choice;
}

auto Placement::chooseByBaseline(CompiledRoute const &Route, CallId Id,
                                 Call const &Wanted) const
    -> std::optional<EngineChoice> {
  auto ids = std::vector<EngineId>{};
  for (auto index : eligibleEngines(Route, Wanted, /*MayAvoid=*/true))
    ids.push_back(Subject.Configuration.Current->engines()[index].Id);
  if (ids.empty())
    return std::nullopt;
  auto chosen = Subject.Options.Chooser->choose(Subject, Id, ids);
  return evaluate(Wanted, ids[chosen], /*IsPreferred=*/false);
}

auto Placement::chooseEngine(CallId Id, Call const &Wanted) const
    -> std::optional<EngineChoice> {
  auto const *route = routeOf(Subject, Wanted);
  if (route == nullptr)
    return std::nullopt;
  if (Subject.Options.Chooser)
    return chooseByBaseline(*route, Id, Wanted);
  auto best = std::optional<EngineChoice>{};
  auto bestCost = 0.0;
  auto isPreferred = !Wanted.Request.PrefixHashes.empty();
  for (auto index : candidates(*route, Id, Wanted)) {
    auto const &id = Subject.Configuration.Current->engines()[index].Id;
    auto choice = evaluate(Wanted, id, isPreferred);
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
  auto const &backends = Subject.Backends;
  auto addedWork =
      Choice.PrefillTokens / backends.Model.prefillTokensPerSecond();
  auto seconds =
      toSeconds(Choice.Forecast.Completion) + AddedWorkWeight * addedWork;
  auto const &health = backends.Engines.at(Choice.Engine).Health;
  return seconds * health.slowStartFactor(Subject.Now);
}

auto Placement::chooseServer(CallId Id, Call const &Wanted) const
    -> std::optional<ServerId> {
  auto const *route = routeOf(Subject, Wanted);
  if (route == nullptr)
    return std::nullopt;
  auto salt = hashText(Subject.Self.Id.text(), Id + Wanted.AttemptsMade);
  auto best = std::optional<ServerId>{};
  auto bestCost = 0.0;
  for (auto index : route->Servers) {
    auto const &server = Subject.Configuration.Current->servers()[index];
    if (server.Service != Wanted.Request.Service)
      continue;
    auto const &view = Subject.Backends.Servers.at(server.Id);
    if (view.Health.isEjected(Subject.Now) ||
        Wanted.AvoidedServers.contains(server.Id))
      continue;
    // The fraction breaks ties differently for each call.
    auto score = rendezvousScore(salt, server.Id.text());
    auto fraction =
        static_cast<double>(score) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    auto cost =
        (1 + view.CallsInFlight) * view.Health.slowStartFactor(Subject.Now) +
        fraction;
    if (best && cost >= bestCost)
      continue;
    best = server.Id;
    bestCost = cost;
  }
  return best;
}

} // namespace dotterel
