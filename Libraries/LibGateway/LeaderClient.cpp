#include "LibGateway/LeaderClient.h"

#include "LibCore/BootClock.h"
#include "LibCore/Log.h"
#include "LibNet/HttpClient.h"
#include "LibNet/Task.h"
#include "platform/LeaderCalls.h"

#include <deque>
#include <variant>

namespace dotterel {

namespace {

constexpr auto CallTimeout = Duration{1s};
/// Limit on calls that wait. Further ones are dropped; the reducer repeats what
/// is not confirmed.
constexpr auto MaximumQueued = std::size_t{64};

using LeaderCall = std::variant<relay::SendUsageReport, relay::OrderServers>;

auto makeRequest(relay::SendUsageReport const &Call, std::string &Body)
    -> HttpRequest {
  return platform::usageRequest(Call, Body);
}

auto makeRequest(relay::OrderServers const &Call, std::string &Body)
    -> HttpRequest {
  return platform::orderServersRequest(Call, Body);
}

auto makeResult(relay::SendUsageReport const &Call, unsigned Status)
    -> relay::UsageReported {
  return {Call.Report.Window, platform::readCallResult(Status), Status};
}

auto makeResult(relay::OrderServers const &Call, unsigned Status)
    -> relay::ServersOrdered {
  return {Call.Service,
          Call.Domain,
          Call.IsReclaimable,
          Call.Count,
          platform::readCallResult(Status),
          Status};
}

} // namespace

struct LeaderClient::Implementation
    : std::enable_shared_from_this<LeaderClient::Implementation> {
  Implementation(asio::io_context &Context, std::string Address,
                 RelayLoop &Loop)
      : Context(Context), Address(std::move(Address)), Loop(Loop) {}

  auto push(LeaderCall Call) -> void {
    if (Address.empty() || Queue.size() >= MaximumQueued)
      return;
    Queue.push_back(std::move(Call));
    if (IsBusy)
      return;
    IsBusy = true;
    spawnTask(Context, "leader-caller",
              [self = shared_from_this()] { return self->callAll(); });
  }

  auto callAll() -> Awaitable<void> {
    while (!Queue.empty()) {
      auto call = std::move(Queue.front());
      Queue.pop_front();
      auto status = 0U;
      try {
        status = co_await std::visit(
            [this](auto const &it) { return send(it); }, call);
      } catch (std::exception const &error) {
        log(LogLevel::Warning, "leader-call-failed", {{"error", error.what()}});
      }
      std::visit([&](auto const &it) { Loop.feed(makeResult(it, status)); },
                 call);
    }
    IsBusy = false;
  }

  /// Returns the status of the response, or 0 if there is none.
  template <typename T> auto send(T const &Call) -> Awaitable<unsigned> {
    if (!Http || !Http->isIdle()) {
      Http = std::make_unique<HttpConnection>(Context.get_executor());
      if (!co_await Http->connect(Address, CallTimeout)) {
        Http.reset();
        co_return 0;
      }
    }
    auto body = std::string{};
    auto const request = makeRequest(Call, body);
    // The process may have been suspended while it connected.
    if (bootTime() >= Call.Authority.ValidUntil) {
      log(LogLevel::Info, "leader-call-dropped",
          {{"fence", Call.Authority.FencingNumber}});
      co_return 0;
    }
    auto response = co_await Http->roundTrip(request, CallTimeout, CallTimeout);
    if (!response || !Http->isReusable())
      Http.reset();
    co_return response ? response->Status : 0;
  }

  asio::io_context &Context; // NOLINT: outlives this object
  std::string Address;
  RelayLoop &Loop; // NOLINT
  std::unique_ptr<HttpConnection> Http;
  std::deque<LeaderCall> Queue;
  bool IsBusy = false;
};

LeaderClient::LeaderClient(asio::io_context &Context, std::string Address,
                           RelayLoop &Loop)
    : Impl(std::make_shared<Implementation>(Context, std::move(Address),
                                            Loop)) {}

LeaderClient::~LeaderClient() = default;

auto LeaderClient::run(relay::SendUsageReport const &Effect) -> void {
  Impl->push(Effect);
}

auto LeaderClient::run(relay::OrderServers const &Effect) -> void {
  Impl->push(Effect);
}

} // namespace dotterel
