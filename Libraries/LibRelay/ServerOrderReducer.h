/// \file
/// Orders the servers that planServers wants.
#pragma once

#include "LibRelay/ServerPlan.h"
#include "LibRelay/SubReducer.h"

namespace dotterel::relay {

/// Used by the leader. An order is repeated until the servers are there.
class ServerOrderReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ServersOrdered const &Event) -> void;

  /// Plans and orders the servers of all services, if this instance holds the
  /// leader lease. Precondition: there is a configuration.
  auto plan() -> void;

private:
  /// Servers that are not leaving, and those of them that can be used.
  struct CountedServers {
    ServersByDomain Present;
    ServersByDomain Usable;
  };

  struct ServerKind {
    std::string Domain;
    bool IsReclaimable = false;
  };

  [[nodiscard]] auto count(Service const &Target) const -> CountedServers;
  /// Returns the servers at the start, or none until their number is known.
  auto baseline(Service const &Target, ServersByDomain const &Present)
      -> ServerCounts const &;
  auto planService(Service const &Target) -> void;
  auto order(Service const &Target, ServerKind const &Kind,
             std::uint32_t Wanted, std::uint32_t Present) -> void;
};

} // namespace dotterel::relay
