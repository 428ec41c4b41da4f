/// \file
/// Idempotency keys that this instance owns. They are grouped by epoch, so that
/// memory is bounded and an expired key is still recognised and never run
/// again.
#pragma once

#include "LibControl/ShardRecord.h"
#include "LibCore/Identifier.h"
#include "LibCore/Time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// The prefix of an idempotency key: the run of the owning instance, and the
/// epoch in which the prefix was issued.
struct KeyPrefix {
  Incarnation OwnerRun = 0;
  std::uint64_t Epoch = 0;
  auto operator==(KeyPrefix const &) const -> bool = default;
};

/// Returns the prefix of \p Key, or std::nullopt if it has none.
[[nodiscard]] auto parseKeyPrefix(std::string_view Key)
    -> std::optional<KeyPrefix>;

/// Returns \p Prefix in the form that callers prepend to their keys.
[[nodiscard]] auto formatKeyPrefix(KeyPrefix const &Prefix) -> std::string;

/// A key together with its caller: equal keys of two callers differ.
struct ScopedKey {
  CallerName Caller;
  IdempotencyKey Key;
  auto operator<=>(ScopedKey const &) const = default;
};

/// State of one key.
struct KeyEntry {
  ClaimState State = ClaimState::Running;
  StoredResponse Response;
  /// Calls that wait for the response of the running call.
  std::vector<CallId> Waiters;
};

/// Whether a key may be run, and if not, why.
enum class KeyAdmission : std::uint8_t { New, Known, Expired, TableFull };

/// The idempotency keys of one run of an instance. Thread safety: none.
class KeyTable {
public:
  /// Advances to the epoch of \p Now, counted from \p Start, and removes the
  /// epochs that are older than the retention period.
  auto advance(Instant Now, Instant Start) -> void;

  [[nodiscard]] auto epoch() const -> std::uint64_t { return CurrentEpoch; }

  /// Returns whether keys of \p Epoch are retained. A key of another epoch may
  /// have run.
  [[nodiscard]] auto isRetained(std::uint64_t Epoch) const -> bool;

  /// Admits \p Key under \p Epoch. Inserts a running entry if the result is
  /// New.
  [[nodiscard]] auto admit(std::uint64_t Epoch, ScopedKey const &Key)
      -> KeyAdmission;

  /// Returns the entry of \p Key, or null.
  [[nodiscard]] auto find(std::uint64_t Epoch, ScopedKey const &Key)
      -> KeyEntry *;

  /// Stores the response of a key and returns the calls that wait for it. Drops
  /// the body if it would exceed the table's byte limit.
  [[nodiscard]] auto finish(std::uint64_t Epoch, ScopedKey const &Key,
                            ClaimState State, StoredResponse const &Response)
      -> std::vector<CallId>;

  /// Removes a key that was not run, so that a retry may run it. Returns the
  /// calls that wait for it.
  [[nodiscard]] auto remove(std::uint64_t Epoch, ScopedKey const &Key)
      -> std::vector<CallId>;

  [[nodiscard]] auto size() const -> std::size_t;

private:
  std::uint64_t CurrentEpoch = 0;
  std::size_t ResponseBytes = 0;
  std::map<std::uint64_t, std::map<ScopedKey, KeyEntry>> Epochs;
};

} // namespace dotterel
