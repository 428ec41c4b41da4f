#include "LibRelay/CrashEvidence.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dotterel::relay {

namespace {

/// Servers that lose power together break their connections within this time,
/// as instances observe it.
constexpr auto SimultaneityWindow = Duration{20ms};
/// Limits on the memory.
constexpr auto MaximumCrashes = std::size_t{64};
constexpr auto MaximumInterruptionsPerCrash = std::size_t{256};

auto combine(std::uint64_t Hash, std::uint64_t Seed) -> std::uint64_t {
  return hashText({reinterpret_cast<char const *>(&Hash), sizeof Hash}, Seed);
}

/// Returns the elements of \p Suspects with the most crashes.
auto keepMostFrequent(std::vector<SuspectCrashes> Suspects)
    -> std::vector<SuspectCrashes> {
  auto most = std::size_t{0};
  for (auto const &it : Suspects)
    most = std::max(most, it.Crashes);
  std::erase_if(Suspects, [most](auto const &it) { return it.Crashes < most; });
  return Suspects;
}

/// Returns the number of \p Moments that are not part of the same event.
/// Precondition: they are in ascending order.
auto countMoments(std::span<Instant const> Moments) -> std::size_t {
  auto count = std::size_t{0};
  auto first = Instant::min();
  for (auto it : Moments) {
    if (count > 0 && it - first <= SimultaneityWindow)
      continue;
    ++count;
    first = it;
  }
  return count;
}

/// Returns the key that \p Identity shares with the same request with another
/// query and prompt, or 0 if the key at position \p Rank is such a key.
auto generalKey(RequestIdentity const &Identity, std::size_t Rank)
    -> SuspectKey {
  auto const key = Identity.keys()[Rank];
  if (key == Identity.Exact || key == Identity.Caller)
    return Identity.CallerPath;
  return key == Identity.CallerPath || key == Identity.Path ? 0 : Identity.Path;
}

/// Returns the keys of \p Identities at position \p Rank that most crashes have
/// in common. \p Counts holds the number of crashes of each key.
auto keysOfRank(std::vector<RequestIdentity> const &Identities,
                std::size_t Rank,
                std::map<SuspectKey, SuspectCrashes> const &Counts)
    -> std::vector<SuspectCrashes> {
  auto keys = std::map<SuspectKey, SuspectKey>{};
  for (auto const &it : Identities)
    keys.emplace(it.keys()[Rank], generalKey(it, Rank));
  auto suspects = std::vector<SuspectCrashes>{};
  for (auto const &[key, general] : keys) {
    auto const it = Counts.find(key);
    if (it == Counts.end())
      continue;
    suspects.push_back(it->second);
    suspects.back().GeneralKey = general;
  }
  return keepMostFrequent(std::move(suspects));
}

} // namespace

auto sharedSegments(Request const &Source) -> std::vector<SuspectKey> {
  auto const &segments = Source.PromptSegments;
  auto const model = hashText(Source.Model);
  auto keys = std::vector<SuspectKey>{};
  for (auto n = std::size_t{0}; n + 1 < segments.size(); ++n)
    keys.push_back(combine(segments[n].Hash, model));
  return keys;
}

auto suspectKeys(RequestIdentity const &Identity,
                 std::span<SuspectKey const> SharedSegments)
    -> std::vector<SuspectKey> {
  auto const own = Identity.keys();
  auto keys = std::vector<SuspectKey>(own.begin(), own.end());
  keys.insert(keys.end(), SharedSegments.begin(), SharedSegments.end());
  return keys;
}

auto CrashEvidence::Crash::explain(Explanation const &Explain) const
    -> std::optional<SuspectKind> {
  auto explanation = std::optional<SuspectKind>{};
  auto check = [&](std::vector<SuspectKey> const &Keys) {
    for (auto it : Keys) {
      if (auto kind = Explain(it))
        explanation = explanation ? std::min(*explanation, *kind) : *kind;
    }
  };
  for (auto const &it : Interruptions) {
    check(it.RequestKeys);
    check(it.Segments);
  }
  return explanation;
}

auto CrashEvidence::Crash::isExplainedWithout(SuspectKey Key,
                                              Explanation const &Explain) const
    -> bool {
  auto isCause = [&](SuspectKey it) { return Explain(it).has_value(); };
  return std::ranges::any_of(Interruptions, [&](Interruption const &Target) {
    auto const keys = Target.Identity.keys();
    return std::ranges::find(keys, Key) == keys.end() &&
           (std::ranges::any_of(Target.RequestKeys, isCause) ||
            std::ranges::any_of(Target.Segments, isCause));
  });
}

auto CrashEvidence::count(Interruption const &Added) -> void {
  for (auto it : Added.RequestKeys)
    ++Occurrences[it];
  for (auto it : Added.Segments)
    ++Occurrences[it];
}

auto CrashEvidence::discount(SuspectKey Removed) -> void {
  auto it = Occurrences.find(Removed);
  if (--it->second == 0)
    Occurrences.erase(it);
}

auto CrashEvidence::discount(Interruption const &Removed) -> void {
  for (auto it : Removed.RequestKeys)
    discount(it);
  for (auto it : Removed.Segments)
    discount(it);
}

auto CrashEvidence::crashOf(ServerKey Server, Instant Now) -> Crash & {
  if (Crashes.size() >= MaximumCrashes && !Crashes.contains(Server)) {
    // Crashes without any request in progress are forgotten first.
    auto least = std::ranges::min_element(Crashes, {}, [](auto const &it) {
      return std::pair(!it.second.Interruptions.empty(), it.second.LastAt);
    });
    for (auto const &it : least->second.Interruptions)
      discount(it);
    Crashes.erase(least);
  }
  auto &crash = Crashes[Server];
  crash.LastAt = Now;
  return crash;
}

auto CrashEvidence::recordInterruption(InterruptedRequest Interrupted,
                                       Instant Now) -> void {
  auto &crash = crashOf(Interrupted.Server, Now);
  auto isKnown = std::ranges::any_of(crash.Interruptions, [&](auto const &it) {
    return it.Identity == Interrupted.Identity;
  });
  // A connection that breaks long after the server crashed has another cause.
  auto isLate =
      crash.ConfirmedAt && Now - *crash.ConfirmedAt > ConfirmationTime;
  if (isKnown || isLate ||
      crash.Interruptions.size() >= MaximumInterruptionsPerCrash)
    return;
  auto const keys = Interrupted.Identity.keys();
  auto interruption = Interruption{Interrupted.Identity,
                                   {keys.begin(), keys.end()},
                                   std::move(Interrupted.Segments),
                                   Now - Interrupted.Age};
  // Instances of earlier versions do not report all keys.
  std::erase(interruption.RequestKeys, SuspectKey{0});
  count(interruption);
  crash.Interruptions.push_back(std::move(interruption));
}

auto CrashEvidence::recordCrash(ServerKey Server, Instant Now) -> void {
  auto &crash = crashOf(Server, Now);
  if (crash.ConfirmedAt)
    return;
  crash.ConfirmedAt = Now;
  std::erase_if(crash.Interruptions, [&](auto const &it) {
    auto isEarlier = Now - it.At > ConfirmationTime;
    if (isEarlier)
      discount(it);
    return isEarlier;
  });
}

auto CrashEvidence::withdrawCrash(ServerKey Server) -> bool {
  auto it = Crashes.find(Server);
  if (it == Crashes.end() || !it->second.ConfirmedAt)
    return false;
  it->second.ConfirmedAt.reset();
  return true;
}

auto CrashEvidence::remove(SuspectKey Key, Instant At) -> void {
  if (!contains(Key))
    return;
  for (auto &crash : Crashes) {
    for (auto &it : crash.second.Interruptions) {
      auto removed = std::erase(it.Segments, Key);
      if (it.At <= At)
        removed += std::erase(it.RequestKeys, Key);
      for (; removed > 0; --removed)
        discount(Key);
    }
  }
}

auto CrashEvidence::expire(Duration Lifetime, Instant Now) -> void {
  std::erase_if(Crashes, [&](auto const &it) {
    auto lifetime = it.second.ConfirmedAt ? Lifetime : ConfirmationTime;
    auto isOld = Now - it.second.LastAt > lifetime;
    if (isOld) {
      for (auto const &interruption : it.second.Interruptions)
        discount(interruption);
    }
    return isOld;
  });
}

auto CrashEvidence::hasCrashAfter(Instant Known) const -> bool {
  return std::ranges::any_of(Crashes, [&](auto const &it) {
    return it.second.ConfirmedAt && *it.second.ConfirmedAt > Known;
  });
}

auto CrashEvidence::mostFrequentSegments(Instant Known,
                                         Explanation const &Explain) const
    -> std::vector<SuspectCrashes> {
  struct Count {
    std::size_t Crashes = 0;
    std::size_t Unexplained = 0;
    std::vector<Instant> Moments;
    std::set<SuspectKey> Contents;
  };
  auto counts = std::map<SuspectKey, Count>{};
  for (auto const &[server, crash] : Crashes) {
    if (!crash.ConfirmedAt || *crash.ConfirmedAt > Known)
      continue;
    auto const explanation = crash.explain(Explain);
    if (explanation == SuspectKind::Segment)
      continue;
    auto firstAt = std::map<SuspectKey, Instant>{};
    for (auto const &request : crash.Interruptions) {
      for (auto segment : request.Segments) {
        counts[segment].Contents.insert(request.Identity.Content);
        auto &at = firstAt.try_emplace(segment, request.At).first->second;
        at = std::min(at, request.At);
      }
    }
    for (auto const &[segment, at] : firstAt) {
      auto &count = counts[segment];
      ++count.Crashes;
      count.Unexplained += explanation ? 0 : 1;
      count.Moments.push_back(at);
    }
  }
  auto segments = std::vector<SuspectCrashes>{};
  for (auto &[key, count] : counts) {
    if (count.Unexplained == 0)
      continue;
    std::ranges::sort(count.Moments);
    segments.push_back({{key, SuspectKind::Segment},
                        count.Crashes,
                        count.Contents.size(),
                        count.Unexplained,
                        count.Moments.back(),
                        countMoments(count.Moments)});
  }
  return keepMostFrequent(std::move(segments));
}

auto CrashEvidence::requests(Instant Known, Explanation const &Explain) const
    -> std::vector<SuspectCrashes> {
  auto times = std::map<SuspectKey, std::vector<Instant>>{};
  auto paths = std::map<SuspectKey, std::vector<RequestIdentity>>{};
  for (auto const &[server, crash] : Crashes) {
    if (!crash.ConfirmedAt || *crash.ConfirmedAt > Known)
      continue;
    auto const explanation = crash.explain(Explain);
    if (explanation == SuspectKind::Segment)
      continue;
    auto isCause = [&](SuspectKey it) { return Explain(it).has_value(); };
    auto firstAt = std::map<SuspectKey, Instant>{};
    for (auto const &request : crash.Interruptions) {
      // The request that explains the crash may be quarantined under a key that
      // is too specific.
      if (explanation && std::ranges::none_of(request.RequestKeys, isCause))
        continue;
      for (auto key : request.RequestKeys) {
        auto &at = firstAt.try_emplace(key, request.At).first->second;
        at = std::min(at, request.At);
      }
      paths[request.Identity.Path].push_back(request.Identity);
    }
    for (auto const &[key, at] : firstAt)
      times[key].push_back(at);
  }
  auto counts = std::map<SuspectKey, SuspectCrashes>{};
  for (auto &[key, moments] : times) {
    std::ranges::sort(moments);
    counts[key] = {{key, SuspectKind::Request},
                   moments.size(),
                   1,
                   moments.size(),
                   moments.back(),
                   countMoments(moments)};
  }
  auto requests = std::vector<SuspectCrashes>{};
  for (auto const &[path, identities] : paths) {
    auto specific = std::vector<SuspectCrashes>{};
    for (auto rank = std::size_t{0}; rank < RequestIdentity{}.keys().size();
         ++rank) {
      auto const most = specific.empty() ? 0 : specific.front().Crashes;
      auto found = keysOfRank(identities, rank, counts);
      if (!found.empty() && found.front().Crashes > most)
        specific = std::move(found);
    }
    requests.insert(requests.end(), specific.begin(), specific.end());
  }
  std::ranges::sort(requests, std::greater{}, &SuspectCrashes::Crashes);
  return requests;
}

auto CrashEvidence::countAlone(std::span<SuspectCrashes> Requests,
                               Instant Known, Explanation const &Explain) const
    -> void {
  for (auto const &[server, crash] : Crashes) {
    if (!crash.ConfirmedAt || *crash.ConfirmedAt > Known ||
        crash.explain(Explain))
      continue;
    auto isInProgress = [&interruptions =
                             crash.Interruptions](SuspectCrashes const &it) {
      return std::ranges::any_of(
          interruptions, [&](Interruption const &Target) {
            auto const keys = Target.Identity.keys();
            return std::ranges::find(keys, it.Suspect.Key) != keys.end();
          });
    };
    auto const first = std::ranges::find_if(Requests, isInProgress);
    if (first != Requests.end() &&
        std::none_of(std::next(first), Requests.end(), isInProgress))
      ++first->Alone;
  }
}

auto CrashEvidence::crashesOf(Suspect const &Target,
                              Explanation const &Explain) const
    -> SuspectCrashes {
  auto crashes = SuspectCrashes{Target, 0, 1, 0};
  for (auto const &[server, crash] : Crashes) {
    auto isWith = [&Target](Interruption const &Interrupted) {
      auto const &keys = isSegment(Target.Kind) ? Interrupted.Segments
                                                : Interrupted.RequestKeys;
      return std::ranges::find(keys, Target.Key) != keys.end();
    };
    if (!crash.ConfirmedAt || std::ranges::none_of(crash.Interruptions, isWith))
      continue;
    auto const isExplained =
        isSegment(Target.Kind) ? crash.explain(Explain).has_value()
                               : crash.isExplainedWithout(Target.Key, Explain);
    ++crashes.Crashes;
    crashes.Unexplained += isExplained ? 0 : 1;
  }
  return crashes;
}

} // namespace dotterel::relay
