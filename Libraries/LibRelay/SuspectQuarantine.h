/// \file
/// Segments of prompts that crash the servers that decode them. No single
/// instance sees enough to find them, so instances report what they observe.
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

/// A segment of a prompt that was completed some time ago.
struct CompletedSegment {
  SuspectKey Segment = 0;
  Duration Age{};
};

/// What an instance reports to its peers.
struct QuarantineReport {
  std::vector<InterruptedRequest> Interrupted;
  /// Completed segments of prompts that were interrupted or quarantined.
  std::vector<CompletedSegment> Completed;
  std::vector<SuspectKey> Quarantined;

  [[nodiscard]] auto isEmpty() const -> bool {
    return Interrupted.empty() && Completed.empty() && Quarantined.empty();
  }
};

/// The segments in quarantine, and what this instance reports about segments.
///
/// A segment is put into quarantine after several servers crashed with several
/// prompts in progress that contain it, if no prompt with it was completed. A
/// crash that a segment in quarantine explains counts against no other segment.
/// A completed prompt shows that its segments caused no crash until then, nor
/// shortly after it. Thread safety: none.
class SuspectQuarantine {
public:
  /// \p ConfirmationTime is the longest time from a broken connection until it
  /// is known whether the server crashed.
  explicit SuspectQuarantine(Duration ConfirmationTime)
      : ConfirmationTime(ConfirmationTime), Evidence(ConfirmationTime) {}

  /// Records a prompt that this instance had in progress at a server when the
  /// connection broke. It is reported to the peers.
  auto recordOwnInterruption(InterruptedRequest Interrupted, Instant Now)
      -> void;

  /// Records a prompt that a peer had in progress.
  auto recordInterruption(InterruptedRequest Interrupted, Instant Now) -> void;

  /// Records that the run of a server ended without notice.
  auto recordCrash(ServerKey Server, Instant Now) -> void;

  /// Records that this instance received a complete response to a prompt.
  /// Returns the segments that were released from quarantine.
  auto recordCompletion(std::span<SuspectKey const> Segments, Instant Now)
      -> std::vector<SuspectKey>;

  /// Records that a prompt with the segment was completed, at this instance or
  /// at a peer. Returns whether the segment was released from quarantine.
  auto recordCompletedSegment(CompletedSegment const &Completed, Instant Now)
      -> bool;

  /// Puts a segment into quarantine that a peer or the store names. Returns
  /// false if it is there already, or if a prompt with it was completed
  /// recently.
  auto quarantine(SuspectKey Segment, Instant Now) -> bool;

  /// Puts the segments into quarantine for which there is enough evidence, and
  /// returns them. A crash counts \p PropagationTime after it is known, or
  /// later, when the peers' reports of it have arrived: this instance alone may
  /// only have seen prompts that did not cause it.
  auto evaluate(Duration PropagationTime, Instant Now)
      -> std::vector<SegmentCrashes>;

  /// Forgets old evidence. Returns the segments whose quarantine has ended.
  auto expire(Instant Now) -> std::vector<SuspectKey>;

  /// Returns the first of \p Segments that is in quarantine.
  [[nodiscard]] auto findQuarantined(std::span<SuspectKey const> Segments) const
      -> std::optional<SuspectKey>;

  /// Returns the time until the quarantine of \p Segment ends. Precondition: it
  /// is in quarantine.
  [[nodiscard]] auto timeLeft(SuspectKey Segment, Instant Now) const
      -> Duration;

  /// Returns the next report to the peers. A full one names all segments in
  /// quarantine.
  [[nodiscard]] auto makeReport(bool IsFull, Instant Now) -> QuarantineReport;

  /// Returns the segments that have not been written to the store, and assumes
  /// that they will be.
  [[nodiscard]] auto takeUnstored() -> std::vector<SuspectKey>;
  /// Records that the store has the segment.
  auto markStored(SuspectKey Segment) -> void;
  /// Records that the store may have lost all segments.
  auto markAllUnstored() -> void;

  [[nodiscard]] auto size() const -> std::size_t { return Quarantined.size(); }

private:
  /// An interrupted prompt to report to the peers.
  struct PendingReport {
    InterruptedRequest Interrupted;
    Instant Until;
    std::uint32_t Repetitions = 0;
  };

  struct Entry {
    Instant Until;
    Instant ReportUntil;
    bool IsStored = false;
  };

  /// Returns the segments for which the crashes that were known at \p Known are
  /// enough evidence.
  [[nodiscard]] auto findCauses(Instant Known) const
      -> std::vector<SegmentCrashes>;
  /// Returns whether a prompt with the segment was completed recently.
  [[nodiscard]] auto isHarmless(SuspectKey Segment, Instant Now) const -> bool;
  auto removeHarmless(InterruptedRequest &Interrupted, Instant Now) const
      -> void;
  auto forgetOldestCompletion() -> void;
  auto reportCompletion(SuspectKey Segment, Instant Now) -> void;

  Duration ConfirmationTime;
  CrashEvidence Evidence;
  bool HasNewEvidence = false;
  std::map<SuspectKey, Entry> Quarantined;
  /// Times at which prompts with a segment were last completed, and the order
  /// in which they expire.
  std::unordered_map<SuspectKey, Instant> CompletedAt;
  std::deque<std::pair<SuspectKey, Instant>> Completions;
  std::vector<PendingReport> PendingReports;
  /// Completed segments to report to the peers, and until when.
  std::map<SuspectKey, Instant> PendingCompletions;
};

} // namespace dotterel::relay
