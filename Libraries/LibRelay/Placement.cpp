#include "LibRelay/Placement.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <limits>

namespace dotterel::relay {

namespace {

/// Cost of another failure domain, in seconds: what the traffic between
/// domains costs a deployment, against late answers.
constexpr auto OtherDomainSeconds = 0.015;
/// Largest random addition to a cost, in seconds. Instances that decide on the
/// same reports must not all choose the same server.
constexpr auto JitterSeconds = 0.02;
/// Cost of one more request in an engine's batch, in seconds: every step gets
/// longer for all.
constexpr auto BatchSecondsPerRequest = 0.002;
/// Cost of a request beyond an engine's batch, in seconds.
constexpr auto BeyondBatchSeconds = 0.25;
/// Cost of a prompt that is read at one engine and moved to another, beside
/// the reading: one more exchange and the copy.
constexpr auto HandoverSeconds = 0.03;
/// Cost of moving a gigabyte of KV cache, in seconds: what deployments charge
/// for it.
constexpr auto MoveSecondsPerGigabyte = 0.008;
/// Connection set-up and queueing of a copy between two engines.
constexpr auto CopySetupSeconds = 0.006;
/// Shared beginnings below this are read again rather than copied.
constexpr auto SmallestCopyTokens = std::uint32_t{500};
/// Part of what a new entry displaces from an engine's cache that will be read
/// again. Copies of the same beginning at many engines push each other out.
constexpr auto DisplacedShare = 1.0;
/// While an engine that makes tokens also reads a prompt, its streams pause.
/// One event of a stream holds several tokens, so pauses add up: reading for
/// more than this part of the longest good pause makes events late.
constexpr auto ReadingShareOfGap = 0.1;
/// Cost of making the streams of an engine late, in seconds: prompts are read
/// there only if all others make them wait about this long.
constexpr auto LateStreamsSeconds = 4.0;
/// Part of the reading that waits at an engine which passes before a prompt
/// that was read elsewhere makes its first token: it is read in pieces between
/// tokens.
constexpr auto ReadingBeforeTokens = 0.5;
/// How likely the engine that a prompt's beginning is dealt to by hash keeps
/// it although this instance has heard of no holder: instances that have just
/// started know nothing of caches, and all deal alike.
constexpr auto DealtShare = 0.5;
/// Extra cost of a server whose requests all fail, as a factor.
constexpr auto FailureCost = 8.0;
/// Cost that keeps a server as a last resort, in seconds.
constexpr auto LastResortSeconds = 5.0;
/// Requests at a plain server count this many seconds each against domains
/// and chance.
constexpr auto PlainRequestSeconds = 0.02;
constexpr auto BitsPerByte = 8.0;
constexpr auto MegabitBits = 1e6;
constexpr auto Gigabyte = 1e9;

auto unitInterval(std::uint64_t Hash) -> double {
  return static_cast<double>(Hash) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

auto moveSeconds(EngineTraits const &Traits, std::uint64_t Tokens) -> double {
  auto bytes = Traits.KvCacheBytesPerToken * static_cast<double>(Tokens);
  auto seconds = CopySetupSeconds + bytes / Gigabyte * MoveSecondsPerGigabyte;
  if (Traits.LinkMegabitsPerSecond > 0)
    seconds +=
        bytes * BitsPerByte / (Traits.LinkMegabitsPerSecond * MegabitBits);
  return seconds;
}

/// Cost of keeping \p Tokens more at an engine, in seconds.
auto displacementSeconds(SpeedModel const &Model, std::uint64_t Tokens)
    -> double {
  return DisplacedShare * toSeconds(Model.prefillTime(Tokens, false));
}

} // namespace

auto Placement::candidates(InFlightRequest const &Target) const
    -> std::vector<Server *> {
  auto usable = std::vector<Server *>{};
  auto untried = std::vector<Server *>{};
  for (auto *it : CurrentState.Servers.serversOf(Target.Service)) {
    if (!it->isUsable(CurrentState.Now))
      continue;
    usable.push_back(it);
    if (!Target.ExcludedServers.contains(it->Description.Id))
      untried.push_back(it);
  }
  return untried.empty() ? usable : untried;
}

auto Placement::penalty(RequestNumber Number, Server const &Target) const
    -> double {
  auto cost = 0.0;
  if (Target.Description.Domain != CurrentState.Self.Domain)
    cost += OtherDomainSeconds;
  if (Target.isLastResort(CurrentState.Now) ||
      CurrentState.Now < Target.FullUntil)
    cost += LastResortSeconds;
  auto seed = CurrentState.Self.Incarnation ^ Number;
  return cost + JitterSeconds *
                    unitInterval(rendezvousScore(seed, Target.Description.Id));
}

template <typename Function>
auto Placement::cheapest(RequestNumber Number, InFlightRequest const &Target,
                         Function Consider) const -> std::optional<Choice> {
  auto best = std::optional<Choice>{};
  auto lowest = std::numeric_limits<double>::infinity();
  for (auto *it : candidates(Target)) {
    auto candidate = std::optional<Candidate>(Consider(*it));
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

auto Placement::choose(RequestNumber Number, InFlightRequest const &Target)
    -> std::optional<Choice> {
  auto const *service = Target.Config->findService(Target.Service);
  if (service != nullptr && service->Engine && Target.Content->PromptTokens > 0)
    return chooseEngine(Number, Target);
  return choosePlain(Number, Target);
}

auto Placement::choosePlain(RequestNumber Number, InFlightRequest const &Target)
    -> std::optional<Choice> {
  return cheapest(Number, Target, [this](Server const &Considered) {
    auto load = Considered.load();
    auto requests = static_cast<double>(load.Requests) + 1;
    auto cost = requests * PlainRequestSeconds * Considered.Slowness *
                (1 + FailureCost * Considered.FailureShare) *
                Considered.Health.slowStartFactor(CurrentState.Now);
    if (load.Requests >= Considered.Description.Slots)
      cost += BeyondBatchSeconds;
    return Candidate{cost, {}};
  });
}

auto Placement::findCacheSource(InFlightRequest const &Target,
                                Server const &Engine, std::uint32_t Cached,
                                Candidate &Into) -> std::uint32_t {
  for (auto n = Target.Prefixes.size(); n > 0; --n) {
    auto const &prefix = Target.Prefixes[n - 1];
    if (prefix.Tokens < Cached + SmallestCopyTokens)
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
    Into.Details.CacheSource =
        CurrentState.Servers.findByKey(latest->Server)->Description.Address;
    return prefix.Tokens;
  }
  return Cached;
}

auto Placement::evaluateEngine(InFlightRequest const &Target, Server &Engine,
                               Service const &Offered) -> Candidate {
  auto const &traits = *Offered.Engine;
  auto candidate = Candidate{};
  auto &details = candidate.Details;
  details.IsPrefill = Engine.Description.Stage == EngineStage::Prefill;
  auto const &model = CurrentState.SpeedModels[Target.Service];
  auto cached = CurrentState.Prefixes.cachedTokens(Target.Prefixes, Engine.Key);
  auto known = cached;
  if (traits.SupportsCacheTransfer)
    known = findCacheSource(Target, Engine, cached, candidate);
  auto total = std::max(Target.Content->PromptTokens, known);
  auto load = Engine.load();
  details.PromptTokens = total - known;
  details.TokensAhead = load.PromptTokens;
  auto wait = model.prefillTime(load.PromptTokens, details.IsPrefill);
  auto reading = model.prefillTime(details.PromptTokens, details.IsPrefill);
  auto seconds = toSeconds(wait + reading);
  if (known > cached)
    seconds += moveSeconds(traits, known - cached);
  if (details.IsPrefill)
    seconds += HandoverSeconds + moveSeconds(traits, total);
  seconds += BatchSecondsPerRequest * load.Requests;
  if (load.Requests >= traits.Slots)
    seconds += BeyondBatchSeconds;
  seconds = (seconds + toSeconds(SpeedModel::BaseLatency)) * Engine.Slowness;
  details.Wait = scaled(wait, Engine.Slowness);
  details.Forecast = fromSeconds(seconds);
  candidate.Cost = seconds * (1 + FailureCost * Engine.FailureShare) *
                   Engine.Health.slowStartFactor(CurrentState.Now);
  candidate.Cost += displacementSeconds(model, total - cached);
  auto longestReading =
      scaled(Target.MatchedRoute->TargetGap, ReadingShareOfGap);
  if (!details.IsPrefill && load.Requests > 0 &&
      wait + reading > longestReading)
    candidate.Cost += LateStreamsSeconds;
  return candidate;
}

auto Placement::chooseEngine(RequestNumber Number,
                             InFlightRequest const &Target)
    -> std::optional<Choice> {
  auto const &service = *Target.Config->findService(Target.Service);
  // Only the first reading of a prompt alone is free; another one counts as a
  // server, and so will the engine that makes the tokens.
  auto mayPrefill =
      Target.PrefillsMade == 0 ||
      Target.ServersUsed + 2 <= Target.MatchedRoute->MaximumServers;
  auto const *dealt = assignedEngine(Target);
  return cheapest(
      Number, Target, [&](Server &Engine) -> std::optional<Candidate> {
        if (Engine.Description.Stage == EngineStage::Prefill && !mayPrefill)
          return std::nullopt;
        auto candidate = evaluateEngine(Target, Engine, service);
        if (&Engine == dealt)
          candidate.Cost -=
              assignedEngineBonus(Target, candidate.Details.IsPrefill);
        return candidate;
      });
}

auto Placement::assignedEngine(InFlightRequest const &Target) const
    -> Server const * {
  if (Target.Prefixes.empty())
    return nullptr;
  auto hash = Target.Prefixes.back().Hash;
  if (!CurrentState.Prefixes.holders(hash).empty())
    return nullptr;
  auto const *dealt = static_cast<Server const *>(nullptr);
  auto highest = std::uint64_t{0};
  for (auto const *it : CurrentState.Servers.serversOf(Target.Service)) {
    // Beginnings stay where prompts are read; engines that make tokens are few.
    if (it->Description.Stage == EngineStage::Decode ||
        !it->isUsable(CurrentState.Now))
      continue;
    auto score = rendezvousScore(hash, it->Description.Id);
    if (dealt != nullptr && score <= highest)
      continue;
    dealt = it;
    highest = score;
  }
  return dealt;
}

auto Placement::assignedEngineBonus(InFlightRequest const &Target,
                                    bool IsPrefill) const -> double {
  auto const &model = CurrentState.SpeedModels[Target.Service];
  auto tokens = Target.Prefixes.back().Tokens;
  return DealtShare * toSeconds(model.prefillTime(tokens, IsPrefill));
}

auto Placement::chooseForPrefilled(RequestNumber Number,
                                   InFlightRequest const &Target,
                                   std::string const &Source)
    -> std::optional<Choice> {
  auto const &traits = *Target.Config->findService(Target.Service)->Engine;
  auto const *source = CurrentState.Servers.find(Source);
  auto const &model = CurrentState.SpeedModels[Target.Service];
  auto total = Target.Content->PromptTokens;
  auto consider = [&](Server const &Engine) -> std::optional<Candidate> {
    if (Engine.Description.Stage == EngineStage::Prefill)
      return std::nullopt;
    auto load = Engine.load();
    auto seconds = BatchSecondsPerRequest * load.Requests +
                   ReadingBeforeTokens *
                       toSeconds(model.prefillTime(load.PromptTokens, false));
    if (load.Requests >= traits.Slots)
      seconds += BeyondBatchSeconds;
    seconds *= Engine.Slowness * (1 + FailureCost * Engine.FailureShare);
    auto cached =
        CurrentState.Prefixes.cachedTokens(Target.Prefixes, Engine.Key);
    auto cost =
        seconds + displacementSeconds(model, total - std::min(total, cached));
    if (source != nullptr &&
        Engine.Description.Domain != source->Description.Domain)
      cost += moveSeconds(traits, total);
    auto candidate = Candidate{cost, {}};
    candidate.Details.Forecast = fromSeconds(seconds) + SpeedModel::BaseLatency;
    return candidate;
  };
  return cheapest(Number, Target, consider);
}

} // namespace dotterel::relay
