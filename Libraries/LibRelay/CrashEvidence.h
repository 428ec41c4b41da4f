/// \file
/// Which prompts were in progress when servers crashed.
#pragma once

#include "LibRelay/RequestIdentity.h"
#include "LibRelay/ServerHistory.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace dotterel::relay {

/// Returns the keys of all segments of a prompt except for the last, which is
/// specific to the request or its session. Thread safety: safe from any thread.
[[nodiscard]] auto sharedSegments(Request const &Source)
    -> std::vector<SuspectKey>;

/// A prompt that was in progress at a server when its connection broke.
struct InterruptedRequest {
  ServerKey Server = 0;
  /// Hash of the whole prompt.
  std::uint64_t Prompt = 0;
  std::vector<SuspectKey> Segments;

  auto operator==(InterruptedRequest const &) const -> bool = default;
};

/// Returns the description of a request that was in progress at \p Server.
/// Thread safety: safe from any thread.
[[nodiscard]] auto describeInterruption(Request const &Source, ServerKey Server)
    -> InterruptedRequest;

/// A segment and the crashes during which prompts with it were in progress.
struct SegmentCrashes {
  SuspectKey Segment = 0;
  /// Runs of servers that crashed.
  std::size_t Crashes = 0;
  /// Distinct prompts that were in progress.
  std::size_t Prompts = 0;
};

/// The crashes that an instance knows of, and the prompts that were in progress
/// at the servers according to all instances. Thread safety: none.
class CrashEvidence {
public:
  /// \p ConfirmationTime is the longest time from a broken connection until it
  /// is known whether the server crashed.
  explicit CrashEvidence(Duration ConfirmationTime)
      : ConfirmationTime(ConfirmationTime) {}

  /// Records a prompt of this instance or of a peer.
  auto recordInterruption(InterruptedRequest Interrupted, Instant Now) -> void;

  /// Records that the run of a server ended without notice.
  auto recordCrash(ServerKey Server, Instant Now) -> void;

  /// Removes a segment from all prompts.
  auto removeSegment(SuspectKey Segment) -> void;

  /// Forgets crashes that are older than \p Lifetime.
  auto expire(Duration Lifetime, Instant Now) -> void;

  [[nodiscard]] auto contains(SuspectKey Segment) const -> bool;

  /// Returns whether a crash became known after \p Known.
  [[nodiscard]] auto hasCrashAfter(Instant Known) const -> bool;

  /// Returns the segments that were in progress during most crashes that were
  /// known at \p Known. Crashes during which a segment was in progress for
  /// which \p IsExplained returns true do not count.
  [[nodiscard]] auto
  mostFrequent(Instant Known,
               std::function<bool(SuspectKey)> const &IsExplained) const
      -> std::vector<SegmentCrashes>;

private:
  struct Prompt {
    std::uint64_t Hash = 0;
    std::vector<SuspectKey> Segments;
    Instant At;
  };

  /// A run of a server that broke connections. It crashed if ConfirmedAt is
  /// set.
  struct Crash {
    std::optional<Instant> ConfirmedAt;
    Instant LastAt;
    std::vector<Prompt> Prompts;
  };

  auto crashOf(ServerKey Server, Instant Now) -> Crash &;

  Duration ConfirmationTime;
  std::map<ServerKey, Crash> Crashes;
};

} // namespace dotterel::relay
