#include "LibRelay/SuspectQuarantine.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Evidence for a segment. One prompt is not enough: it does not show which of
/// its segments crashed the servers.
constexpr auto MinimumCrashes = std::size_t{3};
constexpr auto MinimumPrompts = std::size_t{2};
/// The same if several segments were in progress during equally many crashes.
/// Usually only one of them is the cause, and further crashes show which.
constexpr auto MinimumTiedCrashes = std::size_t{5};
constexpr auto QuarantineTime = Duration{1h};
/// An observation is repeated in the reports for this long, because reports may
/// be lost.
constexpr auto ReportPeriod = Duration{1s};
/// Limits on the memory.
constexpr auto MaximumCompletions = std::size_t{16384};
constexpr auto MaximumQuarantined = std::size_t{1024};
/// Limits on the size of one report.
constexpr auto MaximumPromptsPerReport = std::size_t{20};
constexpr auto MaximumSegmentsPerReport = std::size_t{24};

} // namespace

auto SuspectQuarantine::recordOwnInterruption(InterruptedRequest Interrupted,
                                              Instant Now) -> void {
  removeHarmless(Interrupted, Now);
  if (Interrupted.Segments.empty())
    return;
  PendingReports.push_back({Interrupted, Now + ReportPeriod});
  recordInterruption(std::move(Interrupted), Now);
}

auto SuspectQuarantine::recordInterruption(InterruptedRequest Interrupted,
                                           Instant Now) -> void {
  for (auto it : Interrupted.Segments) {
    if (isHarmless(it, Now))
      reportCompletion(it, Now);
  }
  removeHarmless(Interrupted, Now);
  if (Interrupted.Segments.empty())
    return;
  Evidence.recordInterruption(std::move(Interrupted), Now);
  HasNewEvidence = true;
}

auto SuspectQuarantine::recordCrash(ServerKey Server, Instant Now) -> void {
  Evidence.recordCrash(Server, Now);
  HasNewEvidence = true;
}

auto SuspectQuarantine::isHarmless(SuspectKey Segment, Instant Now) const
    -> bool {
  auto it = CompletedAt.find(Segment);
  return it != CompletedAt.end() && Now - it->second < ConfirmationTime;
}

auto SuspectQuarantine::removeHarmless(InterruptedRequest &Interrupted,
                                       Instant Now) const -> void {
  std::erase_if(Interrupted.Segments,
                [&](SuspectKey it) { return isHarmless(it, Now); });
}

auto SuspectQuarantine::reportCompletion(SuspectKey Segment, Instant Now)
    -> void {
  PendingCompletions[Segment] = Now + ReportPeriod;
}

auto SuspectQuarantine::forgetOldestCompletion() -> void {
  auto const oldest = Completions.front();
  Completions.pop_front();
  auto it = CompletedAt.find(oldest.first);
  if (it != CompletedAt.end() && it->second <= oldest.second)
    CompletedAt.erase(it);
}

auto SuspectQuarantine::recordCompletedSegment(
    CompletedSegment const &Completed, Instant Now) -> bool {
  if (Completed.Age >= ConfirmationTime)
    return false;
  auto const at = Now - Completed.Age;
  auto &completedAt = CompletedAt[Completed.Segment];
  if (completedAt >= at)
    return false;
  completedAt = at;
  Completions.emplace_back(Completed.Segment, at);
  if (Completions.size() > MaximumCompletions)
    forgetOldestCompletion();
  Evidence.removeSegment(Completed.Segment);
  return Quarantined.erase(Completed.Segment) > 0;
}

auto SuspectQuarantine::recordCompletion(std::span<SuspectKey const> Segments,
                                         Instant Now)
    -> std::vector<SuspectKey> {
  auto released = std::vector<SuspectKey>{};
  for (auto it : Segments) {
    if (Evidence.contains(it) || Quarantined.contains(it))
      reportCompletion(it, Now);
    if (recordCompletedSegment({it, Duration{}}, Now))
      released.push_back(it);
  }
  return released;
}

auto SuspectQuarantine::quarantine(SuspectKey Segment, Instant Now) -> bool {
  if (isHarmless(Segment, Now)) {
    reportCompletion(Segment, Now);
    return false;
  }
  if (Quarantined.size() >= MaximumQuarantined)
    return false;
  return Quarantined
      .try_emplace(Segment,
                   Entry{Now + QuarantineTime, Now + ReportPeriod, false})
      .second;
}

auto SuspectQuarantine::findCauses(Instant Known) const
    -> std::vector<SegmentCrashes> {
  auto segments = Evidence.mostFrequent(
      Known, [this](SuspectKey it) { return Quarantined.contains(it); });
  // A segment that lacks other prompts may still be the cause instead of the
  // others, so it counts as one of several.
  auto const required =
      segments.size() > 1 ? MinimumTiedCrashes : MinimumCrashes;
  std::erase_if(segments, [&](SegmentCrashes const &it) {
    return it.Crashes < required || it.Prompts < MinimumPrompts;
  });
  return segments;
}

auto SuspectQuarantine::evaluate(Duration PropagationTime, Instant Now)
    -> std::vector<SegmentCrashes> {
  auto added = std::vector<SegmentCrashes>{};
  if (!HasNewEvidence)
    return added;
  // A crash may be explained by a segment that is in quarantine already, so all
  // repetitions of the peers' reports are awaited.
  auto const known =
      Now - (Quarantined.empty() ? PropagationTime
                                 : std::max(PropagationTime, ReportPeriod));
  HasNewEvidence = Evidence.hasCrashAfter(known);
  for (auto isProgress = true; isProgress;) {
    isProgress = false;
    for (auto const &it : findCauses(known)) {
      if (!quarantine(it.Segment, Now))
        continue;
      added.push_back(it);
      isProgress = true;
    }
  }
  return added;
}

auto SuspectQuarantine::expire(Instant Now) -> std::vector<SuspectKey> {
  while (!Completions.empty() &&
         Now - Completions.front().second >= ConfirmationTime)
    forgetOldestCompletion();
  Evidence.expire(QuarantineTime, Now);
  std::erase_if(PendingReports, [&](auto const &it) { return Now > it.Until; });
  std::erase_if(PendingCompletions,
                [&](auto const &it) { return Now > it.second; });
  auto ended = std::vector<SuspectKey>{};
  for (auto const &it : Quarantined) {
    if (Now >= it.second.Until)
      ended.push_back(it.first);
  }
  for (auto it : ended)
    Quarantined.erase(it);
  return ended;
}

auto SuspectQuarantine::findQuarantined(
    std::span<SuspectKey const> Segments) const -> std::optional<SuspectKey> {
  for (auto it : Segments) {
    if (Quarantined.contains(it))
      return it;
  }
  return std::nullopt;
}

auto SuspectQuarantine::timeLeft(SuspectKey Segment, Instant Now) const
    -> Duration {
  return std::max(Duration{}, Quarantined.at(Segment).Until - Now);
}

auto SuspectQuarantine::makeReport(bool IsFull, Instant Now)
    -> QuarantineReport {
  auto report = QuarantineReport{};
  for (auto &it : PendingReports)
    removeHarmless(it.Interrupted, Now);
  std::erase_if(PendingReports,
                [](auto const &it) { return it.Interrupted.Segments.empty(); });
  // In a burst of crashes there are more than fit into one report.
  std::ranges::stable_sort(PendingReports, {}, &PendingReport::Repetitions);
  auto const count = std::min(PendingReports.size(), MaximumPromptsPerReport);
  for (auto &it : std::span(PendingReports).first(count)) {
    ++it.Repetitions;
    report.Interrupted.push_back(it.Interrupted);
  }
  for (auto const &it : PendingCompletions) {
    if (isHarmless(it.first, Now) &&
        report.Completed.size() < MaximumSegmentsPerReport)
      report.Completed.push_back({it.first, Now - CompletedAt.at(it.first)});
  }
  for (auto const &it : Quarantined) {
    if ((IsFull || Now < it.second.ReportUntil) &&
        report.Quarantined.size() < MaximumSegmentsPerReport)
      report.Quarantined.push_back(it.first);
  }
  return report;
}

auto SuspectQuarantine::takeUnstored() -> std::vector<SuspectKey> {
  auto unstored = std::vector<SuspectKey>{};
  for (auto &it : Quarantined) {
    if (!std::exchange(it.second.IsStored, true))
      unstored.push_back(it.first);
  }
  return unstored;
}

auto SuspectQuarantine::markStored(SuspectKey Segment) -> void {
  auto it = Quarantined.find(Segment);
  if (it != Quarantined.end())
    it->second.IsStored = true;
}

auto SuspectQuarantine::markAllUnstored() -> void {
  for (auto &it : Quarantined)
    it.second.IsStored = false;
}

} // namespace dotterel::relay
