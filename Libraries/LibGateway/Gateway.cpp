#include "LibGateway/Gateway.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibGateway/CallerFront.h"
#include "LibGateway/Loop.h"
#include "LibGateway/PeerSocket.h"
#include "LibGateway/RelayMetrics.h"
#include "LibGateway/ServerClient.h"
#include "LibGateway/StoreFollower.h"

#include <csignal>
#include <fmt/format.h>

namespace dotterel {

namespace {

/// Resolution of all time-outs; an idle tick costs some ten microseconds.
constexpr auto TickInterval = Duration{50ms};
/// Idle connections are looked at every so many ticks.
constexpr auto TicksBetweenExpiry = 20U;
constexpr auto StopPollInterval = Duration{20ms};
/// Time for the last answers to leave once they are decided.
constexpr auto StopBound = Duration{500ms};
constexpr auto MetricsPath = std::string_view{"/metrics"};
constexpr auto StatusOk = 200U;
constexpr auto StatusNotFound = 404U;

auto metricsAddress(GatewaySettings const &Given) -> std::string {
  auto const &peer = Given.Self.PeerAddress;
  return fmt::format("{}:{}", peer.substr(0, peer.find(':')),
                     Given.MetricsPort);
}

} // namespace

struct Gateway::Implementation {
  Implementation(GatewaySettings Settings, std::string Path)
      : Given(std::move(Settings)), SettingsPath(std::move(Path)), Context(1),
        Loop(relay::makeState(Given.Self, Given.Decisions,
                              std::chrono::steady_clock::now())),
        Front(Context, Given, Loop), Servers(Context, Loop),
        Store(Context, Given.StoreAddress,
              {Given.Self.Instance, Given.Self.PeerAddress}, Loop),
        Peers(Context, Given.Self.PeerAddress, Loop),
        Signals(Context, SIGINT, SIGTERM, SIGHUP) {
    Loop.setEffectHandler([this](relay::Effect &What) {
      std::visit([this](auto &Kind) { carryOut(Kind); }, What);
    });
  }

  template <typename T> auto carryOut(T &What) -> void {
    if constexpr (requires { Front.run(What); })
      Front.run(What);
    else if constexpr (requires { Servers.run(What); })
      Servers.run(What);
    else if constexpr (requires { Measured.run(What); })
      Measured.run(What);
    else if constexpr (requires { Store.run(What); })
      Store.run(What);
    else
      Peers.run(What);
  }

  auto carryOut(relay::WriteLog &What) -> void {
    logLine(What.Level, What.Event, What.Pairs);
  }

  auto carryOut(relay::StopProcess & /*What*/) -> void { IsStopping = true; }

  auto awaitSignal() -> void {
    Signals.async_wait([this](boost::system::error_code const &ec, int Number) {
      if (ec)
        return;
      if (Number == SIGHUP) {
        reload();
      } else {
        Front.closeAfterResponses();
        Loop.feed(relay::LeaveRequested{});
      }
      awaitSignal();
    });
  }

  /// Takes over what can change while the process runs.
  auto reload() -> void {
    try {
      auto next = GatewaySettings::load(SettingsPath);
      setLogLevel(parseLogLevel(next.LogLevel));
      log(LogLevel::Info, "settings-reloaded", {{"log_level", next.LogLevel}});
    } catch (Error const &problem) {
      log(LogLevel::Error, "settings-invalid", {{"problem", problem.what()}});
    }
  }

  auto serveMetrics(HttpExchange &Exchange) -> Awaitable<void> {
    if (Exchange.path() != MetricsPath)
      co_return co_await Exchange.respond({StatusNotFound, "", {}, ""});
    co_await Exchange.respond({StatusOk,
                               "text/plain; version=0.0.4",
                               {},
                               Measured.text(Loop.state())});
  }

  auto startMetrics() -> void {
    if (Given.MetricsPort == 0)
      return;
    auto handler = [this](HttpExchange &Exchange) {
      return serveMetrics(Exchange);
    };
    auto refuse = [](ResultCode Code) {
      return HttpResponse{describe(Code).HttpStatus, "", {}, ""};
    };
    MetricsServer = std::make_unique<HttpServer>(Context, metricsAddress(Given),
                                                 HttpLimits{}, handler, refuse);
    MetricsServer->start();
  }

  auto applyConfiguration() -> void {
    auto const &current = Loop.state().Config;
    if (!current || current == Applied)
      return;
    Applied = current;
    Front.applyLimits(current->limits());
  }

  auto tick() -> Awaitable<void> {
    auto timer = asio::steady_timer(Context);
    auto ec = boost::system::error_code{};
    for (auto n = 1U; !IsStopping; ++n) {
      Loop.feed(relay::Tick{});
      applyConfiguration();
      if (n % TicksBetweenExpiry == 0)
        Servers.expireIdle();
      timer.expires_after(TickInterval);
      co_await timer.async_wait(useError(ec));
    }
    // The final answers are decided; let them reach their callers.
    for (auto waited = Duration{}; !Front.isIdle() && waited < StopBound;
         waited += StopPollInterval) {
      timer.expires_after(StopPollInterval);
      co_await timer.async_wait(useError(ec));
    }
    log(LogLevel::Info, "instance-stopped",
        {{"instance", Given.Self.Instance}, {"answers_out", Front.isIdle()}});
    Context.stop();
  }

  GatewaySettings Given;
  std::string SettingsPath;
  asio::io_context Context;
  RelayLoop Loop;
  RelayMetrics Measured;
  CallerFront Front;
  ServerClient Servers;
  StoreFollower Store;
  PeerSocket Peers;
  asio::signal_set Signals;
  std::unique_ptr<HttpServer> MetricsServer;
  std::shared_ptr<relay::Configuration const> Applied;
  bool IsStopping = false;
};

Gateway::Gateway(GatewaySettings Given, std::string SettingsPath)
    : Self(std::make_unique<Implementation>(std::move(Given),
                                            std::move(SettingsPath))) {}

Gateway::~Gateway() = default;

auto Gateway::run() -> void {
  // A caller that is gone shows as an error of the write.
  std::signal(SIGPIPE, SIG_IGN);
  Self->awaitSignal();
  Self->startMetrics();
  Self->Front.start();
  Self->Peers.start();
  Self->Store.start();
  log(LogLevel::Info, "instance-started",
      {{"instance", Self->Given.Self.Instance},
       {"run", fmt::format("{:016x}", Self->Given.Self.Incarnation)},
       {"callers", Self->Given.Self.CallerAddress},
       {"store", Self->Given.StoreAddress}});
  spawnTask(Self->Context, [self = Self.get()] { return self->tick(); });
  Self->Context.run();
}

} // namespace dotterel
