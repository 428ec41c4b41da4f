#include "LibRelay/PromptQuarantine.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <set>

namespace dotterel::relay {

namespace {

/// Evidence that convicts a segment. One prompt is not enough: it says nothing
/// about which of its segments crashed the servers.
constexpr auto MinimumCrashes = std::size_t{3};
constexpr auto MinimumPrompts = std::size_t{2};
/// The same if several segments are common to equally many crashes. Usually
/// only one of them is to blame, and further crashes tell which.
constexpr auto MinimumTiedCrashes = std::size_t{5};
constexpr auto QuarantineTime = Duration{1h};
/// News is repeated in the reports for this long, because reports may be lost.
constexpr auto NewsTime = Duration{1s};
/// Limits on the memory.
constexpr auto MaximumCrashes = std::size_t{64};
constexpr auto MaximumSuspectsPerCrash = std::size_t{256};
constexpr auto MaximumCompletions = std::size_t{16384};
constexpr auto MaximumQuarantined = std::size_t{1024};
/// Limits on one report, so that its datagram is not fragmented.
constexpr auto MaximumSuspectsPerReport = std::size_t{20};
constexpr auto MaximumSegmentsPerReport = std::size_t{24};

auto combine(std::uint64_t Hash, std::uint64_t Seed) -> std::uint64_t {
  return hashText({reinterpret_cast<char const *>(&Hash), sizeof Hash}, Seed);
}

} // namespace

auto sharedSegments(Request const &Source) -> std::vector<SegmentKey> {
  auto const &segments = Source.PromptSegments;
  auto const model = hashText(Source.Model);
  auto keys = std::vector<SegmentKey>{};
  for (auto n = std::size_t{0}; n + 1 < segments.size(); ++n)
    keys.push_back(combine(segments[n].Hash, model));
  return keys;
}

auto makeSuspect(Request const &Source, ServerKey Server) -> CrashSuspect {
  auto prompt = hashText(Source.Model);
  for (auto const &it : Source.PromptSegments)
    prompt = combine(it.Hash, prompt);
  return {Server, prompt, sharedSegments(Source)};
}

auto PromptQuarantine::crashOf(ServerKey Server, Instant Now) -> Crash & {
  if (Crashes.size() >= MaximumCrashes && !Crashes.contains(Server)) {
    // Crashes without any prompt in progress are forgotten first.
    auto least = std::ranges::min_element(Crashes, {}, [](auto const &it) {
      return std::pair(!it.second.Suspects.empty(), it.second.LastAt);
    });
    Crashes.erase(least);
  }
  auto &crash = Crashes[Server];
  crash.LastAt = Now;
  return crash;
}

auto PromptQuarantine::recordOwnSuspect(CrashSuspect Suspect, Instant Now)
    -> void {
  std::erase_if(Suspect.Segments,
                [&](SegmentKey it) { return isAcquitted(it, Now); });
  if (Suspect.Segments.empty())
    return;
  OwnSuspects.push_back({Suspect, Now + NewsTime});
  recordSuspect(std::move(Suspect), Now);
}

auto PromptQuarantine::recordSuspect(CrashSuspect Suspect, Instant Now)
    -> void {
  std::erase_if(Suspect.Segments, [&](SegmentKey it) {
    if (!isAcquitted(it, Now))
      return false;
    reportCompletion(it, Now);
    return true;
  });
  if (Suspect.Segments.empty())
    return;
  auto &crash = crashOf(Suspect.Server, Now);
  auto isKnown = std::ranges::any_of(crash.Suspects, [&](auto const &it) {
    return it.Prompt == Suspect.Prompt;
  });
  // A connection that breaks long after the server crashed has another cause.
  auto isLate =
      crash.ConfirmedAt && Now - *crash.ConfirmedAt > ConfirmationTime;
  if (isKnown || isLate || crash.Suspects.size() >= MaximumSuspectsPerCrash)
    return;
  crash.Suspects.push_back({Suspect.Prompt, std::move(Suspect.Segments), Now});
  HasNewEvidence = true;
}

auto PromptQuarantine::recordCrash(ServerKey Server, Instant Now) -> void {
  auto &crash = crashOf(Server, Now);
  if (crash.ConfirmedAt)
    return;
  crash.ConfirmedAt = Now;
  std::erase_if(crash.Suspects,
                [&](auto const &it) { return Now - it.At > ConfirmationTime; });
  HasNewEvidence = true;
}

auto PromptQuarantine::isSuspected(SegmentKey Segment) const -> bool {
  return std::ranges::any_of(Crashes, [&](auto const &it) {
    return std::ranges::any_of(it.second.Suspects, [&](auto const &Target) {
      return std::ranges::find(Target.Segments, Segment) !=
             Target.Segments.end();
    });
  });
}

auto PromptQuarantine::isAcquitted(SegmentKey Segment, Instant Now) const
    -> bool {
  auto it = CompletedAt.find(Segment);
  return it != CompletedAt.end() && Now - it->second < ConfirmationTime;
}

auto PromptQuarantine::reportCompletion(SegmentKey Segment, Instant Now)
    -> void {
  ReportedCompletions[Segment] = Now + NewsTime;
}

auto PromptQuarantine::forgetOldestCompletion() -> void {
  auto const oldest = Completions.front();
  Completions.pop_front();
  auto it = CompletedAt.find(oldest.first);
  if (it != CompletedAt.end() && it->second <= oldest.second)
    CompletedAt.erase(it);
}

auto PromptQuarantine::acquit(CompletedSegment const &Completed, Instant Now)
    -> bool {
  auto const at = Now - Completed.Age;
  auto &completedAt = CompletedAt[Completed.Segment];
  if (Completed.Age >= ConfirmationTime || completedAt >= at)
    return false;
  completedAt = at;
  Completions.emplace_back(Completed.Segment, at);
  if (Completions.size() > MaximumCompletions)
    forgetOldestCompletion();
  for (auto &crash : Crashes) {
    for (auto &suspect : crash.second.Suspects)
      std::erase(suspect.Segments, Completed.Segment);
  }
  return Quarantined.erase(Completed.Segment) > 0;
}

auto PromptQuarantine::recordCompletion(std::span<SegmentKey const> Segments,
                                        Instant Now)
    -> std::vector<SegmentKey> {
  auto released = std::vector<SegmentKey>{};
  for (auto it : Segments) {
    if (isSuspected(it) || Quarantined.contains(it))
      reportCompletion(it, Now);
    if (acquit({it, Duration{}}, Now))
      released.push_back(it);
  }
  return released;
}

auto PromptQuarantine::quarantine(SegmentKey Segment, Instant Now) -> bool {
  if (isAcquitted(Segment, Now)) {
    reportCompletion(Segment, Now);
    return false;
  }
  if (Quarantined.size() >= MaximumQuarantined)
    return false;
  return Quarantined
      .try_emplace(Segment, Entry{Now + QuarantineTime, Now + NewsTime, false})
      .second;
}

auto PromptQuarantine::isEvidence(Crash const &Target, Instant Known) const
    -> bool {
  return Target.ConfirmedAt && *Target.ConfirmedAt <= Known &&
         std::ranges::none_of(Target.Suspects, [this](auto const &it) {
           return findQuarantined(it.Segments).has_value();
         });
}

auto PromptQuarantine::strongestEvidence(Instant Known) const
    -> std::vector<QuarantineVerdict> {
  struct Evidence {
    std::size_t Crashes = 0;
    std::set<std::uint64_t> Prompts;
  };
  auto evidence = std::map<SegmentKey, Evidence>{};
  for (auto const &crash : Crashes) {
    if (!isEvidence(crash.second, Known))
      continue;
    auto inProgress = std::set<SegmentKey>{};
    for (auto const &suspect : crash.second.Suspects) {
      for (auto segment : suspect.Segments) {
        inProgress.insert(segment);
        evidence[segment].Prompts.insert(suspect.Prompt);
      }
    }
    for (auto segment : inProgress)
      ++evidence[segment].Crashes;
  }
  auto strongest = std::vector<QuarantineVerdict>{};
  for (auto const &it : evidence) {
    auto const verdict = QuarantineVerdict{it.first, it.second.Crashes,
                                           it.second.Prompts.size()};
    if (!strongest.empty() && verdict.Crashes > strongest.front().Crashes)
      strongest.clear();
    if (strongest.empty() || verdict.Crashes == strongest.front().Crashes)
      strongest.push_back(verdict);
  }
  // A segment that is not convicted for want of other prompts still casts doubt
  // on the others.
  auto const required =
      strongest.size() > 1 ? MinimumTiedCrashes : MinimumCrashes;
  std::erase_if(strongest, [&](QuarantineVerdict const &it) {
    return it.Crashes < required || it.Prompts < MinimumPrompts;
  });
  return strongest;
}

auto PromptQuarantine::evaluate(Duration SettleTime, Instant Now)
    -> std::vector<QuarantineVerdict> {
  auto verdicts = std::vector<QuarantineVerdict>{};
  if (!HasNewEvidence)
    return verdicts;
  // Crashes may be explained by a segment that is in quarantine already, so the
  // peers' news of them has to be complete.
  auto const known =
      Now - (Quarantined.empty() ? SettleTime : std::max(SettleTime, NewsTime));
  HasNewEvidence = std::ranges::any_of(Crashes, [&](auto const &it) {
    return it.second.ConfirmedAt && *it.second.ConfirmedAt > known;
  });
  for (auto isProgress = true; isProgress;) {
    isProgress = false;
    for (auto const &it : strongestEvidence(known)) {
      if (!quarantine(it.Segment, Now))
        continue;
      verdicts.push_back(it);
      isProgress = true;
    }
  }
  return verdicts;
}

auto PromptQuarantine::expire(Instant Now) -> std::vector<SegmentKey> {
  while (!Completions.empty() &&
         Now - Completions.front().second >= ConfirmationTime)
    forgetOldestCompletion();
  std::erase_if(Crashes, [&](auto const &it) {
    auto lifetime = it.second.ConfirmedAt ? QuarantineTime : ConfirmationTime;
    return Now - it.second.LastAt > lifetime;
  });
  std::erase_if(OwnSuspects,
                [&](auto const &it) { return Now > it.ReportUntil; });
  std::erase_if(ReportedCompletions,
                [&](auto const &it) { return Now > it.second; });
  auto ended = std::vector<SegmentKey>{};
  for (auto const &it : Quarantined) {
    if (Now >= it.second.Until)
      ended.push_back(it.first);
  }
  for (auto it : ended)
    Quarantined.erase(it);
  return ended;
}

auto PromptQuarantine::findQuarantined(
    std::span<SegmentKey const> Segments) const -> std::optional<SegmentKey> {
  for (auto it : Segments) {
    if (Quarantined.contains(it))
      return it;
  }
  return std::nullopt;
}

auto PromptQuarantine::timeLeft(SegmentKey Segment, Instant Now) const
    -> Duration {
  return std::max(Duration{}, Quarantined.at(Segment).Until - Now);
}

auto PromptQuarantine::news(bool IsFull, Instant Now) -> QuarantineNews {
  auto news = QuarantineNews{};
  for (auto &it : OwnSuspects)
    std::erase_if(it.Content.Segments, [&](SegmentKey Segment) {
      return isAcquitted(Segment, Now);
    });
  std::erase_if(OwnSuspects,
                [](auto const &it) { return it.Content.Segments.empty(); });
  // In a burst of crashes there are more than fit into one report.
  std::ranges::stable_sort(OwnSuspects, {}, &OwnSuspect::Reports);
  auto const count = std::min(OwnSuspects.size(), MaximumSuspectsPerReport);
  for (auto &it : std::span(OwnSuspects).first(count)) {
    ++it.Reports;
    news.Suspects.push_back(it.Content);
  }
  for (auto const &it : ReportedCompletions) {
    if (isAcquitted(it.first, Now) &&
        news.Completed.size() < MaximumSegmentsPerReport)
      news.Completed.push_back({it.first, Now - CompletedAt.at(it.first)});
  }
  for (auto const &it : Quarantined) {
    if ((IsFull || Now < it.second.ReportUntil) &&
        news.Quarantined.size() < MaximumSegmentsPerReport)
      news.Quarantined.push_back(it.first);
  }
  return news;
}

auto PromptQuarantine::takeUnstored() -> std::vector<SegmentKey> {
  auto unstored = std::vector<SegmentKey>{};
  for (auto &it : Quarantined) {
    if (!std::exchange(it.second.IsStored, true))
      unstored.push_back(it.first);
  }
  return unstored;
}

auto PromptQuarantine::markStored(SegmentKey Segment) -> void {
  auto it = Quarantined.find(Segment);
  if (it != Quarantined.end())
    it->second.IsStored = true;
}

auto PromptQuarantine::markAllUnstored() -> void {
  for (auto &it : Quarantined)
    it.second.IsStored = false;
}

} // namespace dotterel::relay
