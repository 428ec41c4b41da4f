/// \file
/// Which requests were in progress when servers crashed.
#pragma once

#include "LibRelay/RequestIdentity.h"
#include "LibRelay/ServerHistory.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace dotterel::relay {

/// Returns the keys of all segments of a prompt except for the last, which is
/// specific to the request or its session. Thread safety: safe from any thread.
[[nodiscard]] auto sharedSegments(Request const &Source)
    -> std::vector<SuspectKey>;

/// Returns the keys of a request itself, the most specific one first, and of
/// the shared segments of its prompt. Thread safety: safe from any thread.
[[nodiscard]] auto suspectKeys(RequestIdentity const &Identity,
                               std::span<SuspectKey const> SharedSegments)
    -> std::vector<SuspectKey>;

/// A request that was in progress at a server when its connection broke.
struct InterruptedRequest {
  ServerKey Server = 0;
  RequestIdentity Identity;
  /// Segments of its prompt, except for the last.
  std::vector<SuspectKey> Segments;
  /// Time since the connection broke.
  Duration Age{};

  auto operator==(InterruptedRequest const &) const -> bool = default;
};

/// A suspect and the crashes during which requests with it were in progress.
struct SuspectCrashes {
  relay::Suspect Suspect;
  /// Runs of servers that crashed.
  std::size_t Crashes = 0;
  /// Distinct requests that were in progress.
  std::size_t Requests = 0;
  /// Crashes among them that no suspect in quarantine explains.
  std::size_t Unexplained = 0;
  /// Time of the last one.
  Instant LastAt{};
  /// Moments at which servers crashed. Those that crash together may have lost
  /// power.
  std::size_t Moments = 0;
  /// Crashes during which none of the suspects that it is compared with was in
  /// progress.
  std::size_t Alone = 0;
  /// Key of the same request with any query and prompt, or 0 if \ref Suspect
  /// has it.
  SuspectKey GeneralKey = 0;
};

/// The crashes that an instance knows of, and the requests that were in
/// progress at the servers according to all instances. Thread safety: none.
class CrashEvidence {
public:
  /// \p ConfirmationTime is the longest time from a broken connection until it
  /// is known whether the server crashed.
  explicit CrashEvidence(Duration ConfirmationTime)
      : ConfirmationTime(ConfirmationTime) {}

  /// Records a request of this instance or of a peer.
  auto recordInterruption(InterruptedRequest Interrupted, Instant Now) -> void;

  /// Records that the run of a server ended without notice.
  auto recordCrash(ServerKey Server, Instant Now) -> void;

  /// Records that a server that seemed to have crashed has answered since.
  /// Returns whether that changes anything.
  auto withdrawCrash(ServerKey Server) -> bool;

  /// Removes a suspect that was shown at \p At to be harmless: a segment from
  /// all requests, a request from the crashes until then.
  auto remove(SuspectKey Key, Instant At) -> void;

  /// Forgets crashes that are older than \p Lifetime.
  auto expire(Duration Lifetime, Instant Now) -> void;

  [[nodiscard]] auto contains(SuspectKey Key) const -> bool {
    return Occurrences.contains(Key);
  }

  /// Returns whether a crash became known after \p Known.
  [[nodiscard]] auto hasCrashAfter(Instant Known) const -> bool;

  /// Returns which suspects in quarantine explain a crash.
  using Explanation = std::function<std::optional<SuspectKind>(SuspectKey)>;

  /// Returns the segments that were in progress during most crashes that were
  /// known at \p Known. Crashes that a segment explains do not count. A segment
  /// all of whose crashes a request explains is left out.
  [[nodiscard]] auto mostFrequentSegments(Instant Known,
                                          Explanation const &Explain) const
      -> std::vector<SuspectCrashes>;

  /// Returns the requests that were in progress during crashes that were known
  /// at \p Known, those with most crashes first, of each the most specific key.
  /// Crashes that a segment or another request explains do not count.
  [[nodiscard]] auto requests(Instant Known, Explanation const &Explain) const
      -> std::vector<SuspectCrashes>;

  /// Counts the crashes that each of \p Requests was in progress at alone. One
  /// that was cleared of a crash still was in progress at it.
  auto countAlone(std::span<SuspectCrashes> Requests, Instant Known,
                  Explanation const &Explain) const -> void;

  /// Returns the crashes during which a request with \p Target was in
  /// progress. Those that a request without it explains, or if it is a segment
  /// anything else, are not \ref SuspectCrashes::Unexplained.
  [[nodiscard]] auto crashesOf(Suspect const &Target,
                               Explanation const &Explain) const
      -> SuspectCrashes;

private:
  /// What remains of an interrupted request without the keys that were removed.
  struct Interruption {
    RequestIdentity Identity;
    /// The most specific one first.
    std::vector<SuspectKey> RequestKeys;
    std::vector<SuspectKey> Segments;
    Instant At;
  };

  /// A run of a server that broke connections. It crashed if ConfirmedAt is
  /// set.
  struct Crash {
    std::optional<Instant> ConfirmedAt;
    Instant LastAt;
    std::vector<Interruption> Interruptions;

    [[nodiscard]] auto explain(Explanation const &Explain) const
        -> std::optional<SuspectKind>;
    /// Returns whether a request without \p Key explains the crash.
    [[nodiscard]] auto isExplainedWithout(SuspectKey Key,
                                          Explanation const &Explain) const
        -> bool;
  };

  auto crashOf(ServerKey Server, Instant Now) -> Crash &;
  auto count(Interruption const &Added) -> void;
  auto discount(SuspectKey Removed) -> void;
  auto discount(Interruption const &Removed) -> void;

  Duration ConfirmationTime;
  std::map<ServerKey, Crash> Crashes;
  /// Number of interruptions that contain a key.
  std::unordered_map<SuspectKey, std::size_t> Occurrences;
};

} // namespace dotterel::relay
