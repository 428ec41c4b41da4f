#include "LibInstance/Instance.h"

#include "LibCore/Error.h"
#include "LibCore/Incarnation.h"
#include "LibInstance/BackendClient.h"
#include "LibInstance/CallerFrontend.h"
#include "LibInstance/Core.h"
#include "LibInstance/Metrics.h"
#include "LibInstance/PeerMesh.h"
#include "LibInstance/PlatformClient.h"

#include <fmt/format.h>
#include <iterator>

namespace dotterel {

namespace {

constexpr auto TickInterval = Duration{50ms};
constexpr auto StopPollInterval = Duration{20ms};
constexpr auto StopBound = Duration{5s};

auto identityFrom(Settings const &Given) -> InstanceIdentity {
  return {Given.Instance, generateIncarnation(), Given.Domain,
          Given.CallerAddress, Given.PeerAddress};
}

auto optionsFrom(Settings const &Given) -> ControlOptions {
  return {Given.LeaseDuration, Given.LeaveGrace, Given.MaximumClockDrift, {}};
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
  explicit Implementation(Settings Given)
      : Given(std::move(Given)), Context(1),
        Heart(makeState(identityFrom(this->Given), optionsFrom(this->Given),
                        std::chrono::steady_clock::now())),
        Front(Context, this->Given, Heart, Measured),
        Platform(Context, this->Given.ObjectApiAddress, Heart),
        Backends(Context, Heart),
        Mesh(Context, this->Given.Instance, Heart.state().Self.Run,
             this->Given.PeerKey, makeCallbacks()) {
    Heart.setEffectHandler([this](Effect &What) {
      std::visit([this](auto &Kind) { carryOut(Kind); }, What);
    });
  }

  auto makeCallbacks() -> PeerCallbacks {
    return {
        [this](InstanceId const &Peer, Incarnation Run) {
          Heart.feed(PeerConnected{Peer, Run});
        },
        [this](InstanceId const &Peer) { Heart.feed(PeerDisconnected{Peer}); },
        [this](InstanceId const &Peer, PeerMessage Message) {
          receive(Peer, std::move(Message));
        },
        [this] {
          Measured.run(CountOne{CountMetric::PeerConflicts, {}, {}});
          log(LogLevel::Warning, "peer-refused",
              {{"code", static_cast<int>(ResultCode::PeerKeyMismatch)}});
        }};
  }

  auto receive(InstanceId const &Peer, PeerMessage Message) -> void {
    std::visit([&](auto &Kind) { accept(Peer, Kind); }, Message);
  }

  auto accept(InstanceId const & /*Peer*/, PeerHello & /*Message*/) -> void {}

  auto accept(InstanceId const &Peer, PeerHeartbeat &Message) -> void {
    Heart.feed(PeerHeartbeatReceived{Peer, std::move(Message)});
  }

  auto accept(InstanceId const &Peer, ConfigurationRequest & /*Message*/)
      -> void {
    Heart.feed(ConfigurationRequested{Peer});
  }

  auto accept(InstanceId const &Peer, ConfigurationOffer &Message) -> void {
    try {
      Heart.feed(ConfigurationReceived{
          FleetConfiguration::compile(Message.Text, Message.Number)});
    } catch (Error const &problem) {
      log(LogLevel::Error, "configuration-invalid",
          {{"peer", Peer.text()}, {"problem", problem.what()}});
    }
  }

  auto accept(InstanceId const &Peer, ForwardedCall &Message) -> void {
    auto const *state = &Heart.state();
    auto it = state->Members.Peers.find(Peer);
    if (it == state->Members.Peers.end())
      return;
    auto origin =
        ForwardOrigin{Peer, it->second.Run, Message.Call, Message.OwnerRun};
    Heart.feed(CallArrived{Front.allocateCall(),
                           requestFrom(std::move(Message)), origin});
  }

  auto accept(InstanceId const &Peer, ForwardedResponse &Message) -> void {
    Heart.feed(ForwardedResponseReceived{Peer, std::move(Message)});
  }

  template <typename T> auto carryOut(T &What) -> void {
    if constexpr (requires { Front.run(What); })
      Front.run(What);
    else if constexpr (requires { Backends.run(What); })
      Backends.run(What);
    else if constexpr (requires { Platform.run(What); })
      Platform.run(What);
    else
      Measured.run(What);
  }

  auto carryOut(ConnectPeer &What) -> void {
    Mesh.connect(What.Peer, What.Address);
  }

  auto carryOut(DisconnectPeer &What) -> void { Mesh.disconnect(What.Peer); }

  auto carryOut(SendPeer &What) -> void { Mesh.send(What.Peer, What.Message); }

  auto carryOut(WriteLog &What) -> void {
    auto line = std::string{};
    for (auto const &it : What.Fields)
      line += fmt::format("{}{}={}", line.empty() ? "" : " ", it.Key,
                          quoteLogValue(it.Value));
    logLine(What.Level, What.Event, line);
  }

  auto carryOut(StopProcess & /*What*/) -> void { IsStopping = true; }

  auto tick() -> Awaitable<void> {
    auto timer = asio::steady_timer(Context);
    auto ec = boost::system::error_code{};
    while (!IsStopping) {
      Heart.feed(Tick{});
      timer.expires_after(TickInterval);
      co_await timer.async_wait(useError(ec));
    }
    // The final answers are decided; let them reach their callers.
    for (auto waited = Duration{}; !Front.isIdle() && waited < StopBound;
         waited += StopPollInterval) {
      timer.expires_after(StopPollInterval);
      co_await timer.async_wait(useError(ec));
    }
    Mesh.stop();
    Context.stop();
  }

  Settings Given;
  asio::io_context Context;
  Core Heart;
  Metrics Measured;
  CallerFrontend Front;
  PlatformClient Platform;
  BackendClient Backends;
  PeerMesh Mesh;
  bool IsStopping = false;
};

Instance::Instance(Settings Given)
    : Self(std::make_unique<Implementation>(std::move(Given))) {}

Instance::~Instance() = default;

auto Instance::run() -> void {
  auto signals = asio::signal_set(Self->Context, SIGINT, SIGTERM);
  signals.async_wait([this](boost::system::error_code const &ec, int) {
    if (!ec)
      Self->Heart.feed(LeaveRequested{});
  });
  Self->Mesh.listen(Self->Given.PeerAddress);
  Self->Front.start();
  log(LogLevel::Info, "instance-started",
      {{"instance", Self->Given.Instance.text()},
       {"run", fmt::format("{:016x}", Self->Heart.state().Self.Run)}});
  spawnTask(Self->Context, [this] { return Self->tick(); });
  Self->Context.run();
}

} // namespace dotterel
