/// \file
/// Follows the configuration, servers and instances in the platform's store.
#pragma once

#include "LibGateway/RelayLoop.h"
#include "LibNet/HttpClient.h"

#include <functional>
#include <memory>
#include <string>

namespace dotterel {

/// Lists and watches the kinds of objects that an instance needs, and registers
/// the instance. Thread safety: none; used on one executor.
class StoreFollower {
public:
  StoreFollower(asio::io_context &Context, std::string Address,
                relay::PeerRecord Record, RelayLoop &Loop);
  ~StoreFollower();
  StoreFollower(StoreFollower const &) = delete;
  auto operator=(StoreFollower const &) -> StoreFollower & = delete;

  /// Starts following the store, until the context stops.
  auto start() -> void;

  auto run(relay::ReadLease const &Effect) -> void;
  auto run(relay::WriteLease const &Effect) -> void;
  auto run(relay::ReadLeaderLease const &Effect) -> void;
  auto run(relay::WriteLeaderLease const &Effect) -> void;

private:
  struct Implementation;
  std::shared_ptr<Implementation> Impl;
};

} // namespace dotterel
