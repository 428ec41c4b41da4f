/// \file
/// The stored objects: a shard's lease, fencing number and orders, and the
/// claim on an idempotency key.
#pragma once

#include "LibConfiguration/FleetConfiguration.h"
#include "LibCore/Identifier.h"
#include "LibCore/ResultCode.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// An unresolved order. It is recorded before it is sent.
struct OrderRecord {
  OrderId Id = 0;
  DesiredEngineState State;
  auto operator==(OrderRecord const &) const -> bool = default;
};

/// A holder whose lease expired without a release. It may be paused with an
/// order about to be sent. Engines that ignore fencing numbers therefore get no
/// orders until its process has ended or it has confirmed that it sends none.
struct FormerHolder {
  InstanceId Instance;
  Incarnation Run = 0;
  auto operator==(FormerHolder const &) const -> bool = default;
};

/// Content of a shard object. All writes are conditional on its version.
struct ShardRecord {
  InstanceId Holder;
  Incarnation HolderRun = 0;
  FencingNumber Fencing = 0;
  Duration LeaseDuration{};
  /// Identifies the write, so that a writer that got no response recognises its
  /// own write when it reads the object back.
  std::uint64_t WriteNumber = 0;
  bool IsReleased = false;
  OrderId LastOrder = 0;
  std::map<EngineId, OrderRecord> Orders;
  std::vector<FormerHolder> FormerHolders;
  auto operator==(ShardRecord const &) const -> bool = default;
};

/// Encodes a record as the JSON text that the object API stores.
[[nodiscard]] auto encodeShardRecord(ShardRecord const &Record) -> std::string;

/// Decodes a record. Returns std::nullopt if \p Text is not a shard record.
[[nodiscard]] auto decodeShardRecord(std::string_view Text)
    -> std::optional<ShardRecord>;

/// State of a claim on an idempotency key.
enum class ClaimState : std::uint8_t { Running, Completed, NotRun, Unknown };

/// The final response of a call, stored to be returned to repeated calls.
struct StoredResponse {
  Outcome Result = Outcome::Unknown;
  ResultCode Code = ResultCode::AnswerLost;
  std::uint16_t HttpStatus = 0;
  std::string ContentType;
  std::string Body;
  auto operator==(StoredResponse const &) const -> bool = default;
};

/// Content of a claim object, one per idempotency key without a prefix.
struct ClaimRecord {
  Incarnation HolderRun = 0;
  CallId Call = 0;
  ClaimState State = ClaimState::Running;
  StoredResponse Response;
  auto operator==(ClaimRecord const &) const -> bool = default;
};

[[nodiscard]] auto encodeClaimRecord(ClaimRecord const &Record) -> std::string;

/// Decodes a record. Returns std::nullopt if \p Text is not a claim record.
[[nodiscard]] auto decodeClaimRecord(std::string_view Text)
    -> std::optional<ClaimRecord>;

} // namespace dotterel
