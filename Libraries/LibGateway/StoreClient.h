/// \file
/// Calls of the platform's store.
#pragma once

#include "LibGateway/RelayLoop.h"
#include "LibNet/Asio.h"
#include "LibNet/HttpClient.h"
#include "platform/Store.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// Time-out of a call, in addition to the wait that the call requests. About a
/// hundred times the usual response time, so that a slow store is still used.
constexpr auto StoreCallTimeout = Duration{1500ms};

/// Status codes of the store's responses.
enum StoreStatus : unsigned {
  StoreOk = 200,
  StoreCreated = 201,
  StoreNotFound = 404,
  StoreConflict = 409,
  StoreGone = 410,
};

struct StoreResponse {
  unsigned Status = 0;
  std::string Body;
  std::uint64_t Era = 0;
};

/// Makes calls one after another over a persistent connection, which is
/// replaced when it fails. Passes newer eras of the store and, for reads,
/// whether it is reachable, on to the loop. Thread safety: none; used on one
/// executor.
class StoreClient {
public:
  /// Precondition: \p Context and \p Loop outlive the client.
  StoreClient(asio::io_context &Context, std::string Address, RelayLoop &Loop);
  ~StoreClient();
  StoreClient(StoreClient const &) = delete;
  auto operator=(StoreClient const &) -> StoreClient & = delete;

  /// Makes one call. Returns std::nullopt if no complete response of the latest
  /// era arrived. Precondition: no other call is in progress.
  auto call(HttpRequest const &Request, Duration Timeout)
      -> Awaitable<std::optional<StoreResponse>>;

  /// Reads \p Path, where the store may wait for \p Wait. Precondition: as for
  /// call.
  auto get(std::string Path, Duration Wait)
      -> Awaitable<std::optional<StoreResponse>>;

  /// Lists all objects of \p Kind. Returns the version of the first page, from
  /// which changes have to be watched, or std::nullopt on errors and if the
  /// pages are of different eras. Precondition: as for call.
  auto list(std::string_view Kind, std::vector<platform::StoredObject> &Output,
            platform::Freshness Required = platform::Freshness::Current)
      -> Awaitable<std::optional<relay::StoreVersion>>;

  /// Closes the connection. Precondition: no call is in progress.
  auto close() -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
