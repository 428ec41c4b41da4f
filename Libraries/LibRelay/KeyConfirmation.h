/// \file
/// How long ago an instance's configuration was known to be the latest one.
///
/// A key that the operator removes must not be accepted later than a bound
/// after the store has acknowledged the removal, by any instance. An instance
/// therefore serves requests with keys only while a response of the store that
/// is younger than the bound, to itself or to a peer, has shown that its
/// configuration is the latest one. All ages count from before the question was
/// sent and on the boot clock, so that neither a delayed response nor a
/// suspended or frozen process makes old knowledge look recent.
#pragma once

#include "LibCore/Time.h"
#include "LibRelay/StoreVersion.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace dotterel::relay {

/// Asks a peer that watches the store which configuration is the latest one.
struct ConfirmationRequest {
  /// Time since boot at the sender; returned unchanged.
  Duration AskedAt{};
};

struct ConfirmationResponse {
  /// As in the request.
  Duration AskedAt{};
  /// Time since the store confirmed the configuration, when this was sent.
  Duration Age{};
  /// Version of the configuration's object in the store.
  StoreVersion Configuration;
};

using ConfirmationMessage =
    std::variant<ConfirmationRequest, ConfirmationResponse>;

/// Thread safety: any thread.
[[nodiscard]] auto encodeConfirmation(ConfirmationMessage const &Message)
    -> std::string;

/// Returns std::nullopt if \p Bytes is not a valid message. Thread safety: any
/// thread.
[[nodiscard]] auto decodeConfirmation(std::string_view Bytes)
    -> std::optional<ConfirmationMessage>;

/// The latest confirmation of the configuration in force. Thread safety: none.
class KeyConfirmation {
public:
  /// Records that the configuration in force was the latest one at \p At, in
  /// time since boot.
  auto confirm(Duration At) -> void;

  /// Returns the time since the last confirmation.
  [[nodiscard]] auto age(Duration SinceBoot) const -> Duration;

  /// Returns whether requests with keys may be served at \p SinceBoot if a
  /// removed key must be refused after \p Bound.
  [[nodiscard]] auto isValid(Duration SinceBoot, Duration Bound) const -> bool;

  /// Returns whether a peer should be asked now, and records that it is.
  [[nodiscard]] auto shouldAsk(Duration SinceBoot, Duration Bound) -> bool;

  /// Returns whether the store should be asked because no peer has confirmed
  /// the configuration in time.
  [[nodiscard]] auto isOverdue(Duration SinceBoot, Duration Bound) const
      -> bool;

private:
  std::optional<Duration> ConfirmedAt;
  std::optional<Duration> LastAskedAt;
};

} // namespace dotterel::relay
