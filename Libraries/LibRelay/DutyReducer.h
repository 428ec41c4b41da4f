/// \file
/// Performs the duties that one instance has for all: usage reports and orders
/// of servers.
///
/// The holder of the duty lease acts. It writes each usage report to the lease
/// before it sends it; a later holder repeats what is written there and never
/// reports other counts for those windows. The lease is taken over only after
/// it has been unchanged for longer than its holder may act without a new
/// write.
#pragma once

#include "LibRelay/ServerPlan.h"
#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

class DutyReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(DutyLeaseRead const &Event) -> void;
  auto on(DutyLeaseWritten const &Event) -> void;
  auto on(PeerReported const &Event) -> void;
  auto on(UsageReported const &Event) -> void;
  auto on(ServersOrdered const &Event) -> void;
  auto on(StoreEraObserved const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Returns the peers that perform the duties, or would if the holder failed.
  [[nodiscard]] auto successors() const -> std::vector<std::string>;

private:
  [[nodiscard]] auto hasDuties() const -> bool;
  [[nodiscard]] auto shouldAct(Duration SinceBoot) const -> bool;
  [[nodiscard]] auto mayWrite() const -> bool;
  [[nodiscard]] auto authority() const -> DutyAuthority;
  [[nodiscard]] auto dueReports() const -> std::vector<UsageReport>;
  [[nodiscard]] auto isOverdue(UsageWindow Window) const -> bool;
  auto resign(std::string_view Reason) -> void;
  auto updateLease(Duration SinceBoot) -> void;
  auto sendReports() -> void;
  auto planServers() -> void;
  auto planService(Service const &Target) -> void;
  auto order(Service const &Target, std::string const &Domain,
             bool IsReclaimable, std::uint32_t Wanted, std::uint32_t Present)
      -> void;
};

} // namespace dotterel::relay
