/// \file
/// Finds segments of prompts that crash the servers that decode them. No single
/// instance sees enough, so instances exchange what they observe.
#pragma once

#include "LibRelay/Request.h"
#include "LibRelay/ServerHistory.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dotterel::relay {

/// Identifies a segment of prompts for one model.
using SegmentKey = std::uint64_t;

/// Returns the keys of all segments of a prompt except for the last, which is
/// specific to the request or its session. Thread safety: safe from any thread.
[[nodiscard]] auto sharedSegments(Request const &Source)
    -> std::vector<SegmentKey>;

/// A prompt that was in progress at a server when its connection broke.
struct CrashSuspect {
  ServerKey Server = 0;
  /// Hash of the whole prompt.
  std::uint64_t Prompt = 0;
  std::vector<SegmentKey> Segments;

  auto operator==(CrashSuspect const &) const -> bool = default;
};

/// Returns the suspect for a request that was in progress at \p Server.
/// Thread safety: safe from any thread.
[[nodiscard]] auto makeSuspect(Request const &Source, ServerKey Server)
    -> CrashSuspect;

/// A segment of a prompt that was completed some time ago.
struct CompletedSegment {
  SegmentKey Segment = 0;
  Duration Age{};
};

/// What an instance reports to its peers.
struct QuarantineNews {
  std::vector<CrashSuspect> Suspects;
  /// Suspected or quarantined segments of prompts that were completed.
  std::vector<CompletedSegment> Completed;
  std::vector<SegmentKey> Quarantined;

  [[nodiscard]] auto isEmpty() const -> bool {
    return Suspects.empty() && Completed.empty() && Quarantined.empty();
  }
};

/// A segment that was put into quarantine, with the evidence.
struct QuarantineVerdict {
  SegmentKey Segment = 0;
  /// Runs of servers that crashed with the segment in progress, and the prompts
  /// with it.
  std::size_t Crashes = 0;
  std::size_t Prompts = 0;
};

/// Evidence on segments of prompts, and the segments in quarantine.
///
/// A segment is put into quarantine after several servers crashed with several
/// prompts in progress that contain it, if no prompt with it was completed. A
/// crash that a segment in quarantine explains counts against no other segment.
/// A completed prompt acquits its segments of all crashes until then and
/// shortly after it. Thread safety: none.
class PromptQuarantine {
public:
  PromptQuarantine() = default;
  /// \p ConfirmationTime is the longest time from a broken connection until it
  /// is known whether the server crashed. A completed prompt acquits for as
  /// long.
  explicit PromptQuarantine(Duration ConfirmationTime)
      : ConfirmationTime(ConfirmationTime) {}

  /// Records a prompt that this instance had in progress at a server when the
  /// connection broke. It is reported to the peers.
  auto recordOwnSuspect(CrashSuspect Suspect, Instant Now) -> void;

  /// Records a prompt that a peer had in progress.
  auto recordSuspect(CrashSuspect Suspect, Instant Now) -> void;

  /// Records that the run of a server ended without notice.
  auto recordCrash(ServerKey Server, Instant Now) -> void;

  /// Records that this instance received a complete response to a prompt.
  /// Returns the segments that were released from quarantine.
  auto recordCompletion(std::span<SegmentKey const> Segments, Instant Now)
      -> std::vector<SegmentKey>;

  /// Records that a prompt with the segment was completed, by this instance or
  /// a peer. Returns whether the segment was released from quarantine.
  auto acquit(CompletedSegment const &Completed, Instant Now) -> bool;

  /// Puts a segment into quarantine that a peer or the store names. Returns
  /// false if it is there already, or if a prompt with it was completed
  /// recently.
  auto quarantine(SegmentKey Segment, Instant Now) -> bool;

  /// Puts the segments into quarantine that the evidence convicts, and returns
  /// them. A crash counts \p SettleTime after it is known, or later, when the
  /// peers' news of it has arrived: this instance alone may only have seen
  /// prompts that happened to be in progress.
  auto evaluate(Duration SettleTime, Instant Now)
      -> std::vector<QuarantineVerdict>;

  /// Forgets old evidence. Returns the segments whose quarantine has ended.
  auto expire(Instant Now) -> std::vector<SegmentKey>;

  /// Returns the first of \p Segments that is in quarantine.
  [[nodiscard]] auto findQuarantined(std::span<SegmentKey const> Segments) const
      -> std::optional<SegmentKey>;

  /// Returns the time until the quarantine of \p Segment ends. Precondition: it
  /// is in quarantine.
  [[nodiscard]] auto timeLeft(SegmentKey Segment, Instant Now) const
      -> Duration;

  /// Returns the news for the peers. A full report names all segments in
  /// quarantine.
  [[nodiscard]] auto news(bool IsFull, Instant Now) -> QuarantineNews;

  /// Returns the segments that have not been written to the store, and assumes
  /// that they will be.
  [[nodiscard]] auto takeUnstored() -> std::vector<SegmentKey>;
  /// Records that the store has the segment.
  auto markStored(SegmentKey Segment) -> void;
  /// Records that the store may have lost all segments.
  auto markAllUnstored() -> void;

  [[nodiscard]] auto size() const -> std::size_t { return Quarantined.size(); }

private:
  struct Suspect {
    std::uint64_t Prompt = 0;
    std::vector<SegmentKey> Segments;
    Instant At;
  };

  /// A run of a server, and the prompts that were in progress when it broke
  /// connections.
  struct Crash {
    std::optional<Instant> ConfirmedAt;
    Instant LastAt;
    std::vector<Suspect> Suspects;
  };

  /// A suspect to report to the peers.
  struct OwnSuspect {
    CrashSuspect Content;
    Instant ReportUntil;
    std::uint32_t Reports = 0;
  };

  struct Entry {
    Instant Until;
    Instant ReportUntil;
    bool IsStored = false;
  };

  auto crashOf(ServerKey Server, Instant Now) -> Crash &;
  /// Returns whether the crash was known at \p Known and no segment in
  /// quarantine explains it.
  [[nodiscard]] auto isEvidence(Crash const &Target, Instant Known) const
      -> bool;
  /// Returns the segments with the strongest evidence from crashes that were
  /// known at \p Known, if it is sufficient.
  [[nodiscard]] auto strongestEvidence(Instant Known) const
      -> std::vector<QuarantineVerdict>;
  [[nodiscard]] auto isSuspected(SegmentKey Segment) const -> bool;
  /// Returns whether a prompt with the segment was completed recently.
  [[nodiscard]] auto isAcquitted(SegmentKey Segment, Instant Now) const -> bool;
  auto forgetOldestCompletion() -> void;
  auto reportCompletion(SegmentKey Segment, Instant Now) -> void;

  Duration ConfirmationTime = 5s;
  std::map<ServerKey, Crash> Crashes;
  std::map<SegmentKey, Entry> Quarantined;
  /// Times at which prompts with a segment were last completed, and the order
  /// in which they expire.
  std::unordered_map<SegmentKey, Instant> CompletedAt;
  std::deque<std::pair<SegmentKey, Instant>> Completions;
  /// News for the peers, and until when it is reported.
  std::vector<OwnSuspect> OwnSuspects;
  std::map<SegmentKey, Instant> ReportedCompletions;
  bool HasNewEvidence = false;
};

} // namespace dotterel::relay
