#include "LibRelay/CrashEvidence.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dotterel::relay {

namespace {

/// Limits on the memory.
constexpr auto MaximumCrashes = std::size_t{64};
constexpr auto MaximumPromptsPerCrash = std::size_t{256};

auto combine(std::uint64_t Hash, std::uint64_t Seed) -> std::uint64_t {
  return hashText({reinterpret_cast<char const *>(&Hash), sizeof Hash}, Seed);
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

auto describeInterruption(Request const &Source, ServerKey Server)
    -> InterruptedRequest {
  auto prompt = hashText(Source.Model);
  for (auto const &it : Source.PromptSegments)
    prompt = combine(it.Hash, prompt);
  return {Server, prompt, sharedSegments(Source)};
}

auto CrashEvidence::crashOf(ServerKey Server, Instant Now) -> Crash & {
  if (Crashes.size() >= MaximumCrashes && !Crashes.contains(Server)) {
    // Crashes without any prompt in progress are forgotten first.
    auto least = std::ranges::min_element(Crashes, {}, [](auto const &it) {
      return std::pair(!it.second.Prompts.empty(), it.second.LastAt);
    });
    Crashes.erase(least);
  }
  auto &crash = Crashes[Server];
  crash.LastAt = Now;
  return crash;
}

auto CrashEvidence::recordInterruption(InterruptedRequest Interrupted,
                                       Instant Now) -> void {
  auto &crash = crashOf(Interrupted.Server, Now);
  auto isKnown = std::ranges::any_of(crash.Prompts, [&](auto const &it) {
    return it.Hash == Interrupted.Prompt;
  });
  // A connection that breaks long after the server crashed has another cause.
  auto isLate =
      crash.ConfirmedAt && Now - *crash.ConfirmedAt > ConfirmationTime;
  if (isKnown || isLate || crash.Prompts.size() >= MaximumPromptsPerCrash)
    return;
  crash.Prompts.push_back(
      {Interrupted.Prompt, std::move(Interrupted.Segments), Now});
}

auto CrashEvidence::recordCrash(ServerKey Server, Instant Now) -> void {
  auto &crash = crashOf(Server, Now);
  if (crash.ConfirmedAt)
    return;
  crash.ConfirmedAt = Now;
  std::erase_if(crash.Prompts,
                [&](auto const &it) { return Now - it.At > ConfirmationTime; });
}

auto CrashEvidence::removeSegment(SuspectKey Segment) -> void {
  for (auto &crash : Crashes) {
    for (auto &prompt : crash.second.Prompts)
      std::erase(prompt.Segments, Segment);
  }
}

auto CrashEvidence::expire(Duration Lifetime, Instant Now) -> void {
  std::erase_if(Crashes, [&](auto const &it) {
    auto lifetime = it.second.ConfirmedAt ? Lifetime : ConfirmationTime;
    return Now - it.second.LastAt > lifetime;
  });
}

auto CrashEvidence::contains(SuspectKey Segment) const -> bool {
  return std::ranges::any_of(Crashes, [&](auto const &it) {
    return std::ranges::any_of(it.second.Prompts, [&](auto const &Target) {
      return std::ranges::find(Target.Segments, Segment) !=
             Target.Segments.end();
    });
  });
}

auto CrashEvidence::hasCrashAfter(Instant Known) const -> bool {
  return std::ranges::any_of(Crashes, [&](auto const &it) {
    return it.second.ConfirmedAt && *it.second.ConfirmedAt > Known;
  });
}

auto CrashEvidence::mostFrequent(
    Instant Known, std::function<bool(SuspectKey)> const &IsExplained) const
    -> std::vector<SegmentCrashes> {
  struct Count {
    std::size_t Crashes = 0;
    std::set<std::uint64_t> Prompts;
  };
  auto counts = std::map<SuspectKey, Count>{};
  for (auto const &crash : Crashes) {
    auto const &confirmedAt = crash.second.ConfirmedAt;
    if (!confirmedAt || *confirmedAt > Known)
      continue;
    auto prompts = std::map<SuspectKey, std::set<std::uint64_t>>{};
    for (auto const &prompt : crash.second.Prompts) {
      for (auto segment : prompt.Segments)
        prompts[segment].insert(prompt.Hash);
    }
    if (std::ranges::any_of(
            prompts, [&](auto const &it) { return IsExplained(it.first); }))
      continue;
    for (auto &it : prompts) {
      ++counts[it.first].Crashes;
      counts[it.first].Prompts.merge(it.second);
    }
  }
  auto most = std::vector<SegmentCrashes>{};
  for (auto const &it : counts) {
    auto const segment =
        SegmentCrashes{it.first, it.second.Crashes, it.second.Prompts.size()};
    if (!most.empty() && segment.Crashes > most.front().Crashes)
      most.clear();
    if (most.empty() || segment.Crashes == most.front().Crashes)
      most.push_back(segment);
  }
  return most;
}

} // namespace dotterel::relay
