#include "LibRelay/SuspectQuarantine.h"

#include <algorithm>

namespace dotterel::relay {

namespace {

/// Evidence against a suspect.
constexpr auto MinimumCrashes = std::size_t{3};
/// One request does not show which of its segments crashed the servers.
constexpr auto MinimumRequests = std::size_t{2};
/// Evidence against one of several segments that were in progress during
/// equally many crashes. Usually only one of them is the cause, and further
/// crashes show which.
constexpr auto MinimumTiedCrashes = std::size_t{5};
constexpr auto QuarantineTime = Duration{1h};
/// Sound prompts are refused meanwhile, because their segments may be in all
/// prompts of an application. Without a trial that tells the segments apart,
/// the next crashes renew it.
constexpr auto AmbiguousSegmentTime = Duration{30s};
/// An observation is repeated in the reports for this long, because reports may
/// be lost.
constexpr auto ReportPeriod = Duration{1s};
/// Limits on the memory.
constexpr auto MaximumCleared = std::size_t{16384};
constexpr auto MaximumQuarantined = std::size_t{1024};
/// Limits on the size of one report.
constexpr auto MaximumInterruptedPerReport = std::size_t{10};
constexpr auto MaximumSuspectsPerReport = std::size_t{16};

} // namespace

auto SuspectQuarantine::recordOwnInterruption(InterruptedRequest Interrupted,
                                              Instant Now) -> void {
  removeHarmlessSegments(Interrupted, Now);
  PendingReports.push_back({Interrupted, Now});
  recordInterruption(std::move(Interrupted), Now);
}

auto SuspectQuarantine::recordInterruption(InterruptedRequest Interrupted,
                                           Instant Now) -> void {
  auto reportHarmless = [&](SuspectKey Key) {
    if (isHarmless(Key, Now))
      reportCleared(Key, Now);
  };
  auto const keys = Interrupted.Identity.keys();
  std::ranges::for_each(keys, reportHarmless);
  std::ranges::for_each(Interrupted.Segments, reportHarmless);
  removeHarmlessSegments(Interrupted, Now);
  Evidence.recordInterruption(std::move(Interrupted), Now);
  for (auto it : keys) {
    if (isHarmless(it, Now))
      Evidence.remove(it, ClearedAt.at(it));
  }
  HasNewEvidence = true;
}

auto SuspectQuarantine::recordCrash(ServerKey Server, Instant Now) -> void {
  Evidence.recordCrash(Server, Now);
  HasNewEvidence = true;
}

auto SuspectQuarantine::isHarmless(SuspectKey Key, Instant Now) const -> bool {
  auto it = ClearedAt.find(Key);
  return it != ClearedAt.end() && Now - it->second < ConfirmationTime;
}

auto SuspectQuarantine::isClearedSince(SuspectKey Key, Instant Since) const
    -> bool {
  auto it = ClearedAt.find(Key);
  return it != ClearedAt.end() && it->second >= Since;
}

auto SuspectQuarantine::removeHarmlessSegments(InterruptedRequest &Interrupted,
                                               Instant Now) const -> void {
  std::erase_if(Interrupted.Segments,
                [&](SuspectKey it) { return isHarmless(it, Now); });
}

auto SuspectQuarantine::reportCleared(SuspectKey Key, Instant Now) -> void {
  PendingCleared[Key].Until = Now + ReportPeriod;
}

auto SuspectQuarantine::forgetOldestCleared() -> void {
  auto const oldest = ClearedOrder.front();
  ClearedOrder.pop_front();
  auto it = ClearedAt.find(oldest.first);
  if (it != ClearedAt.end() && it->second <= oldest.second)
    ClearedAt.erase(it);
}

auto SuspectQuarantine::recordCleared(ClearedSuspect const &Cleared,
                                      Instant Now) -> bool {
  if (Cleared.Age >= ConfirmationTime)
    return false;
  auto const at = Now - Cleared.Age;
  auto &clearedAt = ClearedAt[Cleared.Key];
  if (clearedAt >= at)
    return false;
  clearedAt = at;
  ClearedOrder.emplace_back(Cleared.Key, at);
  if (ClearedOrder.size() > MaximumCleared)
    forgetOldestCleared();
  if (Evidence.contains(Cleared.Key)) {
    Evidence.remove(Cleared.Key, at);
    HasNewEvidence = true;
  }
  auto it = Quarantined.find(Cleared.Key);
  if (it == Quarantined.end() ||
      (!isSegment(it->second.Kind) && at < it->second.CrashAt))
    return false;
  Quarantined.erase(it);
  return true;
}

auto SuspectQuarantine::recordCompletion(std::span<SuspectKey const> Keys,
                                         Instant Now)
    -> std::vector<SuspectKey> {
  auto released = std::vector<SuspectKey>{};
  for (auto it : Keys) {
    if (Evidence.contains(it) || Quarantined.contains(it))
      reportCleared(it, Now);
    if (recordCleared({it, Duration{}}, Now))
      released.push_back(it);
  }
  return released;
}

auto SuspectQuarantine::quarantine(Suspect const &Target, Instant CrashAt,
                                   Instant Now) -> bool {
  if (isSegment(Target.Kind) ? isHarmless(Target.Key, Now)
                             : isClearedSince(Target.Key, CrashAt)) {
    reportCleared(Target.Key, Now);
    return false;
  }
  // All instances count from the crash, so none brings it back at a peer.
  auto const until = Target.Kind == SuspectKind::AmbiguousSegment
                         ? CrashAt + AmbiguousSegmentTime
                         : Now + QuarantineTime;
  if (until <= Now)
    return false;
  auto it = Quarantined.find(Target.Key);
  if (it == Quarantined.end()) {
    if (Quarantined.size() >= MaximumQuarantined)
      return false;
    Quarantined.emplace(Target.Key,
                        Entry{Target.Kind, CrashAt, until, Now + ReportPeriod});
    return true;
  }
  auto &entry = it->second;
  entry.CrashAt = std::max(entry.CrashAt, CrashAt);
  if (entry.Kind == SuspectKind::AmbiguousSegment)
    entry.Until = std::max(entry.Until, until);
  if (!isAmbiguous(entry.Kind) || isAmbiguous(Target.Kind))
    return false;
  entry.Kind = Target.Kind;
  entry.IsStored = false;
  entry.ReportUntil = Now + ReportPeriod;
  return true;
}

auto SuspectQuarantine::explain(SuspectKey Key) const
    -> std::optional<SuspectKind> {
  auto it = Quarantined.find(Key);
  if (it == Quarantined.end() || isAmbiguous(it->second.Kind))
    return std::nullopt;
  return it->second.Kind;
}

auto SuspectQuarantine::findRequests(Instant Known) const
    -> std::vector<SuspectCrashes> {
  auto requests =
      Evidence.requests(Known, [this](SuspectKey it) { return explain(it); });
  std::erase_if(requests, [this](SuspectCrashes const &it) {
    auto const isPopular = ClearedAt.contains(it.Suspect.Key);
    return explain(it.Suspect.Key).has_value() ||
           (isPopular ? it.Moments : it.Crashes) < MinimumCrashes;
  });
  for (auto &it : requests) {
    if (it.Moments < MinimumCrashes)
      it.Suspect.Kind = SuspectKind::AmbiguousRequest;
  }
  if (requests.size() < 2)
    return requests;
  // More crashes alone do not show it: another one may have been cleared of
  // some of them.
  Evidence.countAlone(requests, Known,
                      [this](SuspectKey it) { return explain(it); });
  std::ranges::sort(requests, std::greater{}, &SuspectCrashes::Alone);
  if (requests[0].Alone > requests[1].Alone)
    return {requests.front()};
  for (auto &it : requests)
    it.Suspect.Kind = SuspectKind::AmbiguousRequest;
  return requests;
}

auto SuspectQuarantine::findSegments(Instant Known) const
    -> std::vector<SuspectCrashes> {
  auto segments = Evidence.mostFrequentSegments(
      Known, [this](SuspectKey it) { return explain(it); });
  // A segment that lacks other requests may still be the cause instead of the
  // others, so it counts as one of several.
  auto const isTied = segments.size() > 1;
  std::erase_if(segments, [isTied](SuspectCrashes const &it) {
    auto const required = isTied ? MinimumTiedCrashes : MinimumCrashes;
    return it.Crashes < required || it.Requests < MinimumRequests;
  });
  for (auto &it : segments) {
    if (isTied || it.Moments < MinimumCrashes)
      it.Suspect.Kind = SuspectKind::AmbiguousSegment;
  }
  return segments;
}

auto SuspectQuarantine::clearOthers(Instant Now) -> std::vector<SuspectKey> {
  auto cleared = std::vector<SuspectKey>{};
  for (auto const &[key, entry] : Quarantined) {
    if (!isAmbiguous(entry.Kind))
      continue;
    auto const crashes = Evidence.crashesOf(
        {key, entry.Kind}, [this](SuspectKey it) { return explain(it); });
    if (crashes.Unexplained < crashes.Crashes &&
        crashes.Unexplained < MinimumCrashes)
      cleared.push_back(key);
  }
  for (auto it : cleared) {
    reportCleared(it, Now);
    (void)recordCleared({it, Duration{}}, Now);
  }
  return cleared;
}

auto SuspectQuarantine::evaluate(Duration PropagationTime, Instant Now)
    -> QuarantineChanges {
  auto changes = QuarantineChanges{};
  if (!HasNewEvidence)
    return changes;
  // A crash may be explained by a suspect that is in quarantine already, so all
  // repetitions of the peers' reports are awaited.
  auto const known =
      Now - (Quarantined.empty() ? PropagationTime
                                 : std::max(PropagationTime, ReportPeriod));
  HasNewEvidence = Evidence.hasCrashAfter(known);
  auto add = [&](std::vector<SuspectCrashes> const &Found) {
    auto isProgress = false;
    auto addOne = [&](SuspectCrashes const &it) {
      if (!quarantine(it.Suspect, it.LastAt, Now))
        return;
      changes.Added.push_back(it);
      isProgress = true;
    };
    for (auto it : Found) {
      addOne(it);
      // Only a trial shows whether the query or the prompt matters.
      it.Suspect = {it.GeneralKey, SuspectKind::AmbiguousRequest};
      if (it.GeneralKey != 0)
        addOne(it);
    }
    return isProgress;
  };
  for (auto isProgress = true; isProgress;) {
    auto const requests = findRequests(known);
    auto const segments = findSegments(known);
    // The most frequent suspect is the likely cause, or the most specific one
    // of equally frequent ones.
    auto isLessFrequent = [&](SuspectCrashes const &it) {
      return it.Crashes < segments.front().Crashes;
    };
    auto isSegment =
        !segments.empty() && std::ranges::all_of(requests, isLessFrequent);
    isProgress = add(isSegment ? segments : requests);
  }
  changes.Cleared = clearOthers(Now);
  return changes;
}

auto SuspectQuarantine::expire(Instant Now) -> std::vector<SuspectKey> {
  while (!ClearedOrder.empty() &&
         Now - ClearedOrder.front().second >= ConfirmationTime)
    forgetOldestCleared();
  Evidence.expire(QuarantineTime, Now);
  std::erase_if(PendingReports,
                [&](auto const &it) { return Now > it.At + ReportPeriod; });
  std::erase_if(PendingCleared,
                [&](auto const &it) { return Now > it.second.Until; });
  auto ended = std::vector<SuspectKey>{};
  for (auto const &it : Quarantined) {
    if (Now >= it.second.Until)
      ended.push_back(it.first);
  }
  for (auto it : ended)
    Quarantined.erase(it);
  return ended;
}

auto SuspectQuarantine::find(std::span<SuspectKey const> Keys) const
    -> std::optional<Suspect> {
  auto found = std::optional<Suspect>{};
  for (auto key : Keys) {
    auto it = Quarantined.find(key);
    if (it == Quarantined.end())
      continue;
    auto const suspect = Suspect{key, it->second.Kind};
    if (!isAmbiguous(suspect.Kind))
      return suspect;
    if (!found)
      found = suspect;
  }
  return found;
}

auto SuspectQuarantine::timeLeft(SuspectKey Key, Instant Now) const
    -> Duration {
  return std::max(Duration{}, Quarantined.at(Key).Until - Now);
}

auto SuspectQuarantine::isDistinctive(std::span<SuspectKey const> Keys) const
    -> bool {
  auto ambiguous = std::size_t{0};
  auto contained = std::size_t{0};
  for (auto const &[key, entry] : Quarantined) {
    if (entry.Kind != SuspectKind::AmbiguousSegment)
      continue;
    ++ambiguous;
    contained += std::ranges::find(Keys, key) == Keys.end() ? 0 : 1;
  }
  return contained < 2 || contained < ambiguous;
}

auto SuspectQuarantine::startTrial(SuspectKey Key) -> bool {
  auto it = Quarantined.find(Key);
  return it != Quarantined.end() && isAmbiguous(it->second.Kind) &&
         std::exchange(it->second.HasTrial, false);
}

auto SuspectQuarantine::withdrawTrial(SuspectKey Key) -> void {
  auto it = Quarantined.find(Key);
  if (it != Quarantined.end())
    it->second.HasTrial = true;
}

auto SuspectQuarantine::makeReport(bool IsFull, Instant Now)
    -> QuarantineReport {
  auto report = QuarantineReport{};
  for (auto &it : PendingReports)
    removeHarmlessSegments(it.Interrupted, Now);
  // In a burst of crashes there are more than fit into one report.
  std::ranges::stable_sort(PendingReports, {}, &PendingReport::Repetitions);
  auto const count =
      std::min(PendingReports.size(), MaximumInterruptedPerReport);
  for (auto &it : std::span(PendingReports).first(count)) {
    ++it.Repetitions;
    report.Interrupted.push_back(it.Interrupted);
    report.Interrupted.back().Age = Now - it.At;
  }
  auto cleared = std::vector<std::pair<SuspectKey, PendingClearance *>>{};
  for (auto &it : PendingCleared) {
    if (isHarmless(it.first, Now))
      cleared.emplace_back(it.first, &it.second);
  }
  std::ranges::stable_sort(
      cleared, {}, [](auto const &it) { return it.second->Repetitions; });
  if (cleared.size() > MaximumSuspectsPerReport)
    cleared.resize(MaximumSuspectsPerReport);
  for (auto &it : cleared) {
    ++it.second->Repetitions;
    report.Cleared.push_back({it.first, Now - ClearedAt.at(it.first)});
  }
  // New ones first: the peers do not know them yet.
  for (auto isNew : {true, false}) {
    for (auto const &it : Quarantined) {
      if ((isNew || IsFull) && isNew == (Now < it.second.ReportUntil) &&
          report.Quarantined.size() < MaximumSuspectsPerReport)
        report.Quarantined.push_back(
            {{it.first, it.second.Kind}, Now - it.second.CrashAt});
    }
  }
  return report;
}

auto SuspectQuarantine::takeUnstored() -> std::vector<Suspect> {
  auto unstored = std::vector<Suspect>{};
  for (auto &it : Quarantined) {
    if (!std::exchange(it.second.IsStored, true))
      unstored.push_back({it.first, it.second.Kind});
  }
  return unstored;
}

auto SuspectQuarantine::markStored(SuspectKey Key) -> void {
  auto it = Quarantined.find(Key);
  if (it != Quarantined.end())
    it->second.IsStored = true;
}

auto SuspectQuarantine::markAllUnstored() -> void {
  for (auto &it : Quarantined)
    it.second.IsStored = false;
}

auto SuspectQuarantine::segmentCount() const -> std::size_t {
  return static_cast<std::size_t>(std::ranges::count_if(
      Quarantined, [](auto const &it) { return isSegment(it.second.Kind); }));
}

} // namespace dotterel::relay
