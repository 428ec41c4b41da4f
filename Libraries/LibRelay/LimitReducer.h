/// \file
/// Limits on the requests per second that servers name. For each server, one
/// instance issues the permits to send a request to it; the others ask that one
/// before each request, so that all together keep the limit however callers are
/// distributed.
#pragma once

#include "LibRelay/SubReducer.h"

#include <optional>
#include <string_view>

namespace dotterel::relay {

/// Whether a request may be sent to a server now.
enum class PermitStatus : std::uint8_t {
  Granted,
  Denied,
  /// Another instance was asked.
  Pending,
};

/// Learns the limits from responses and keeps them.
class LimitReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(PermitRequested const &Event) -> void;
  auto on(PermitAnswered const &Event) -> void;

  /// Applies the limit that a response of \p Target with \p Status names, or
  /// that it names none. The request was sent at \p SentAt.
  auto observeResponse(Server const &Target, unsigned Status,
                       ServerNotice const &Notice, Instant SentAt) -> void;

  /// Applies a limit that another instance observed.
  auto adopt(LimitReport const &Report, std::string_view Source) -> void;

  /// Returns whether \p Attempt may be sent to \p Target. If it may not, no
  /// request is placed there before the time for the next permit. If the answer
  /// is pending, PermitAnswered or timeOut follows.
  auto acquire(Server const &Target, AttemptId Attempt) -> PermitStatus;

  /// Places the request elsewhere if its attempt has waited too long for a
  /// permit. Precondition: the request's attempt waits for one.
  auto timeOut(RequestNumber Number) -> void;

private:
  auto logChange(ServerKey Key, LimitChange Change, std::string_view Source)
      -> void;
  /// Returns the share of the known instances that this one is in contact with.
  /// The parts of a partitioned fleet each use their share of a limit.
  [[nodiscard]] auto fleetShare() const -> double;
  /// Takes a permit as the issuer. Returns std::nullopt if it is granted, or
  /// the time after which to ask again.
  [[nodiscard]] auto issue(ServerKey Key) -> std::optional<Duration>;
  auto countPermit(std::string_view Outcome) -> void;
  /// Denies a permit to a request that waits for one.
  auto deny(RequestNumber Number, ServerKey Key, Duration Wait,
            std::string_view Outcome) -> void;
};

} // namespace dotterel::relay
