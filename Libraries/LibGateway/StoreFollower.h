/// \file
/// Follows the platform's store: configuration, servers, other instances.
#pragma once

#include "LibGateway/Loop.h"
#include "LibNet/HttpClient.h"

#include <functional>
#include <memory>
#include <string>

namespace dotterel {

/// Lists and watches the kinds that an instance needs, and registers the
/// instance. Thread safety: none; used on one executor.
class StoreFollower {
public:
  StoreFollower(asio::io_context &Context, std::string Address,
                relay::PeerRecord Self, RelayLoop &Owner);
  ~StoreFollower();
  StoreFollower(StoreFollower const &) = delete;
  auto operator=(StoreFollower const &) -> StoreFollower & = delete;

  /// Starts to follow. Runs until the context stops.
  auto start() -> void;

  auto run(relay::ReadLease const &What) -> void;
  auto run(relay::WriteLease const &What) -> void;

private:
  struct Implementation;
  std::shared_ptr<Implementation> Self;
};

} // namespace dotterel
