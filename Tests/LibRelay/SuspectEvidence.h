/// \file
/// Collects evidence of crashes for tests of the quarantine.
#pragma once

#include "LibRelay/SuspectQuarantine.h"

#include <vector>

namespace dotterel::relay::test {

constexpr auto Application = SuspectKey{1};
constexpr auto Subject = SuspectKey{2};
constexpr auto Crashing = SuspectKey{3};

constexpr auto PropagationTime = Duration{100ms};

/// Returns an identity whose keys differ from those of the segments.
inline auto identityOf(std::uint64_t Prompt) -> RequestIdentity {
  constexpr auto First = SuspectKey{1} << 40U;
  auto const exact = First + 6 * Prompt;
  return {exact, exact + 1, exact + 2, exact + 3, exact + 4, exact + 5};
}

/// Collects evidence; time advances by 100 ms with each crash.
class Evidence {
public:
  /// A server crashes with one prompt in progress.
  auto crash(ServerKey Server, std::uint64_t Prompt,
             std::vector<SuspectKey> Segments) -> void {
    interrupt(Server, Prompt, std::move(Segments));
    Quarantine.recordCrash(Server, Now);
    Now += 100ms;
  }

  /// A server crashes with one request without a prompt in progress.
  auto crash(ServerKey Server, RequestIdentity const &Identity) -> void {
    Quarantine.recordOwnInterruption({Server, Identity, {}, {}}, Now);
    Quarantine.recordCrash(Server, Now);
    Now += 100ms;
  }

  auto interrupt(ServerKey Server, std::uint64_t Prompt,
                 std::vector<SuspectKey> Segments) -> void {
    Quarantine.recordOwnInterruption(
        {Server, identityOf(Prompt), std::move(Segments), {}}, Now);
  }

  auto complete(std::vector<SuspectKey> const &Segments)
      -> std::vector<SuspectKey> {
    return Quarantine.recordCompletion(Segments, Now);
  }

  /// Returns the segments that are put into quarantine now.
  auto added() -> std::vector<SuspectKey> {
    auto segments = std::vector<SuspectKey>{};
    for (auto const &it : Quarantine.evaluate(PropagationTime, Now).Added) {
      if (isSegment(it.Suspect.Kind))
        segments.push_back(it.Suspect.Key);
    }
    return segments;
  }

  /// Returns the requests that are put into quarantine now.
  auto addedRequests() -> std::vector<Suspect> {
    auto requests = std::vector<Suspect>{};
    for (auto const &it : Quarantine.evaluate(PropagationTime, Now).Added) {
      if (!isSegment(it.Suspect.Kind))
        requests.push_back(it.Suspect);
    }
    return requests;
  }

  SuspectQuarantine Quarantine{Duration{5s}};
  Instant Now = Instant{} + 1h;
};

inline auto segment(SuspectKey Key) -> Suspect {
  return {Key, SuspectKind::Segment};
}

inline auto request(SuspectKey Key) -> Suspect {
  return {Key, SuspectKind::Request};
}

inline auto ambiguous(SuspectKey Key) -> Suspect {
  return {Key, SuspectKind::AmbiguousRequest};
}

inline auto only(SuspectKey Segment) -> std::vector<SuspectKey> {
  return {Segment};
}

/// Returns the suspects if the requests with \p Identity are the cause and it
/// is not known whether their query and prompt matter.
inline auto causeAndVariants(RequestIdentity const &Identity)
    -> std::vector<Suspect> {
  return {request(Identity.Exact), ambiguous(Identity.CallerPath)};
}

/// Returns the same request with another query.
inline auto withQuery(RequestIdentity Identity, SuspectKey Query)
    -> RequestIdentity {
  Identity.Exact += 100 * Query;
  Identity.Fields += 100 * Query;
  Identity.Caller += 100 * Query;
  Identity.Content += 100 * Query;
  return Identity;
}

} // namespace dotterel::relay::test
