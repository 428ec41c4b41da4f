// Requests in quarantine: causes, ambiguous ones and their trials.
#include "LibRelay/SuspectEvidence.h"

#include <set>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

// Regression test: requests without a prompt were never quarantined.
Test(SuspectQuarantine, RequestInProgressAtThreeCrashesIsQuarantined) {
  auto evidence = Evidence();
  evidence.crash(1, 11, {});
  evidence.crash(2, 11, {});
  evidence.Now += PropagationTime;
  cr_assert(evidence.addedRequests().empty());
  evidence.interrupt(3, 12, {});
  evidence.crash(3, 11, {});
  evidence.Now += PropagationTime;
  cr_assert(evidence.addedRequests() == causeAndVariants(identityOf(11)));
}

// Regression test: one request that came again was taken for its segment, which
// sound requests in progress beside it shared.
Test(SuspectQuarantine, RequestGoesBeforeItsSegments) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 6; ++n) {
    evidence.interrupt(n, 20 + n, {Application});
    evidence.crash(n, 11, {Application, Subject});
    evidence.Now += 1s;
    cr_assert(evidence.added().empty());
  }
  cr_assert_eq(evidence.Quarantine.requestCount(), 2);
  cr_assert_eq(evidence.Quarantine.segmentCount(), 0);
}

Test(SuspectQuarantine, CallersOfOneContentAreToldApart) {
  auto other = identityOf(11);
  other.Caller += 100;
  other.Exact += 100;
  other.CallerPath += 100;
  auto evidence = Evidence();
  for (auto n = 1U; n <= 3; ++n)
    evidence.crash(n, 11, {});
  auto const keys = other.keys();
  cr_assert(evidence.complete({keys.begin(), keys.end()}).empty());
  evidence.Now += PropagationTime;
  cr_assert(evidence.addedRequests() == causeAndVariants(identityOf(11)));
  cr_assert_not(evidence.Quarantine.find(keys).has_value());
}

// Regression test: a request came with another query each time.
Test(SuspectQuarantine, PathIsQuarantinedIfQueriesDiffer) {
  auto evidence = Evidence();
  for (auto n = SuspectKey{1}; n <= 3; ++n)
    evidence.crash(n, withQuery(identityOf(11), n));
  evidence.Now += PropagationTime;
  cr_assert(evidence.addedRequests() ==
            std::vector{request(identityOf(11).CallerPath)});
}

// Regression test: the request was recognised with its query only, so each
// other query needed three crashes again.
Test(SuspectQuarantine, TrialThatCrashesShowsThatTheQueryDoesNotMatter) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 3; ++n)
    evidence.crash(n, identityOf(11));
  evidence.Now += PropagationTime;
  cr_assert(evidence.addedRequests() == causeAndVariants(identityOf(11)));
  auto const variant = withQuery(identityOf(11), 1);
  auto const general = identityOf(11).CallerPath;
  cr_assert(evidence.Quarantine.find(variant.keys()) == ambiguous(general));
  cr_assert(evidence.Quarantine.startTrial(general));
  evidence.crash(4, variant);
  evidence.Now += 1s;
  cr_assert(evidence.addedRequests() == std::vector{request(general)});
  auto const another = withQuery(identityOf(11), 2);
  cr_assert(evidence.Quarantine.find(another.keys()) == request(general));
}

Test(SuspectQuarantine, CompletedTrialShowsThatTheQueryMatters) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 3; ++n)
    evidence.crash(n, identityOf(11));
  evidence.Now += PropagationTime;
  cr_assert(evidence.addedRequests() == causeAndVariants(identityOf(11)));
  auto const keys = withQuery(identityOf(11), 1).keys();
  cr_assert(evidence.complete({keys.begin(), keys.end()}) ==
            only(identityOf(11).CallerPath));
  evidence.Now += 1s;
  cr_assert(evidence.addedRequests().empty());
  cr_assert_not(evidence.Quarantine.find(keys).has_value());
  cr_assert(evidence.Quarantine.find(identityOf(11).keys()) ==
            request(identityOf(11).Exact));
}

// A cause is refused without a trial under each of its keys.
Test(SuspectQuarantine, CauseGoesBeforeAmbiguousRequests) {
  auto evidence = Evidence();
  auto const identity = identityOf(11);
  auto const now = evidence.Now;
  cr_assert(
      evidence.Quarantine.quarantine(ambiguous(identity.Exact), now, now));
  cr_assert(
      evidence.Quarantine.quarantine(request(identity.CallerPath), now, now));
  cr_assert(evidence.Quarantine.find(identity.keys()) ==
            request(identity.CallerPath));
}

// The caller's address differs each time.
Test(SuspectQuarantine, ContentIsQuarantinedIfCallersDiffer) {
  auto evidence = Evidence();
  for (auto n = SuspectKey{1}; n <= 3; ++n) {
    auto identity = identityOf(11);
    identity.Caller += 100 * n;
    identity.Exact += 100 * n;
    identity.Fields += 100 * n;
    identity.CallerPath += 100 * n;
    evidence.Quarantine.recordOwnInterruption(
        {static_cast<ServerKey>(n), identity, {}, {}}, evidence.Now);
    evidence.Quarantine.recordCrash(static_cast<ServerKey>(n), evidence.Now);
    evidence.Now += 100ms;
  }
  evidence.Now += PropagationTime;
  auto const expected = std::vector{request(identityOf(11).Content),
                                    ambiguous(identityOf(11).Path)};
  cr_assert(evidence.addedRequests() == expected);
}

Test(SuspectQuarantine, RequestsInProgressAtTheSameCrashesAreAmbiguous) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 3; ++n) {
    evidence.interrupt(n, 12, {});
    evidence.crash(n, 11, {});
  }
  evidence.Now += PropagationTime;
  cr_assert_eq(evidence.addedRequests().size(), 4);
  auto const cause = identityOf(11).Exact;
  auto const other = identityOf(12).Exact;
  // Regression test: they were cleared when further evidence arrived.
  evidence.interrupt(9, 19, {});
  cr_assert(evidence.Quarantine.evaluate(PropagationTime, evidence.Now)
                .Cleared.empty());
  for (auto it : {cause, other}) {
    cr_assert(evidence.Quarantine.find({&it, 1})->Kind ==
              SuspectKind::AmbiguousRequest);
    cr_assert(evidence.Quarantine.startTrial(it));
  }
  // The trial of one of them crashes another server.
  evidence.crash(4, 11, {});
  evidence.Now += 1s;
  auto const changes =
      evidence.Quarantine.evaluate(PropagationTime, evidence.Now);
  cr_assert_eq(changes.Added.size(), 1);
  cr_assert(changes.Added[0].Suspect == request(cause));
  auto const cleared = std::vector{other, identityOf(12).CallerPath};
  cr_assert(changes.Cleared == cleared);
  cr_assert_not(evidence.Quarantine.find(identityOf(12).keys()).has_value());
  // The peers are told.
  auto const report = evidence.Quarantine.makeReport(false, evidence.Now);
  cr_assert_eq(report.Cleared.size(), 2);
  cr_assert_eq(report.Cleared[0].Key, other);
  cr_assert_eq(report.Cleared[1].Key, identityOf(12).CallerPath);
}

Test(SuspectQuarantine, CompletedTrialLeavesTheOtherRequestAsTheCause) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 3; ++n) {
    evidence.interrupt(n, 12, {});
    evidence.crash(n, 11, {});
  }
  evidence.Now += PropagationTime;
  cr_assert_eq(evidence.addedRequests().size(), 4);
  auto const keys = identityOf(12).keys();
  auto const released =
      std::vector{identityOf(12).Exact, identityOf(12).CallerPath};
  cr_assert(evidence.complete({keys.begin(), keys.end()}) == released);
  evidence.Now += 1s;
  cr_assert(evidence.addedRequests() ==
            std::vector{request(identityOf(11).Exact)});
}

Test(SuspectQuarantine, AmbiguousRequestHasOneTrialThatReachesAServer) {
  auto evidence = Evidence();
  auto const suspect = ambiguous(7);
  cr_assert(
      evidence.Quarantine.quarantine(suspect, evidence.Now, evidence.Now));
  cr_assert(evidence.Quarantine.startTrial(7));
  evidence.Quarantine.withdrawTrial(7);
  cr_assert(evidence.Quarantine.startTrial(7));
  cr_assert_not(evidence.Quarantine.startTrial(7));
  cr_assert_not(evidence.Quarantine.startTrial(8));
}

// Regression test: an instance that started took all ambiguous requests in the
// store for causes, and told its peers.
Test(SuspectQuarantine, CauseIsWrittenToTheStoreAgain) {
  auto evidence = Evidence();
  auto const suspect = ambiguous(7);
  cr_assert(
      evidence.Quarantine.quarantine(suspect, evidence.Now, evidence.Now));
  cr_assert(evidence.Quarantine.takeUnstored() == std::vector{suspect});
  cr_assert(
      evidence.Quarantine.quarantine(request(7), evidence.Now, evidence.Now));
  cr_assert(evidence.Quarantine.takeUnstored() == std::vector{request(7)});
}

// Load: all servers of a service lose power while a popular request is in
// progress at each of them.
Test(SuspectQuarantine, PopularRequestIsNotTheCauseOfACommonPowerLoss) {
  auto evidence = Evidence();
  auto const keys = identityOf(11).keys();
  evidence.complete({keys.begin(), keys.end()});
  evidence.Now += 10ms;
  for (auto n = 1U; n <= 6; ++n)
    evidence.interrupt(n, 11, {});
  for (auto n = 1U; n <= 6; ++n)
    evidence.Quarantine.recordCrash(n, evidence.Now);
  evidence.Now += 1s;
  cr_assert(evidence.addedRequests().empty());
}

// Regression test: a request was held to be harmless for seconds after it had
// been completed, and its completion before the crashes released it.
Test(SuspectQuarantine, RequestThatWasCompletedBeforeTheCrashesIsQuarantined) {
  auto evidence = Evidence();
  auto const keys = identityOf(11).keys();
  evidence.complete({keys.begin(), keys.end()});
  evidence.Now += 10ms;
  for (auto n = 1U; n <= 3; ++n)
    evidence.crash(n, 11, {});
  evidence.Now += PropagationTime;
  cr_assert(evidence.addedRequests() == causeAndVariants(identityOf(11)));
  // A peer tells of an earlier completion.
  auto const exact = identityOf(11).Exact;
  cr_assert_not(
      evidence.Quarantine.recordCleared({exact, 450ms}, evidence.Now));
  cr_assert(evidence.Quarantine.find({&exact, 1}).has_value());
  cr_assert(evidence.Quarantine.recordCleared({exact, 10ms}, evidence.Now));
}

Test(SuspectQuarantine, NewSuspectsAreReportedBeforeKnownOnes) {
  constexpr auto Known = SuspectKey{100};
  auto evidence = Evidence();
  for (auto n = SuspectKey{1}; n <= Known; ++n)
    cr_assert(
        evidence.Quarantine.quarantine(request(n), evidence.Now, evidence.Now));
  evidence.Now += 2s;
  cr_assert(evidence.Quarantine.quarantine(request(Known + 1), evidence.Now,
                                           evidence.Now));
  auto const report = evidence.Quarantine.makeReport(true, evidence.Now);
  cr_assert(report.Quarantined.at(0).Suspect == request(Known + 1));
  cr_assert_gt(report.Quarantined.size(), 1);
}

// Regression test: sound requests that were tried again at most of the engines
// were taken for the cause instead of the segment.
Test(SuspectQuarantine, SegmentAtMoreCrashesGoesBeforeRequests) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 5; ++n) {
    if (n <= 4)
      evidence.interrupt(n, 11, {Subject});
    evidence.crash(n, 20 + n, {Crashing});
  }
  evidence.Now += PropagationTime;
  cr_assert(evidence.added() == only(Crashing));
  cr_assert_eq(evidence.Quarantine.requestCount(), 0);
}

// Regression test: of many suspects that were cleared at once, some were never
// reported, so the peers took popular segments for the cause of later crashes.
Test(SuspectQuarantine, EachClearedSuspectIsReported) {
  constexpr auto Count = SuspectKey{60};
  auto evidence = Evidence();
  auto segments = std::vector<SuspectKey>{};
  for (auto n = SuspectKey{1}; n <= Count; ++n)
    segments.push_back(n);
  evidence.interrupt(1, 11, segments);
  evidence.complete(segments);
  auto reported = std::set<SuspectKey>{};
  for (auto n = 0; n < 5; ++n) {
    for (auto const &it :
         evidence.Quarantine.makeReport(false, evidence.Now).Cleared)
      reported.insert(it.Key);
    evidence.Now += 100ms;
  }
  cr_assert_eq(reported.size(), Count);
}

// Regression test: the cause was in progress at fewer of the crashes than sound
// requests that had been tried again, and was not refused.
Test(SuspectQuarantine, LessFrequentRequestIsAmbiguousToo) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 4; ++n) {
    evidence.interrupt(n, 12, {});
    evidence.crash(n, 13, {});
    if (n > 1)
      evidence.interrupt(n, 11, {});
  }
  evidence.Now += PropagationTime;
  cr_assert_eq(evidence.addedRequests().size(), 6);
  auto const cause = identityOf(11).Exact;
  cr_assert(evidence.Quarantine.find({&cause, 1}).has_value());
}

// Regression test: the cause was cleared of its first crash, so a sound request
// that had been tried again beside it was taken for the cause.
Test(SuspectQuarantine, CauseThatWasClearedOfACrashStaysAmbiguous) {
  auto evidence = Evidence();
  for (auto n = 1U; n <= 4; ++n) {
    evidence.interrupt(n, 12, {});
    evidence.crash(n, 11, {});
    if (n > 1)
      continue;
    auto const keys = identityOf(11).keys();
    evidence.complete({keys.begin(), keys.end()});
    evidence.Now += 10ms;
  }
  evidence.Now += PropagationTime;
  cr_assert_eq(evidence.addedRequests().size(), 4);
  auto const cause = identityOf(11).Exact;
  cr_assert(evidence.Quarantine.find({&cause, 1})->Kind ==
            SuspectKind::AmbiguousRequest);
}

} // namespace dotterel::relay::test
