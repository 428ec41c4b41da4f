#include "LibGateway/QuarantineStore.h"

#include "LibCore/Log.h"
#include "LibGateway/Backoff.h"
#include "LibGateway/StoreClient.h"
#include "LibNet/Task.h"

#include <algorithm>
#include <array>
#include <span>

namespace dotterel {

namespace {

/// Upper bound of the backoff after a failed call. No request waits for it.
constexpr auto MaximumBackoff = Duration{3s};
/// Interval at which an instance checks whether the store was restored.
constexpr auto EraCheckInterval = Duration{500ms};

} // namespace

struct QuarantineStore::Implementation
    : std::enable_shared_from_this<QuarantineStore::Implementation> {
  Implementation(asio::io_context &Context, std::string Address,
                 RelayLoop &Loop)
      : Context(Context), Address(std::move(Address)), Loop(Loop) {}

  /// Lists the suspects in quarantine once in each era of the store. Later ones
  /// are learned from the peers.
  auto follow() -> Awaitable<void> {
    auto client = StoreClient(Context, Address, Loop);
    auto backoff = Backoff{};
    while (true) {
      auto const era = Loop.state().Store.Era;
      auto objects = std::vector<platform::StoredObject>{};
      if (!co_await client.list(platform::QuarantineKind, objects)) {
        co_await sleepFor(backoff.next(MaximumBackoff));
        continue;
      }
      backoff.reset();
      auto listed = relay::QuarantineListed{};
      for (auto const &it : objects) {
        if (auto suspect = platform::readQuarantine(it))
          listed.Suspects.push_back(*suspect);
      }
      Loop.feed(std::move(listed));
      client.close();
      while (Loop.state().Store.Era <= era)
        co_await sleepFor(EraCheckInterval);
    }
  }

  /// Makes a call until the store has carried it out.
  auto callUntilDone(HttpRequest Request, std::string Body,
                     std::span<unsigned const> Done) -> Awaitable<void> {
    Request.Body = Body;
    auto client = StoreClient(Context, Address, Loop);
    auto backoff = Backoff{};
    while (true) {
      auto response = co_await client.call(Request, StoreCallTimeout);
      auto status = response ? response->Status : 0;
      if (std::ranges::find(Done, status) != Done.end())
        co_return;
      log(LogLevel::Warning, "quarantine-not-stored",
          {{"method", Request.Method},
           {"path", Request.Target},
           {"status", status}});
      co_await sleepFor(backoff.next(MaximumBackoff));
    }
  }

  auto write(relay::StoreQuarantine Effect) -> Awaitable<void> {
    static constexpr auto Done =
        std::to_array<unsigned>({StoreOk, StoreCreated, StoreConflict});
    auto request = HttpRequest{"POST",
                               platform::listPath(platform::QuarantineKind, ""),
                               "application/json",
                               {},
                               ""};
    co_await callUntilDone(std::move(request),
                           platform::writeQuarantine(Effect.Suspect), Done);
  }

  auto remove(relay::DeleteQuarantine Effect) -> Awaitable<void> {
    static constexpr auto Done =
        std::to_array<unsigned>({StoreOk, StoreNotFound});
    for (auto kind :
         {relay::SuspectKind::Request, relay::SuspectKind::AmbiguousRequest}) {
      auto const path =
          platform::objectPath(platform::QuarantineKind,
                               platform::quarantineName({Effect.Key, kind}));
      co_await callUntilDone({"DELETE", path, "", {}, ""}, "", Done);
    }
  }

  asio::io_context &Context; // NOLINT: outlives the tasks
  std::string Address;
  RelayLoop &Loop; // NOLINT
};

QuarantineStore::QuarantineStore(asio::io_context &Context, std::string Address,
                                 RelayLoop &Loop)
    : Impl(std::make_shared<Implementation>(Context, std::move(Address),
                                            Loop)) {}

QuarantineStore::~QuarantineStore() = default;

auto QuarantineStore::start() -> void {
  spawnService(Impl->Context, "quarantine-follower",
               [self = Impl] { return self->follow(); });
}

auto QuarantineStore::run(relay::StoreQuarantine const &Effect) -> void {
  spawnTask(Impl->Context, "quarantine-writer",
            [self = Impl, Effect] { return self->write(Effect); });
}

auto QuarantineStore::run(relay::DeleteQuarantine const &Effect) -> void {
  spawnTask(Impl->Context, "quarantine-remover",
            [self = Impl, Effect] { return self->remove(Effect); });
}

} // namespace dotterel
