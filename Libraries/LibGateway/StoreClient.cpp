#include "LibGateway/StoreClient.h"

#include "LibCore/Log.h"

#include <fmt/format.h>

namespace dotterel {

using platform::Freshness;
using platform::StoredObject;
using relay::StoreVersion;

struct StoreClient::Implementation {
  asio::io_context &Context; // NOLINT: outlives the client
  std::string Address;
  RelayLoop &Loop; // NOLINT
  std::unique_ptr<HttpConnection> Http;
};

StoreClient::StoreClient(asio::io_context &Context, std::string Address,
                         RelayLoop &Loop)
    : Impl(std::make_unique<Implementation>(
          Implementation{Context, std::move(Address), Loop, nullptr})) {}

StoreClient::~StoreClient() = default;

auto StoreClient::call(HttpRequest const &Request, Duration Timeout)
    -> Awaitable<std::optional<StoreResponse>> {
  if (Impl->Http && !Impl->Http->isIdle())
    Impl->Http.reset();
  if (!Impl->Http) {
    Impl->Http = std::make_unique<HttpConnection>(Impl->Context.get_executor());
    if (!co_await Impl->Http->connect(Impl->Address, StoreCallTimeout)) {
      Impl->Http.reset();
      co_return std::nullopt;
    }
  }
  auto &http = *Impl->Http;
  auto response = co_await http.roundTrip(Request, StoreCallTimeout, Timeout);
  if (!response || !http.isReusable())
    Impl->Http.reset();
  if (!response)
    co_return std::nullopt;
  auto era = platform::readEra(response->Fields);
  auto const known = Impl->Loop.state().Store.Era;
  if (era < known) {
    log(LogLevel::Warning, "store-response-outdated",
        {{"path", Request.Target},
         {"status", response->Status},
         {"era", era},
         {"known", known}});
    co_return std::nullopt;
  }
  if (era > known)
    Impl->Loop.feed(relay::StoreEraObserved{era});
  co_return StoreResponse{response->Status, std::move(response->Body), era};
}

auto StoreClient::get(std::string Path, Duration Wait)
    -> Awaitable<std::optional<StoreResponse>> {
  auto request = HttpRequest{"GET", std::move(Path), "", {}, ""};
  auto response = co_await call(request, Wait + StoreCallTimeout);
  auto status = response ? response->Status : 0;
  auto isReachable = status == StoreOk || status == StoreGone;
  Impl->Loop.feed(relay::StoreReachabilityObserved{
      isReachable, isReachable ? "" : fmt::format("status {}", status)});
  co_return response;
}

auto StoreClient::list(std::string_view Kind, std::vector<StoredObject> &Output,
                       Freshness Required)
    -> Awaitable<std::optional<StoreVersion>> {
  auto asOf = std::optional<StoreVersion>{};
  auto after = std::string{};
  while (true) {
    auto response =
        co_await get(platform::listPath(Kind, after, Required), Duration{});
    if (!response || response->Status != StoreOk)
      co_return std::nullopt;
    auto page = platform::readPage(response->Body, response->Era);
    if (asOf && response->Era != asOf->era())
      co_return std::nullopt;
    if (!page) {
      log(LogLevel::Warning, "store-page-unreadable", {{"kind", Kind}});
      co_return std::nullopt;
    }
    if (!asOf)
      asOf = page->AsOf;
    for (auto &it : page->Objects)
      Output.push_back(std::move(it));
    if (!page->HasMore)
      co_return asOf;
    if (page->LastName.empty() || page->LastName == after) {
      // Without a name to continue from, the rest of the list is unknown.
      log(LogLevel::Warning, "store-page-unreadable",
          {{"kind", Kind}, {"after", after}, {"last", page->LastName}});
      co_return std::nullopt;
    }
    after = page->LastName;
  }
}

auto StoreClient::close() -> void { Impl->Http.reset(); }

} // namespace dotterel
