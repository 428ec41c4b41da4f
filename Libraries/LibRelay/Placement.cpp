#include "LibRelay/Placement.h"

#include "LibCore/Hash.h"
#include "LibRelay/QueueOrder.h"

#include <algorithm>
#include <limits>

namespace dotterel::relay {

namespace {

/// Cost of a server in another failure domain, in seconds: weighs the cost of
/// traffic between domains against late responses.
constexpr auto CrossDomainSeconds = 0.015;
/// Cost of a new connection, in seconds: setting it up, and what it takes of
/// the connections that a server accepts.
constexpr auto NewConnectionSeconds = 0.015;
/// Maximum of the random addition to a cost, in seconds. Without it, instances
/// that decide on the same reports would all choose the same server.
constexpr auto JitterSeconds = 0.02;
/// Cost of one more request in an engine's batch, in seconds: each step takes
/// longer for all requests.
constexpr auto BatchSecondsPerRequest = 0.002;
/// Cost of a request at a server whose slots are all in use, in seconds.
constexpr auto FullBatchSeconds = 0.25;
/// Cost of separate prefill in addition to the prefill itself, in seconds: one
/// more exchange and the KV cache transfer.
constexpr auto SeparatePrefillSeconds = 0.03;
/// Cost of transferring a gigabyte of KV cache, in seconds; accounts for what
/// deployments charge for transfers.
constexpr auto TransferSecondsPerGigabyte = 0.008;
/// Connection set-up and queueing of a KV cache transfer, in seconds.
constexpr auto TransferSetupSeconds = 0.006;
/// A prefix that extends what the engine has cached by fewer tokens is
/// prefilled rather than copied.
constexpr auto MinimumTransferTokens = std::uint32_t{500};
/// Share of the tokens that a new cache entry evicts and that have to be
/// prefilled again. Copies of the same prefix at many engines evict each other.
constexpr auto RecomputedEvictionShare = 1.0;
/// While an engine that decodes also runs prefill, its streams pause. One event
/// of a stream holds several tokens, so pauses add up: prefill that takes more
/// than this share of the target gap makes events late.
constexpr auto PrefillShareOfTargetGap = 0.1;
/// Cost of delaying the streams of an engine, in seconds: prompts are prefilled
/// there only if the wait at all other engines is about this long.
constexpr auto LateStreamsSeconds = 4.0;
/// Share of the prefill queued at an engine that delays the first token of a
/// prompt that was prefilled elsewhere: the queue is processed in chunks
/// between decode steps.
constexpr auto QueuedPrefillShare = 0.5;
/// Probability that the engine assigned by rendezvous hashing has a prefix
/// cached although this instance knows no holder: instances that have just
/// started know nothing about caches, but all of them assign a prefix to the
/// same engine.
constexpr auto AssignedCacheProbability = 0.5;
/// Additional cost of a server whose requests all fail, as a factor.
constexpr auto FailureCostFactor = 8.0;
/// Cost of a server that should be used only as a last resort, in seconds.
constexpr auto LastResortSeconds = 5.0;
/// Cost of one request at a server of a plain service, in seconds, relative to
/// the cost of other domains and the random addition.
constexpr auto PlainRequestSeconds = 0.02;
constexpr auto BitsPerByte = 8.0;
constexpr auto BitsPerMegabit = 1e6;
constexpr auto BytesPerGigabyte = 1e9;

auto toUnitInterval(std::uint64_t Hash) -> double {
  return static_cast<double>(Hash) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

auto transferSeconds(EngineTraits const &Traits, std::uint64_t Tokens)
    -> double {
  auto bytes = Traits.KvCacheBytesPerToken * static_cast<double>(Tokens);
  auto seconds = TransferSetupSeconds +
                 bytes / BytesPerGigabyte * TransferSecondsPerGigabyte;
  if (Traits.LinkMegabitsPerSecond > 0)
    seconds +=
        bytes * BitsPerByte / (Traits.LinkMegabitsPerSecond * BitsPerMegabit);
  return seconds;
}

/// Cost of caching \p Tokens more at an engine, in seconds.
auto evictionSeconds(SpeedModel const &Model, std::uint64_t Tokens) -> double {
  return RecomputedEvictionShare * toSeconds(Model.prefillTime(Tokens, false));
}

} // namespace

auto Placement::candidates(InFlightRequest const &Request) const
    -> std::vector<Server *> {
  auto usable = std::vector<Server *>{};
  auto untried = std::vector<Server *>{};
  for (auto *it : CurrentState.Servers.serversOf(Request.Service)) {
    if (!it->isUsable(CurrentState.Now) ||
        CurrentState.Now < CurrentState.Limits.blockedUntil(it->Key))
      continue;
    usable.push_back(it);
    if (!Request.ExcludedServers.contains(it->Description.Id))
      untried.push_back(it);
  }
  return untried.empty() ? usable : untried;
}

auto Placement::penalty(RequestNumber Number, Server const &Target) const
    -> double {
  auto cost = 0.0;
  if (Target.Description.Domain != CurrentState.Self.Domain)
    cost += CrossDomainSeconds;
  if (!Target.hasIdleConnection(CurrentState.Now))
    cost += NewConnectionSeconds;
  if (Target.isLastResort(CurrentState.Now) ||
      CurrentState.Now < Target.FullUntil)
    cost += LastResortSeconds;
  auto seed = CurrentState.Self.Incarnation ^ Number;
  return cost + JitterSeconds * toUnitInterval(rendezvousScore(
                                    seed, Target.Description.Id));
}

template <typename Function>
auto Placement::cheapest(RequestNumber Number, InFlightRequest const &Request,
                         Function Evaluate) const -> std::optional<Choice> {
  auto best = std::optional<Choice>{};
  auto lowest = std::numeric_limits<double>::infinity();
  for (auto *it : candidates(Request)) {
    auto candidate = std::optional<Candidate>(Evaluate(*it));
    if (!candidate)
      continue;
    auto cost = candidate->Cost + penalty(Number, *it);
    if (cost >= lowest)
      continue;
    lowest = cost;
    best = std::move(candidate->Details);
    best->Target = it;
  }
  return best;
}

auto Placement::choose(RequestNumber Number, InFlightRequest const &Request)
    -> std::optional<Choice> {
  auto const *service = Request.Config->findService(Request.Service);
  if (service != nullptr && service->Engine &&
      Request.Content->PromptTokens > 0)
    return chooseEngine(Number, Request);
  return choosePlain(Number, Request);
}

auto Placement::choosePlain(RequestNumber Number,
                            InFlightRequest const &Request)
    -> std::optional<Choice> {
  return cheapest(Number, Request, [this](Server const &Target) {
    auto load = Target.load();
    auto requests = static_cast<double>(load.Requests) + 1;
    auto cost = requests * PlainRequestSeconds * Target.Slowness *
                (1 + FailureCostFactor * Target.FailureShare) *
                Target.Health.slowStartFactor(CurrentState.Now);
    if (load.Requests >= Target.Description.Slots)
      cost += FullBatchSeconds;
    return Candidate{cost, {}};
  });
}

auto Placement::findCacheSource(InFlightRequest const &Request,
                                Server const &Engine, std::uint32_t Cached,
                                Candidate &Result) -> std::uint32_t {
  for (auto n = Request.Prefixes.size(); n > 0; --n) {
    auto const &prefix = Request.Prefixes[n - 1];
    if (prefix.Tokens < Cached + MinimumTransferTokens)
      return Cached;
    auto const *latest = static_cast<Holder const *>(nullptr);
    for (auto const &it : CurrentState.Prefixes.holders(prefix.Hash)) {
      auto const *server = CurrentState.Servers.findByKey(it.Server);
      if (server == nullptr || server == &Engine ||
          !server->isUsable(CurrentState.Now) ||
          server->isLastResort(CurrentState.Now))
        continue;
      if (latest == nullptr || it.LastUsed > latest->LastUsed)
        latest = &it;
    }
    if (latest == nullptr)
      continue;
    Result.Details.CacheSource =
        CurrentState.Servers.findByKey(latest->Server)->Description.Address;
    return prefix.Tokens;
  }
  return Cached;
}

auto Placement::evaluateEngine(InFlightRequest const &Request, Server &Engine,
                               Service const &OfferedService) -> Candidate {
  auto const &traits = *OfferedService.Engine;
  auto candidate = Candidate{};
  auto &details = candidate.Details;
  details.IsPrefill = Engine.Description.Stage == EngineStage::Prefill;
  auto const &model = CurrentState.SpeedModels[Request.Service];
  auto cached =
      CurrentState.Prefixes.cachedTokens(Request.Prefixes, Engine.Key);
  auto known = cached;
  if (traits.SupportsCacheTransfer)
    known = findCacheSource(Request, Engine, cached, candidate);
  auto total = std::max(Request.Content->PromptTokens, known);
  auto load = Engine.load();
  details.PromptTokens = total - known;
  details.TokensAhead = load.PromptTokens;
  auto wait = model.prefillTime(load.PromptTokens, details.IsPrefill);
  auto prefillTime = model.prefillTime(details.PromptTokens, details.IsPrefill);
  auto seconds = toSeconds(wait + prefillTime);
  if (known > cached)
    seconds += transferSeconds(traits, known - cached);
  if (details.IsPrefill)
    seconds += SeparatePrefillSeconds + transferSeconds(traits, total);
  seconds += BatchSecondsPerRequest * load.Requests;
  if (load.Requests >= traits.Slots)
    seconds += FullBatchSeconds;
  seconds = (seconds + toSeconds(SpeedModel::BaseLatency)) * Engine.Slowness;
  if (details.IsPrefill)
    details.QueueRank = queueRank(prefillTime);
  details.Wait = scaled(wait, Engine.Slowness);
  details.Forecast = fromSeconds(seconds);
  candidate.Cost = seconds * (1 + FailureCostFactor * Engine.FailureShare) *
                   Engine.Health.slowStartFactor(CurrentState.Now);
  candidate.Cost += evictionSeconds(model, total - cached);
  auto maximumPrefillTime =
      scaled(Request.MatchedRoute->TargetGap, PrefillShareOfTargetGap);
  if (!details.IsPrefill && load.Requests > 0 &&
      wait + prefillTime > maximumPrefillTime)
    candidate.Cost += LateStreamsSeconds;
  return candidate;
}

auto Placement::chooseEngine(RequestNumber Number,
                             InFlightRequest const &Request)
    -> std::optional<Choice> {
  auto const &service = *Request.Config->findService(Request.Service);
  // The first separate prefill does not count towards MaximumServers. Another
  // one does, and so will the engine that decodes. A trial reaches one engine
  // only.
  auto mayPrefill =
      !Request.TrialOf &&
      (Request.PrefillsMade == 0 ||
       Request.ServersUsed + 2 <= Request.MatchedRoute->MaximumServers);
  auto const *assigned = assignedEngine(Request);
  return cheapest(
      Number, Request, [&](Server &Engine) -> std::optional<Candidate> {
        if (Engine.Description.Stage == EngineStage::Prefill && !mayPrefill)
          return std::nullopt;
        auto candidate = evaluateEngine(Request, Engine, service);
        if (&Engine == assigned)
          candidate.Cost -=
              assignedEngineBonus(Request, candidate.Details.IsPrefill);
        return candidate;
      });
}

auto Placement::assignedEngine(InFlightRequest const &Request) const
    -> Server const * {
  if (Request.Prefixes.empty())
    return nullptr;
  auto hash = Request.Prefixes.back().Hash;
  if (!CurrentState.Prefixes.holders(hash).empty())
    return nullptr;
  auto const *assigned = static_cast<Server const *>(nullptr);
  auto highest = std::uint64_t{0};
  for (auto const *it : CurrentState.Servers.serversOf(Request.Service)) {
    // Prefixes are cached where prompts are prefilled, so engines that only
    // decode are skipped.
    if (it->Description.Stage == EngineStage::Decode ||
        !it->isUsable(CurrentState.Now))
      continue;
    auto score = rendezvousScore(hash, it->Description.Id);
    if (assigned != nullptr && score <= highest)
      continue;
    assigned = it;
    highest = score;
  }
  return assigned;
}

auto Placement::assignedEngineBonus(InFlightRequest const &Request,
                                    bool IsPrefill) const -> double {
  auto const &model = CurrentState.SpeedModels[Request.Service];
  auto tokens = Request.Prefixes.back().Tokens;
  return AssignedCacheProbability *
         toSeconds(model.prefillTime(tokens, IsPrefill));
}

auto Placement::chooseForPrefilled(RequestNumber Number,
                                   InFlightRequest const &Request,
                                   ServerKey Source) -> std::optional<Choice> {
  auto const &traits = *Request.Config->findService(Request.Service)->Engine;
  auto const *source = CurrentState.Servers.findByKey(Source);
  auto const &model = CurrentState.SpeedModels[Request.Service];
  auto total = Request.Content->PromptTokens;
  auto evaluate = [&](Server const &Engine) -> std::optional<Candidate> {
    if (Engine.Description.Stage == EngineStage::Prefill)
      return std::nullopt;
    auto load = Engine.load();
    auto seconds = BatchSecondsPerRequest * load.Requests +
                   QueuedPrefillShare *
                       toSeconds(model.prefillTime(load.PromptTokens, false));
    if (load.Requests >= traits.Slots)
      seconds += FullBatchSeconds;
    seconds *= Engine.Slowness * (1 + FailureCostFactor * Engine.FailureShare);
    auto cached =
        CurrentState.Prefixes.cachedTokens(Request.Prefixes, Engine.Key);
    auto cost =
        seconds + evictionSeconds(model, total - std::min(total, cached));
    if (source != nullptr &&
        Engine.Description.Domain != source->Description.Domain)
      cost += transferSeconds(traits, total);
    auto candidate = Candidate{cost, {}};
    candidate.Details.Forecast = fromSeconds(seconds) + SpeedModel::BaseLatency;
    return candidate;
  };
  return cheapest(Number, Request, evaluate);
}

} // namespace dotterel::relay
