// Segments of prompts in quarantine, and reports about them.
#include "LibRelay/Peers.h"
#include "LibRelay/SuspectEvidence.h"

#include <set>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

Test(SuspectQuarantine, SegmentCommonToAllCrashesIsQuarantined) {
  auto evidence = Evidence();
  evidence.crash(1, 11, {Application, Subject, Crashing});
  evidence.crash(2, 12, {Application, Crashing});
  cr_assert(evidence.added().empty());
  evidence.complete({Application});
  evidence.crash(3, 13, {Crashing, 9});
  cr_assert(evidence.added() == only(Crashing));
  cr_assert(evidence.Quarantine.find(only(Crashing)).has_value());
  cr_assert_not(evidence.Quarantine.find(only(Subject)).has_value());
}

// The same prompt, sent again, does not show which of its segments is the
// cause.
Test(SuspectQuarantine, RepeatsOfOnePromptAreNotEnough) {
  auto evidence = Evidence();
  for (auto server = ServerKey{1}; server <= 4; ++server)
    evidence.crash(server, 11, {Subject, Crashing});
  cr_assert(evidence.added().empty());
  evidence.crash(5, 12, {Crashing, 9});
  // The repeated request is in quarantine, so all reports are awaited.
  evidence.Now += 1s;
  cr_assert(evidence.added() == only(Crashing));
}

Test(SuspectQuarantine, BrokenConnectionIsNoCrash) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 9; ++n)
    evidence.interrupt(n, n, {Crashing});
  cr_assert(evidence.added().empty());
}

Test(SuspectQuarantine, ConnectionThatBrokeLongBeforeTheCrashDoesNotCount) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 3; ++n)
    evidence.interrupt(n, n, {Crashing});
  evidence.Now += 6s;
  for (auto n = 1U; n <= 3; ++n)
    evidence.Quarantine.recordCrash(n, evidence.Now);
  cr_assert(evidence.added().empty());
}

// Load: a failure domain loses power, with many prompts of the same application
// in progress.
Test(SuspectQuarantine, SegmentCompletedShortlyBeforeIsNotQuarantined) {
  auto evidence = Evidence();
  evidence.complete({Application});
  evidence.Now += 1s;
  for (auto n = 1U; n <= 6; ++n)
    evidence.crash(n, n, {Application, 100 + n});
  cr_assert(evidence.added().empty());
}

Test(SuspectQuarantine, ExplainedCrashCountsAgainstNoOtherSegment) {
  auto evidence = Evidence();
  evidence.crash(1, 11, {Crashing});
  evidence.crash(2, 12, {Crashing});
  evidence.crash(3, 13, {Crashing});
  cr_assert(evidence.added() == only(Crashing));
  // The other prompts that were in progress are reported late.
  for (auto n = 1U; n <= 3; ++n)
    evidence.interrupt(n, 20 + n, {Subject});
  evidence.Now += 2s;
  cr_assert(evidence.added().empty());
}

// Regression test: the reports of the crashing prompts were delayed, so the
// crashes seemed to have another cause.
Test(SuspectQuarantine, SecondSegmentWaitsForAllReports) {
  auto evidence = Evidence();
  cr_assert(evidence.Quarantine.quarantine(segment(Crashing), evidence.Now,
                                           evidence.Now));
  for (auto n = 1U; n <= 3; ++n)
    evidence.crash(n, n, {Subject});
  cr_assert(evidence.added().empty());
  evidence.Now += 1s;
  cr_assert(evidence.added() == only(Subject));
}

Test(SuspectQuarantine, CompletedPromptReleasesItsSegments) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 3; ++n)
    evidence.crash(n, n, {Subject});
  cr_assert(evidence.added() == only(Subject));
  cr_assert(evidence.complete({Subject}) == only(Subject));
  cr_assert_eq(evidence.Quarantine.segmentCount(), 0);
  // A peer that has not heard of it does not bring it back, but is told.
  cr_assert_not(evidence.Quarantine.quarantine(segment(Subject), evidence.Now,
                                               evidence.Now));
  auto report = evidence.Quarantine.makeReport(false, evidence.Now);
  cr_assert_eq(report.Cleared.size(), 1);
  cr_assert_eq(report.Cleared[0].Key, Subject);
}

// Otherwise instances would renew each other's knowledge of a segment that has
// begun to crash servers.
Test(SuspectQuarantine, ReportedCompletionKeepsItsAge) {
  auto evidence = Evidence();
  evidence.complete({Subject});
  evidence.Now += 3s;
  evidence.Quarantine.recordInterruption({1, identityOf(11), {Subject}, {}},
                                         evidence.Now);
  auto report = evidence.Quarantine.makeReport(false, evidence.Now);
  cr_assert(report.Cleared.at(0).Age == 3s);
  auto peer = SuspectQuarantine(5s);
  (void)peer.recordCleared(report.Cleared[0], evidence.Now);
  cr_assert_not(peer.quarantine(segment(Subject), evidence.Now, evidence.Now));
  cr_assert(
      peer.quarantine(segment(Subject), evidence.Now + 2s, evidence.Now + 2s));
}

Test(SuspectQuarantine, EndsAfterAnHour) {
  auto evidence = Evidence();
  cr_assert(evidence.Quarantine.quarantine(segment(Crashing), evidence.Now,
                                           evidence.Now));
  cr_assert(evidence.Quarantine.timeLeft(Crashing, evidence.Now) == 1h);
  cr_assert(evidence.Quarantine.expire(evidence.Now + 59min).empty());
  cr_assert(evidence.Quarantine.expire(evidence.Now + 1h) == only(Crashing));
  cr_assert_eq(evidence.Quarantine.segmentCount(), 0);
}

Test(SuspectQuarantine, IsWrittenToTheStoreOnceInEachEra) {
  auto evidence = Evidence();
  (void)evidence.Quarantine.quarantine(segment(Crashing), evidence.Now,
                                       evidence.Now);
  (void)evidence.Quarantine.quarantine(segment(Subject), evidence.Now,
                                       evidence.Now);
  evidence.Quarantine.markStored(Subject);
  cr_assert(evidence.Quarantine.takeUnstored() ==
            std::vector{segment(Crashing)});
  cr_assert(evidence.Quarantine.takeUnstored().empty());
  evidence.Quarantine.markAllUnstored();
  cr_assert_eq(evidence.Quarantine.takeUnstored().size(), 2);
}

// Load: crashes, completions and quarantines by the hundred within a second.
Test(SuspectQuarantine, ReportFitsIntoOneDatagram) {
  constexpr auto UnfragmentedBytes = std::size_t{1472};
  constexpr auto Count = SuspectKey{500};
  constexpr auto LargeHash = SuspectKey{1} << 63U;
  auto evidence = Evidence();
  for (auto n = SuspectKey{0}; n < Count; ++n) {
    auto const first = LargeHash + 10 * n;
    evidence.interrupt(static_cast<ServerKey>(~n), first,
                       {first + 1, first + 2, first + 3});
    evidence.interrupt(static_cast<ServerKey>(~n), first + 4, {first + 5});
    evidence.complete({first + 5});
    cr_assert(evidence.Quarantine.quarantine(segment(first + 6), evidence.Now,
                                             evidence.Now));
  }
  cr_assert(evidence.added().empty());
  auto report = PeerReport{};
  report.Quarantine = evidence.Quarantine.makeReport(true, evidence.Now);
  cr_assert_gt(report.Quarantine.Interrupted.size(), 0);
  cr_assert_gt(report.Quarantine.Cleared.size(), 0);
  cr_assert_gt(report.Quarantine.Quarantined.size(), 0);
  auto bytes = encodePeerReport(report).size();
  cr_assert_leq(bytes, UnfragmentedBytes, "%zu bytes", bytes);
}

// Regression test: an instance had seen only its own prompts of a crash, and
// the peers' reports of the crashing one were late.
Test(SuspectQuarantine, CrashCountsOnceThePeersReportsHaveArrived) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 3; ++n)
    evidence.interrupt(n, 10 + n, {Subject});
  for (auto n = 1U; n <= 3; ++n)
    evidence.Quarantine.recordCrash(n, evidence.Now);
  cr_assert(evidence.added().empty());
  for (auto n = 1U; n <= 3; ++n)
    evidence.interrupt(n, 20 + n, {Crashing});
  evidence.crash(4, 24, {Crashing});
  evidence.Now += PropagationTime;
  cr_assert(evidence.added() == only(Crashing));
}

// Regression test: a sound segment was in more of the prompts at three crashes
// than the crashing one.
Test(SuspectQuarantine, NumberOfPromptsDoesNotDecideBetweenSegments) {
  auto evidence = Evidence();
  evidence.crash(1, 11, {Subject, Crashing});
  evidence.crash(2, 12, {Subject, Crashing});
  evidence.interrupt(3, 12, {Crashing});
  evidence.crash(3, 13, {Subject});
  cr_assert(evidence.added().empty());
  evidence.crash(4, 14, {Crashing});
  cr_assert(evidence.added() == only(Crashing));
}

// Regression test: a caller repeated the crashing prompt, so one prompt was in
// progress at all crashes, and several sound ones with the same subject.
Test(SuspectQuarantine, SegmentOfOnePromptCountsAsPossibleCause) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 3; ++n) {
    evidence.interrupt(n, 20 + n, {Subject});
    evidence.crash(n, 11, {Subject, Crashing});
  }
  cr_assert(evidence.added().empty());
  evidence.crash(4, 12, {Crashing});
  // The repeated request is in quarantine, so all reports are awaited.
  evidence.Now += 1s;
  cr_assert(evidence.added() == only(Crashing));
}

Test(SuspectQuarantine, EquallyFrequentSegmentsNeedMoreEvidence) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 4; ++n)
    evidence.crash(n, n, {Subject, Crashing});
  cr_assert(evidence.added().empty());
  evidence.crash(5, 5, {Subject, Crashing});
  cr_assert_eq(evidence.added().size(), 2);
}

// Regression test: when more servers were lost at the same moment than are
// remembered, the newest record was erased while it was in use.
Test(SuspectQuarantine, ManyCrashesAtOnceKeepTheNewestEvidence) {
  constexpr auto FirstOther = 1000U;
  constexpr auto Others = 200U;
  auto evidence = Evidence();
  for (auto n = FirstOther; n < FirstOther + Others; ++n)
    evidence.Quarantine.recordCrash(n, evidence.Now);
  for (auto n = 1U; n <= 3; ++n) {
    evidence.interrupt(n, n, {Crashing});
    evidence.Quarantine.recordCrash(n, evidence.Now);
  }
  evidence.Now += PropagationTime;
  cr_assert(evidence.added() == only(Crashing));
}

} // namespace dotterel::relay::test
