/// \file
/// The object that holds a shard's lease, fencing number and order table.
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

/// An order that was recorded before it was sent and is not yet resolved.
struct OrderRecord {
  OrderId Id = 0;
  DesiredEngineState State;
  auto operator==(OrderRecord const &) const -> bool = default;
};

/// A holder whose lease lapsed without a release. It may be paused with an
/// order on its way, so engines that ignore fencing numbers get no orders
/// until its process has ended.
struct FormerHolder {
  InstanceId Instance;
  Incarnation Run = 0;
  auto operator==(FormerHolder const &) const -> bool = default;
};

/// Content of a shard object. Written only conditionally on its version.
struct ShardRecord {
  InstanceId Holder;
  Incarnation HolderRun = 0;
  FencingNumber Fencing = 0;
  Duration LeaseDuration{};
  /// Distinguishes this write from every other, so that a writer whose answer
  /// was lost can recognise its own write when it reads back.
  std::uint64_t WriteNumber = 0;
  bool IsReleased = false;
  OrderId LastOrder = 0;
  std::map<EngineId, OrderRecord> Orders;
  std::vector<FormerHolder> FormerHolders;
  auto operator==(ShardRecord const &) const -> bool = default;
};

/// Encodes a record as the JSON text that the object API stores.
[[nodiscard]] auto encodeShardRecord(ShardRecord const &Record) -> std::string;

/// Returns nothing if \p Text is not a shard record.
[[nodiscard]] auto decodeShardRecord(std::string_view Text)
    -> std::optional<ShardRecord>;

/// State of a claim on an idempotency key.
enum class ClaimState : std::uint8_t { Running, Completed, NotRun, Unknown };

/// An answer that can be given again to a repeated call.
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

/// Returns nothing if \p Text is not a claim record.
[[nodiscard]] auto decodeClaimRecord(std::string_view Text)
    -> std::optional<ClaimRecord>;

} // namespace dotterel
