/// \file
/// Idempotency keys that this instance owns, grouped by epoch so that memory
/// is bounded without ever running an old key again.
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

/// The parts of a prefixed key.
struct KeyPrefix {
  Incarnation Home = 0;
  std::uint64_t Epoch = 0;
  auto operator==(KeyPrefix const &) const -> bool = default;
};

/// Returns the prefix of \p Key, or nothing if it has none.
[[nodiscard]] auto parseKeyPrefix(std::string_view Key)
    -> std::optional<KeyPrefix>;

/// Returns \p Prefix as callers put it before their keys.
[[nodiscard]] auto formatKeyPrefix(KeyPrefix const &Prefix) -> std::string;

/// A key in the scope of its caller.
struct ScopedKey {
  CallerName Caller;
  IdempotencyKey Key;
  auto operator<=>(ScopedKey const &) const = default;
};

/// State of one key.
struct KeyEntry {
  ClaimState State = ClaimState::Running;
  StoredResponse Response;
  /// Calls that wait for the answer of the running one.
  std::vector<CallId> Waiters;
};

/// Why a key can or cannot be run.
enum class KeyAdmission : std::uint8_t { New, Known, Expired, TableFull };

/// Keys of this incarnation. Thread safety: none.
class KeyTable {
public:
  /// Moves to the epoch of \p Now and forgets epochs beyond the retention.
  auto advance(Instant Now, Instant Start) -> void;

  [[nodiscard]] auto epoch() const -> std::uint64_t { return CurrentEpoch; }

  /// Returns whether keys of \p Epoch are remembered; others may have run.
  [[nodiscard]] auto isRetained(std::uint64_t Epoch) const -> bool;

  /// Admits \p Key under \p Epoch. New inserts a running entry.
  [[nodiscard]] auto admit(std::uint64_t Epoch, ScopedKey const &Key)
      -> KeyAdmission;

  /// Returns the entry of a known key.
  [[nodiscard]] auto find(std::uint64_t Epoch, ScopedKey const &Key)
      -> KeyEntry *;

  /// Stores the answer of a key and returns the calls that wait for it. The
  /// body is dropped when the table's byte limit is reached.
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
  std::size_t AnswerBytes = 0;
  std::map<std::uint64_t, std::map<ScopedKey, KeyEntry>> Epochs;
};

} // namespace dotterel
