#include "LibControl/Placement.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <numeric>

namespace dotterel {

namespace {

constexpr auto AffineCandidates = std::size_t{2};
constexpr auto RandomCandidates = std::size_t{2};
/// Prefill holds up every other request at the engine, not only its own; this
/// many of its own seconds are added to the cost for them.
constexpr auto AddedWorkWeight = 8.0;
constexpr auto TokensPerPiece = 2000.0;

auto scaled(Duration Span, double Factor) -> Duration {
  return fromSeconds(toSeconds(Span) * Factor);
}

auto routeOf(State const &Subject, Call const &Wanted)
    -> CompiledRoute const * {
  auto const &configuration = *Subject.Configuration.Current;
  auto const &request = Wanted.Request;
  if (request.Kind == CallKind::Completion)
    return configuration.findModelRoute(request.Caller, request.Model);
  return configuration.findServiceRoute(request.Caller, request.Service);
}

/// Moves the \p Count names with the highest score for \p Key to the front
/// of [First, end).
template <typename Names>
auto preferByScore(Names &Items, std::size_t First, std::size_t Count,
                   std::uint64_t Key) -> void {
  auto begin = Items.begin() + static_cast<std::ptrdiff_t>(First);
  auto n = std::min(Count, Items.size() - First);
  std::partial_sort(begin, begin + static_cast<std::ptrdiff_t>(n), Items.end(),
                    [&](auto const &Left, auto const &Right) {
                      return rendezvousScore(Key, Left.text()) >
                             rendezvousScore(Key, Right.text());
                    });
}

} // namespace

auto Placement::eligibleEngines(Call const &Wanted, bool MayAvoid) const
    -> std::vector<EngineId> {
  auto eligible = std::vector<EngineId>{};
  auto const *route = routeOf(Subject, Wanted);
  if (route == nullptr)
    return eligible;
  for (auto index : route->Engines) {
    auto const &id = Subject.Configuration.Current->engines()[index].Id;
    if (MayAvoid && Wanted.AvoidedEngines.contains(id))
      continue;
    if (isRoutable(Subject.Backends, id, Wanted.Request.Model, Subject.Now))
      eligible.push_back(id);
  }
  return eligible;
}

auto Placement::candidates(CallId Id, Call const &Wanted,
                           std::vector<EngineId> Eligible) const
    -> std::vector<EngineId> {
  auto const &hashes = Wanted.Request.PrefixHashes;
  auto affine = hashes.empty() ? std::size_t{0} : AffineCandidates;
  if (!hashes.empty())
    preferByScore(Eligible, 0, affine, hashes.front());
  affine = std::min(affine, Eligible.size());
  auto salt = hashText(Subject.Self.Id.text(), Id + Wanted.AttemptsMade);
  auto drawn = RandomCandidates + AffineCandidates - affine;
  preferByScore(Eligible, affine, drawn, salt);
  Eligible.resize(std::min(Eligible.size(), affine + drawn));
  return Eligible;
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
  choice.Forecast = Subject.Backends.Model.forecast(work);
  choice.Forecast.FirstToken =
      scaled(choice.Forecast.FirstToken, view.Slowness.factor());
  choice.Forecast.Completion =
      scaled(choice.Forecast.Completion, view.Slowness.factor());
  return choice;
}

auto Placement::chooseEngine(CallId Id, Call const &Wanted) const
    -> std::optional<EngineChoice> {
  auto eligible = eligibleEngines(Wanted, /*MayAvoid=*/true);
  if (eligible.empty())
    eligible = eligibleEngines(Wanted, /*MayAvoid=*/false);
  if (eligible.empty())
    return std::nullopt;
  if (auto const &chooser = Subject.Options.Chooser)
    return evaluate(Wanted, eligible[chooser->choose(Subject, Id, eligible)],
                    false);
  auto best = std::optional<EngineChoice>{};
  auto bestCost = 0.0;
  auto isPreferred = !Wanted.Request.PrefixHashes.empty();
  for (auto const &id : candidates(Id, Wanted, std::move(eligible))) {
    auto choice = evaluate(Wanted, id, isPreferred);
    isPreferred = false;
    auto const &health = Subject.Backends.Engines.at(id).Health;
    auto addedWork =
        choice.PrefillTokens / Subject.Backends.Model.prefillTokensPerSecond();
    auto seconds =
        toSeconds(choice.Forecast.Completion) + AddedWorkWeight * addedWork;
    auto cost = seconds * health.slowStartFactor(Subject.Now);
    if (best && cost >= bestCost)
      continue;
    best = std::move(choice);
    bestCost = cost;
  }
  return best;
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
    auto cost = (1 + view.OwnCalls) * view.Health.slowStartFactor(Subject.Now) +
                fraction;
    if (best && cost >= bestCost)
      continue;
    best = server.Id;
    bestCost = cost;
  }
  return best;
}

} // namespace dotterel
