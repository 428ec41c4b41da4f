#include "LibInstance/Instance.h"

#include "LibCore/Error.h"
#include "LibCore/Incarnation.h"
#include "LibInstance/BackendClient.h"
#include "LibInstance/CallerFrontend.h"
#include "LibInstance/ControlLoop.h"
#include "LibInstance/Metrics.h"
#include "LibInstance/PeerMesh.h"
#include "LibInstance/PlatformClient.h"
#include "LibNet/Task.h"

#include <fmt/format.h>
#include <iterator>

namespace dotterel {

namespace {

constexpr auto TickInterval = Duration{50ms};
constexpr auto StopPollInterval = Duration{20ms};
constexpr auto StopTimeout = Duration{5s};

auto identityFrom(Settings const &Config) -> InstanceIdentity {
  return {Config.Instance, generateIncarnation(), Config.Domain,
          Config.CallerAddress, Config.PeerAddress};
}

auto optionsFrom(Settings const &Config) -> ControlOptions {
  return {
      Config.LeaseDuration, Config.LeaveGrace, Config.MaximumClockDrift, {}};
}

auto requestFrom(ForwardedCall &&Message) -> CallRequest {
  auto request = CallRequest{};
  request.Kind = CallKind::Service;
  request.Caller = std::move(Message.Caller);
  request.Body = std::make_shared<std::string const>(std::move(Message.Body));
  request.ContentType = std::move(Message.ContentType);
  request.RequestedDeadline = Message.TimeLeft;
  request.Service = std::move(Message.Service);
  request.Method = std::move(Message.Method);
  request.Path = std::move(Message.Path);
  request.Key = std::move(Message.Key);
  return request;
}

} // namespace

struct Instance::Implementation {
  explicit Implementation(Settings Config)
      : Config(std::move(Config)), Context(1),
        Loop(makeState(identityFrom(this->Config), optionsFrom(this->Config),
                       std::chrono::steady_clock::now())),
        Frontend(Context, this->Config, Loop, InstanceMetrics),
        Platform(Context, this->Config.ObjectApiAddress, Loop),
        Backends(Context, Loop),
        Mesh(Context, this->Config.Instance, Loop.state().Self.Run,
             this->Config.PeerKey, makeCallbacks()) {
    Loop.setEffectHandler([this](Effect &Emitted) {
      std::visit([this](auto &Alternative) { carryOut(Alternative); }, Emitted);
    });
  }

  auto makeCallbacks() -> PeerCallbacks {
    return {
        [this](InstanceId const &Peer, Incarnation Run) {
          Loop.feed(PeerConnected{Peer, Run});
        },
        [this](InstanceId const &Peer) { Loop.feed(PeerDisconnected{Peer}); },
        [this](InstanceId const &Peer, PeerMessage Message) {
          receive(Peer, std::move(Message));
        },
        [this] {
          InstanceMetrics.run(
              IncrementCounter{CounterMetric::PeersRefused, {}, {}});
          log(LogLevel::Warning, "peer-refused",
              {{"code", static_cast<int>(ResultCode::PeerKeyMismatch)}});
        }};
  }

  auto receive(InstanceId const &Peer, PeerMessage Message) -> void {
    std::visit([&](auto &Alternative) { handle(Peer, Alternative); }, Message);
  }

  auto handle(InstanceId const & /*Peer*/, PeerHello & /*Message*/) -> void {}

  auto handle(InstanceId const &Peer, PeerHeartbeat &Message) -> void {
    Loop.feed(PeerHeartbeatReceived{Peer, std::move(Message)});
  }

  auto handle(InstanceId const &Peer, ConfigurationRequest & /*Message*/)
      -> void {
    Loop.feed(ConfigurationRequested{Peer});
  }

  auto handle(InstanceId const &Peer, ConfigurationOffer &Message) -> void {
    try {
      Loop.feed(ConfigurationReceived{
          FleetConfiguration::compile(Message.Text, Message.Number)});
    } catch (Error const &error) {
      log(LogLevel::Error, "configuration-invalid",
          {{"peer", Peer.text()}, {"error", error.what()}});
    }
  }

  auto handle(InstanceId const &Peer, ForwardedCall &Message) -> void {
    auto const *state = &Loop.state();
    auto it = state->Members.Peers.find(Peer);
    if (it == state->Members.Peers.end())
      return;
    auto origin =
        ForwardOrigin{Peer, it->second.Run, Message.Call, Message.OwnerRun};
    Loop.feed(CallArrived{Frontend.allocateCall(),
                          requestFrom(std::move(Message)), origin});
  }

  auto handle(InstanceId const &Peer, ForwardedResponse &Message) -> void {
    Loop.feed(ForwardedResponseReceived{Peer, std::move(Message)});
  }

  template <typename T> auto carryOut(T &Effect) -> void {
    if constexpr (requires { Frontend.run(Effect); })
      Frontend.run(Effect);
    else if constexpr (requires { Backends.run(Effect); })
      Backends.run(Effect);
    else if constexpr (requires { Platform.run(Effect); })
      Platform.run(Effect);
    else
      InstanceMetrics.run(Effect);
  }

  auto carryOut(ConnectPeer &Effect) -> void {
    Mesh.connect(Effect.Peer, Effect.Address);
  }

  auto carryOut(DisconnectPeer &Effect) -> void {
    Mesh.disconnect(Effect.Peer);
  }

  auto carryOut(SendPeer &Effect) -> void {
    Mesh.send(Effect.Peer, Effect.Message);
  }

  auto carryOut(WriteLog &Effect) -> void {
    auto line = std::string{};
    for (auto const &it : Effect.Fields)
      line += fmt::format("{}{}={}", line.empty() ? "" : " ", it.Key,
                          quoteLogValue(it.Value));
    logLine(Effect.Level, Effect.Event, line);
  }

  auto carryOut(StopProcess & /*Effect*/) -> void { IsStopping = true; }

  auto tick() -> Awaitable<void> {
    auto timer = asio::steady_timer(Context);
    auto ec = boost::system::error_code{};
    while (!IsStopping) {
      Loop.feed(Tick{});
      timer.expires_after(TickInterval);
      co_await timer.async_wait(useError(ec));
    }
    // Every call has its final response; wait until the responses are sent.
    for (auto waited = Duration{}; !Frontend.isIdle() && waited < StopTimeout;
         waited += StopPollInterval) {
      timer.expires_after(StopPollInterval);
      co_await timer.async_wait(useError(ec));
    }
    Mesh.stop();
    Context.stop();
  }

  Settings Config;
  asio::io_context Context;
  ControlLoop Loop;
  Metrics InstanceMetrics;
  CallerFrontend Frontend;
  PlatformClient Platform;
  BackendClient Backends;
  PeerMesh Mesh;
  bool IsStopping = false;
};

Instance::Instance(Settings Config)
    : Impl(std::make_unique<Implementation>(std::move(Config))) {}

Instance::~Instance() = default;

auto Instance::run() -> void {
  auto signals = asio::signal_set(Impl->Context, SIGINT, SIGTERM);
  signals.async_wait([this](boost::system::error_code const &ec, int) {
    if (!ec)
      Impl->Loop.feed(LeaveRequested{});
  });
  Impl->Mesh.listen(Impl->Config.PeerAddress);
  Impl->Frontend.start();
  log(LogLevel::Info, "instance-started",
      {{"instance", Impl->Config.Instance.text()},
       {"run", fmt::format("{:016x}", Impl->Loop.state().Self.Run)}});
  spawnService(Impl->Context, "ticker", [this] { return Impl->tick(); });
  runEventLoop(Impl->Context);
}

} // namespace dotterel
