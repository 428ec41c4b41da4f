/// \file
/// The suspects in quarantine that the platform's store holds.
#pragma once

#include "LibGateway/RelayLoop.h"
#include "LibNet/Asio.h"

#include <memory>
#include <string>

namespace dotterel {

/// Reads, writes and deletes the objects of suspects in quarantine. Thread
/// safety: none; used on one executor.
class QuarantineStore {
public:
  /// Precondition: \p Context and \p Loop outlive the tasks on \p Context.
  QuarantineStore(asio::io_context &Context, std::string Address,
                  RelayLoop &Loop);
  ~QuarantineStore();
  QuarantineStore(QuarantineStore const &) = delete;
  auto operator=(QuarantineStore const &) -> QuarantineStore & = delete;

  /// Lists the segments once in each era of the store, until the context stops.
  auto start() -> void;

  /// Repeats the call until the store has carried it out.
  auto run(relay::StoreQuarantine const &Effect) -> void;
  auto run(relay::DeleteQuarantine const &Effect) -> void;

private:
  struct Implementation;
  std::shared_ptr<Implementation> Impl;
};

} // namespace dotterel
