/// \file
/// Requests, and segments of prompts, that crash the servers that run them. No
/// single instance sees enough to find them, so instances report what they
/// observe.
#pragma once

#include "LibRelay/CrashEvidence.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dotterel::relay {

/// A suspect that was shown some time ago to be harmless.
struct ClearedSuspect {
  SuspectKey Key = 0;
  Duration Age{};
};

/// A suspect in quarantine, as reported to the peers.
struct QuarantinedSuspect {
  relay::Suspect Suspect;
  /// Time since it was in progress at a crash.
  Duration CrashAge{};

  auto operator==(QuarantinedSuspect const &) const -> bool = default;
};

/// What an instance reports to its peers.
struct QuarantineReport {
  std::vector<InterruptedRequest> Interrupted;
  /// Suspects that were shown to be harmless although requests with them were
  /// interrupted, or they were in quarantine.
  std::vector<ClearedSuspect> Cleared;
  std::vector<QuarantinedSuspect> Quarantined;

  [[nodiscard]] auto isEmpty() const -> bool {
    return Interrupted.empty() && Cleared.empty() && Quarantined.empty();
  }
};

/// What \ref SuspectQuarantine::evaluate changed.
struct QuarantineChanges {
  std::vector<SuspectCrashes> Added;
  /// Suspects that left quarantine because another one is the cause.
  std::vector<SuspectKey> Cleared;
};

/// The suspects in quarantine, and what this instance reports about suspects.
///
/// A request is put into quarantine after several servers crashed with it in
/// progress. If several requests were in progress at the same crashes, all of
/// them are, as ambiguous ones: each may be tried once more, and once the cause
/// is known, the others are cleared. The same request with another query or
/// prompt is ambiguous too: a trial that is completed clears it, one that
/// crashes a server shows that they do not matter.
///
/// A segment is put into quarantine after several servers crashed with several
/// requests in progress whose prompts contain it. A request that explains the
/// crashes goes before its segments. If several segments were in progress at
/// the same crashes, all of them are put into quarantine for a short time, as
/// ambiguous ones. A prompt with some of them is tried: one that is completed
/// clears them, one that crashes a server clears the others.
///
/// A completed request shows that it caused no crash until then, and that its
/// segments caused none until shortly after it. Servers that crash at the same
/// moment are no evidence against one that was completed shortly before: they
/// lost power together, and popular requests are in progress at all of them.
/// After a quiet time nothing was completed shortly before, so what has only
/// such crashes is ambiguous. A crash that a suspect in quarantine explains
/// counts against no other one. Thread safety: none.
class SuspectQuarantine {
public:
  /// \p ConfirmationTime is the longest time from a broken connection until it
  /// is known whether the server crashed.
  explicit SuspectQuarantine(Duration ConfirmationTime)
      : ConfirmationTime(ConfirmationTime), Evidence(ConfirmationTime) {}

  /// Records a request that this instance had in progress at a server when the
  /// connection broke. It is reported to the peers.
  auto recordOwnInterruption(InterruptedRequest Interrupted, Instant Now)
      -> void;

  /// Records a request that a peer had in progress.
  auto recordInterruption(InterruptedRequest Interrupted, Instant Now) -> void;

  /// Records that the run of a server ended without notice.
  auto recordCrash(ServerKey Server, Instant Now) -> void;

  /// Records that a server that seemed to have crashed has answered since.
  /// Returns whether that changes anything.
  auto withdrawCrash(ServerKey Server) -> bool {
    return Evidence.withdrawCrash(Server);
  }

  /// Records that this instance received a complete response to a request with
  /// the suspects \p Keys. Returns those that were released from quarantine.
  auto recordCompletion(std::span<SuspectKey const> Keys, Instant Now)
      -> std::vector<SuspectKey>;

  /// Records that a suspect was shown to be harmless, at this instance or at a
  /// peer. Returns whether it was released from quarantine.
  auto recordCleared(ClearedSuspect const &Cleared, Instant Now) -> bool;

  /// Puts a suspect into quarantine that was in progress at a crash at
  /// \p CrashAt. Returns false if that changes nothing, or if it was shown to
  /// be harmless since, or recently if it is a segment. An ambiguous segment is
  /// released some time after its last crash.
  auto quarantine(Suspect const &Target, Instant CrashAt, Instant Now) -> bool;

  /// Puts the suspects into quarantine for which there is enough evidence. A
  /// crash counts \p PropagationTime after it is known, or later, when the
  /// peers' reports of it have arrived: this instance alone may only have seen
  /// requests that did not cause it.
  auto evaluate(Duration PropagationTime, Instant Now) -> QuarantineChanges;

  /// Forgets old evidence. Returns the suspects whose quarantine has ended.
  auto expire(Instant Now) -> std::vector<SuspectKey>;

  /// Returns the first of \p Keys that is in quarantine, an ambiguous request
  /// only if no other one is.
  [[nodiscard]] auto find(std::span<SuspectKey const> Keys) const
      -> std::optional<Suspect>;

  /// Returns the time until the quarantine of \p Key ends. Precondition: it is
  /// in quarantine.
  [[nodiscard]] auto timeLeft(SuspectKey Key, Instant Now) const -> Duration;

  /// Returns whether a trial of a request with \p Keys can tell suspects
  /// apart: it lacks one of several ambiguous segments.
  [[nodiscard]] auto isDistinctive(std::span<SuspectKey const> Keys) const
      -> bool;

  /// Starts the trial of an ambiguous suspect at this instance. Returns false
  /// if it is not ambiguous or has had its trial.
  auto startTrial(SuspectKey Key) -> bool;
  /// Takes a trial back that reached no server.
  auto withdrawTrial(SuspectKey Key) -> void;

  /// Returns the next report to the peers. A full one names all suspects in
  /// quarantine.
  [[nodiscard]] auto makeReport(bool IsFull, Instant Now) -> QuarantineReport;

  /// Returns the suspects that have not been written to the store, and assumes
  /// that they will be.
  [[nodiscard]] auto takeUnstored() -> std::vector<Suspect>;
  /// Records that the store has the suspect.
  auto markStored(SuspectKey Key) -> void;
  /// Records that the store may have lost all suspects.
  auto markAllUnstored() -> void;

  /// Returns the number of segments in quarantine.
  [[nodiscard]] auto segmentCount() const -> std::size_t;
  /// Returns the number of requests in quarantine, including ambiguous ones.
  [[nodiscard]] auto requestCount() const -> std::size_t {
    return Quarantined.size() - segmentCount();
  }

private:
  /// An interrupted request to report to the peers.
  struct PendingReport {
    InterruptedRequest Interrupted;
    Instant At;
    std::uint32_t Repetitions = 0;
  };

  /// A harmless suspect to report to the peers.
  struct PendingClearance {
    Instant Until;
    std::uint32_t Repetitions = 0;
  };

  struct Entry {
    SuspectKind Kind = SuspectKind::Segment;
    Instant CrashAt;
    Instant Until;
    Instant ReportUntil;
    bool IsStored = false;
    bool HasTrial = true;
  };

  /// Returns the suspects for which the crashes that were known at \p Known are
  /// enough evidence.
  [[nodiscard]] auto findRequests(Instant Known) const
      -> std::vector<SuspectCrashes>;
  [[nodiscard]] auto findSegments(Instant Known) const
      -> std::vector<SuspectCrashes>;
  /// Explains a crash by what is in quarantine and not ambiguous.
  [[nodiscard]] auto explain(SuspectKey Key) const
      -> std::optional<SuspectKind>;
  /// Clears the ambiguous suspects most of whose crashes another one explains,
  /// and returns them.
  auto clearOthers(Instant Now) -> std::vector<SuspectKey>;
  /// Returns whether a suspect was shown to be harmless recently.
  [[nodiscard]] auto isHarmless(SuspectKey Key, Instant Now) const -> bool;
  /// Returns whether a suspect was shown to be harmless at \p Since or later.
  [[nodiscard]] auto isClearedSince(SuspectKey Key, Instant Since) const
      -> bool;
  auto removeHarmlessSegments(InterruptedRequest &Interrupted,
                              Instant Now) const -> void;
  auto forgetOldestCleared() -> void;
  auto reportCleared(SuspectKey Key, Instant Now) -> void;

  Duration ConfirmationTime;
  CrashEvidence Evidence;
  bool HasNewEvidence = false;
  std::map<SuspectKey, Entry> Quarantined;
  /// Times at which suspects were last shown to be harmless, and the order in
  /// which they expire.
  std::unordered_map<SuspectKey, Instant> ClearedAt;
  std::deque<std::pair<SuspectKey, Instant>> ClearedOrder;
  std::vector<PendingReport> PendingReports;
  std::map<SuspectKey, PendingClearance> PendingCleared;
};

} // namespace dotterel::relay
