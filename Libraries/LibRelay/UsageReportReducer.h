/// \file
/// Reports the usage of customers to the platform.
#pragma once

#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Used by the leader. A report is written to the leader lease before it is
/// sent, and sent again until the platform has accepted it or it is overdue.
class UsageReportReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(UsageReported const &Event) -> void;

  /// Returns the reports of windows that have ended and are not in the lease.
  /// Precondition: there is a configuration, and the lease is known.
  [[nodiscard]] auto due() const -> std::vector<UsageReport>;

  /// Sends the reports in the lease that the platform has not accepted, if this
  /// instance holds it.
  auto send() -> void;

private:
  [[nodiscard]] auto isOverdue(UsageWindow Window) const -> bool;
};

} // namespace dotterel::relay
