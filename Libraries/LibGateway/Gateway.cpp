#include "LibGateway/Gateway.h"

#include "LibCore/BootClock.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibGateway/CallerServer.h"
#include "LibGateway/LeaderClient.h"
#include "LibGateway/PeerSocket.h"
#include "LibGateway/QuarantineStore.h"
#include "LibGateway/RelayLoop.h"
#include "LibGateway/RelayMetrics.h"
#include "LibGateway/ServerClient.h"
#include "LibGateway/StoreFollower.h"
#include "LibNet/Task.h"

#include <csignal>
#include <fmt/format.h>

namespace dotterel {

namespace {

/// Resolution of all time-outs; an idle tick costs about ten microseconds.
constexpr auto TickInterval = Duration{50ms};
/// Idle connections are checked once in this many ticks.
constexpr auto TicksBetweenExpiry = 20U;
constexpr auto StopPollInterval = Duration{20ms};
constexpr auto MetricsPath = std::string_view{"/metrics"};
constexpr auto StatusOk = 200U;
constexpr auto StatusNotFound = 404U;

auto metricsAddress(GatewaySettings const &Settings) -> std::string {
  auto const &peer = Settings.Self.PeerAddress;
  return fmt::format("{}:{}", peer.substr(0, peer.find(':')),
                     Settings.MetricsPort);
}

} // namespace

struct Gateway::Implementation {
  Implementation(GatewaySettings InitialSettings, std::string Path)
      : Settings(std::move(InitialSettings)), SettingsPath(std::move(Path)),
        Context(1), Loop(relay::makeState(Settings.Self, Settings.Options,
                                          std::chrono::steady_clock::now())),
        Callers(Context, Settings, Loop),
        Servers(Context, Loop,
                [this](relay::RequestNumber Number) {
                  return Callers.awaitRoom(Number);
                }),
        Store(Context, Settings.StoreAddress,
              {Settings.Self.Instance, Settings.Self.PeerAddress}, Loop),
        Quarantine(Context, Settings.StoreAddress, Loop),
        LeaderCalls(Context, Settings.PlatformAddress, Loop),
        Peers(Context, Settings.Self.PeerAddress, Loop),
        Signals(Context, SIGINT, SIGTERM, SIGHUP) {
    Loop.setEffectHandler([this](relay::Effect &Effect) {
      std::visit([this](auto &Alternative) { carryOut(Alternative); }, Effect);
    });
  }

  template <typename T> auto carryOut(T &Effect) -> void {
    if constexpr (requires { Callers.run(Effect); })
      Callers.run(Effect);
    else if constexpr (requires { Servers.run(Effect); })
      Servers.run(Effect);
    else if constexpr (requires { Metrics.run(Effect); })
      Metrics.run(Effect);
    else if constexpr (requires { Store.run(Effect); })
      Store.run(Effect);
    else if constexpr (requires { Quarantine.run(Effect); })
      Quarantine.run(Effect);
    else if constexpr (requires { LeaderCalls.run(Effect); })
      LeaderCalls.run(Effect);
    else
      Peers.run(Effect);
  }

  auto carryOut(relay::WriteLog &Effect) -> void {
    logLine(Effect.Level, Effect.Event, Effect.Pairs);
  }

  auto carryOut(relay::StopProcess &Effect) -> void {
    WriteTime = Effect.WriteTime;
    IsStopping = true;
  }

  auto awaitSignal() -> void {
    Signals.async_wait([this](boost::system::error_code const &ec, int Number) {
      if (ec)
        return;
      if (Number == SIGHUP) {
        reload();
      } else {
        Callers.closeAfterResponses();
        Loop.feed(relay::LeaveRequested{});
      }
      awaitSignal();
    });
  }

  /// Applies the settings that can change at run time: the log level.
  auto reload() -> void {
    try {
      auto next = GatewaySettings::load(SettingsPath);
      setLogLevel(parseLogLevel(next.LogLevel));
      log(LogLevel::Info, "settings-reloaded", {{"log_level", next.LogLevel}});
    } catch (std::exception const &error) {
      log(LogLevel::Error, "settings-invalid", {{"error", error.what()}});
    }
  }

  auto serveMetrics(HttpExchange &Exchange) -> Awaitable<void> {
    if (Exchange.path() != MetricsPath)
      co_return co_await Exchange.respond({StatusNotFound, "", {}, ""});
    co_await Exchange.respond({StatusOk,
                               "text/plain; version=0.0.4",
                               {},
                               Metrics.text(Loop.state(), Callers.load())});
  }

  auto startMetrics() -> void {
    if (Settings.MetricsPort == 0)
      return;
    auto handler = [this](HttpExchange &Exchange) {
      return serveMetrics(Exchange);
    };
    auto refuse = [](ResultCode Code) {
      return HttpResponse{describe(Code).HttpStatus, "", {}, ""};
    };
    MetricsServer = std::make_unique<HttpServer>(
        Context, metricsAddress(Settings), HttpLimits{}, handler, refuse);
    // Callers are served without metrics, too.
    try {
      MetricsServer->start();
    } catch (boost::system::system_error const &error) {
      log(LogLevel::Error, "metrics-unavailable",
          {{"address", metricsAddress(Settings)}, {"error", error.what()}});
    }
  }

  auto applyConfiguration() -> void {
    auto const &current = Loop.state().Config;
    if (!current || current == Applied)
      return;
    Applied = current;
    Callers.applyLimits(current->limits());
  }

  auto tick() -> Awaitable<void> {
    auto timer = asio::steady_timer(Context);
    auto ec = boost::system::error_code{};
    for (auto n = 1U; !IsStopping; ++n) {
      Loop.feed(relay::Tick{
          bootTime(), std::chrono::system_clock::now().time_since_epoch()});
      applyConfiguration();
      if (n % TicksBetweenExpiry == 0)
        Servers.expireIdle();
      timer.expires_after(TickInterval);
      co_await timer.async_wait(useError(ec));
    }
    // Every request has its final response; wait until all are written.
    auto const until = std::chrono::steady_clock::now() + WriteTime;
    while (!Callers.isIdle() && std::chrono::steady_clock::now() < until) {
      timer.expires_after(StopPollInterval);
      co_await timer.async_wait(useError(ec));
    }
    log(LogLevel::Info, "instance-stopped",
        {{"instance", Settings.Self.Instance},
         {"answers_out", Callers.isIdle()}});
    Context.stop();
  }

  GatewaySettings Settings;
  std::string SettingsPath;
  asio::io_context Context;
  RelayLoop Loop;
  RelayMetrics Metrics;
  CallerServer Callers;
  ServerClient Servers;
  StoreFollower Store;
  QuarantineStore Quarantine;
  LeaderClient LeaderCalls;
  PeerSocket Peers;
  asio::signal_set Signals;
  std::unique_ptr<HttpServer> MetricsServer;
  std::shared_ptr<relay::Configuration const> Applied;
  bool IsStopping = false;
  /// Time that callers have to read their responses before the process ends.
  Duration WriteTime{};
};

Gateway::Gateway(GatewaySettings Settings, std::string SettingsPath)
    : Impl(std::make_unique<Implementation>(std::move(Settings),
                                            std::move(SettingsPath))) {}

Gateway::~Gateway() = default;

auto Gateway::run() -> void {
  // Writes to a closed connection return an error instead of a signal.
  std::signal(SIGPIPE, SIG_IGN);
  Impl->awaitSignal();
  Impl->startMetrics();
  Impl->Callers.start();
  Impl->Peers.start();
  Impl->Store.start();
  Impl->Quarantine.start();
  log(LogLevel::Info, "instance-started",
      {{"instance", Impl->Settings.Self.Instance},
       {"run", fmt::format("{:016x}", Impl->Settings.Self.Incarnation)},
       {"callers", Impl->Settings.Self.CallerAddress},
       {"store", Impl->Settings.StoreAddress}});
  spawnService(Impl->Context, "ticker",
               [self = Impl.get()] { return self->tick(); });
  runEventLoop(Impl->Context);
}

} // namespace dotterel
