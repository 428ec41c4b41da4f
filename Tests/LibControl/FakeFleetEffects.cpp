/// \file
/// What the fakes do with the effects of an instance.
#include "FakeFleet.h"

namespace dotterel::test {

namespace {

constexpr auto TickInterval = Duration{50ms};
constexpr auto NetworkDelay = Duration{1ms};
constexpr auto ApiDelay = Duration{4ms};
constexpr auto ApiTimeout = Duration{2s};
constexpr auto ReportLag = Duration{100ms};
constexpr auto PrefillTime = Duration{50ms};
constexpr auto ServiceTime = Duration{30ms};
constexpr auto ListLag = Duration{2s};
constexpr auto WatchSpan = Duration{5s};

} // namespace

/// Carries out effects of one instance against the fakes.
struct FakeFleet::EffectHandler {
  FakeFleet &Fleet; // NOLINT
  Node &From;       // NOLINT
  /// The run that decided on the effect; answers reach no other.
  Incarnation Run = From.Identity.Run;

  [[nodiscard]] auto run() const -> Incarnation { return Run; }

  auto answer(Duration After, EventBody const &Happened) const -> void {
    Fleet.Plan.schedule(After,
                        [&fleet = Fleet, id = From.Identity.Id, run = run(),
                         Happened] { fleet.deliver(id, run, Happened); });
  }

  /// Runs \p Work at the object API unless it is out, then answers.
  auto atApi(std::function<EventBody()> Work, EventBody const &Failed) const
      -> void {
    ++Fleet.ApiCalls;
    if (!Fleet.isApiReachable(From))
      return answer(ApiTimeout, Failed);
    Fleet.Plan.schedule(ApiDelay, [*this, work = std::move(Work)] {
      answer(ApiDelay, work());
    });
  }

  auto operator()(ConnectAttempt const &What) const -> void {
    auto const &calls = From.Current->Calls.Calls;
    auto call = calls.find(What.Attempt.Call);
    auto isDown = call != calls.end() && call->second.Current &&
                  !call->second.Current->Engine.empty() &&
                  Fleet.Engines[call->second.Current->Engine].IsDown;
    if (isDown)
      return answer(NetworkDelay, AttemptUnreachable{What.Attempt});
    answer(NetworkDelay, AttemptConnected{What.Attempt});
  }

  auto operator()(SendAttempt const &What) const -> void {
    auto const &calls = From.Current->Calls.Calls;
    auto call = calls.find(What.Attempt.Call);
    if (What.Kind == CallKind::Service)
      return sendBooking(What);
    // A held send may be late: the call's attempt names the engine no more.
    if (call == calls.end() || !call->second.Current)
      return;
    auto id = call->second.Current->Engine;
    Fleet.Plan.schedule(NetworkDelay,
                        [*this, id, What] { startStream(id, What); });
  }

  auto startStream(EngineId const &Id, SendAttempt const &What) const -> void {
    auto &engine = Fleet.Engines[Id];
    if (engine.IsDown)
      return answer(NetworkDelay, AttemptBroken{What.Attempt});
    if (engine.Report.IsChanging || engine.Report.Role != EngineRole::Mixed)
      return answer(NetworkDelay, AttemptRefused{What.Attempt});
    engine.Report.Running += 1;
    engine.Streams.insert({run(), What.Attempt});
    auto index = What.ResumeAfter + 1;
    Fleet.Plan.schedule(PrefillTime, [*this, Id, What, index,
                                      engineRun = engine.Report.Run] {
      Fleet.streamTokens(Id, What, From.Identity.Id, run(), engineRun, index);
    });
  }

  auto sendBooking(SendAttempt const &What) const -> void {
    auto key = What.Key.text();
    ++Fleet.BookingsInFlight[key];
    Fleet.Plan.schedule(NetworkDelay, [*this, What, key] {
      --Fleet.BookingsInFlight[key];
      if (++Fleet.Executions[key] > 1)
        Fleet.reportViolation("booking ran twice: " + key);
      if (Fleet.ResponsesToLose > 0) {
        --Fleet.ResponsesToLose;
        return answer(ServiceTime, AttemptBroken{What.Attempt});
      }
      answer(ServiceTime,
             AttemptCompleted{What.Attempt, 200, "text/plain", *What.Body});
    });
  }

  auto operator()(CancelAttempt const &What) const -> void {
    for (auto &it : Fleet.Engines) {
      if (it.second.Streams.erase({run(), What.Attempt}) > 0)
        it.second.Report.Running -= 1;
    }
  }

  auto operator()(ForwardToken const &What) const -> void {
    auto it = From.CallNumbers.find(What.Call);
    if (it != From.CallNumbers.end())
      Fleet.Calls[it->second].Tokens.push_back(What.Data);
  }

  auto operator()(FinishCall const &What) const -> void {
    auto it = From.CallNumbers.find(What.Call);
    if (it == From.CallNumbers.end())
      return;
    auto &call = Fleet.Calls[it->second];
    call.Responses.push_back(What);
    call.FinishedAt = Fleet.Plan.now();
    Fleet.checkResponse(call);
  }

  auto operator()(PollEngine const &What) const -> void {
    auto &engine = Fleet.Engines[What.Engine];
    if (engine.IsDown)
      return answer(NetworkDelay, EngineUnreachable{What.Engine});
    auto observed = Fleet.clockOf(From);
    answer(ReportLag, EngineReported{What.Engine, engine.Report, observed});
  }

  auto operator()(ConnectOrder const &What) const -> void {
    if (Fleet.Engines[What.Engine].IsDown)
      return answer(NetworkDelay,
                    OrderResultReceived{What.Shard, What.Engine, What.Order,
                                        OrderResult::Lost});
    answer(NetworkDelay, OrderConnected{What.Shard, What.Engine, What.Order});
  }

  auto operator()(SendOrder const &What) const -> void {
    Fleet.Plan.schedule(NetworkDelay, [*this, What] {
      auto result = Fleet.executeOrder(What, run());
      answer(NetworkDelay,
             OrderResultReceived{What.Shard, What.Engine, What.Order, result});
    });
  }

  auto operator()(RaiseFence const &What) const -> void {
    Fleet.Plan.schedule(NetworkDelay, [*this, What] {
      auto &engine = Fleet.Engines[What.Engine];
      if (engine.ChecksFencing)
        engine.Report.HighestFencing =
            std::max(engine.Report.HighestFencing, What.Fencing);
    });
  }

  auto operator()(ReadShard const &What) const -> void {
    atApi(
        [*this, What]() -> EventBody {
          auto const &stored = Fleet.Shards[What.Shard];
          return ShardRead{What.Shard, stored.Version, stored.Body};
        },
        ShardReadFailed{What.Shard});
  }

  auto operator()(WriteShard const &What) const -> void {
    auto number = What.Record.WriteNumber;
    write(
        Fleet.Shards[What.Shard], What.ExpectedVersion, What.Record,
        [What, number](WriteResult Result, std::uint64_t Version) -> EventBody {
          return ShardWritten{What.Shard, number, Result, Version};
        });
  }

  auto operator()(ReadClaim const &What) const -> void {
    atApi(
        [*this, What]() -> EventBody {
          auto const &stored = Fleet.Claims[What.Name];
          return ClaimRead{What.Call, stored.Version, stored.Body};
        },
        ClaimReadFailed{What.Call});
  }

  auto operator()(WriteClaim const &What) const -> void {
    write(Fleet.Claims[What.Name], What.ExpectedVersion, What.Record,
          [What](WriteResult Result, std::uint64_t Version) -> EventBody {
            return ClaimWritten{What.Call, Result, Version};
          });
  }

  template <typename T, typename Response>
  auto write(Stored<T> &Target, std::uint64_t Expected, T const &Body,
             Response MakeEvent) const -> void {
    auto *target = &Target;
    atApi(
        [*this, target, Expected, Body, MakeEvent]() -> EventBody {
          if (target->Version != Expected)
            return MakeEvent(WriteResult::Conflict, target->Version);
          target->Version += 1;
          target->Body = Body;
          if (Fleet.WritesToLose > 0) {
            --Fleet.WritesToLose;
            return MakeEvent(WriteResult::Unknown, 0);
          }
          return MakeEvent(WriteResult::Committed, target->Version);
        },
        MakeEvent(WriteResult::Unknown, 0));
  }

  auto operator()(WatchConfiguration const &What) const -> void {
    ++Fleet.ApiCalls;
    if (!Fleet.isApiReachable(From))
      return answer(ApiTimeout, ConfigurationWatchEnded{false});
    poll(What.After, WatchSpan);
  }

  auto poll(Revision After, Duration Left) const -> void {
    if (Fleet.Configuration->revision() > After) {
      answer(ApiDelay, ConfigurationReceived{Fleet.Configuration});
      return answer(ApiDelay, ConfigurationWatchEnded{true});
    }
    if (Left <= Duration{})
      return answer(ApiDelay, ConfigurationWatchEnded{true});
    Fleet.Plan.schedule(TickInterval, [*this, After, Left] {
      poll(After, Left - TickInterval);
    });
  }

  auto operator()(ListInstances const & /*What*/) const -> void {
    ++Fleet.ApiCalls;
    if (!Fleet.isApiReachable(From))
      return answer(ApiTimeout, InstanceListFailed{});
    auto listed = InstancesListed{};
    for (auto const &it : Fleet.Nodes)
      if (it.second.Current)
        listed.Instances.push_back(
            {it.first, it.first.text(), it.first.text(),
             it.second.Identity.Domain,
             it.second.Current->LeaveRequestedAt != Instant{}});
    answer(ListLag, listed);
  }

  auto operator()(ConnectPeer const &What) const -> void {
    auto &peer = Fleet.find(What.Peer);
    if (!peer.Current || peer.IsPaused ||
        !Fleet.isReachable(From.Identity.Id, What.Peer))
      return answer(NetworkDelay, PeerDisconnected{What.Peer});
    Fleet.Links.insert({From.Identity.Id, What.Peer});
    answer(NetworkDelay, PeerConnected{What.Peer, peer.Identity.Run});
    Fleet.deliver(What.Peer, peer.Identity.Run,
                  PeerConnected{From.Identity.Id, run()});
  }

  auto operator()(DisconnectPeer const &What) const -> void {
    Fleet.Links.erase({From.Identity.Id, What.Peer});
    answer(Duration{}, PeerDisconnected{What.Peer});
    auto &peer = Fleet.find(What.Peer);
    if (Fleet.isReachable(From.Identity.Id, What.Peer))
      Fleet.deliver(What.Peer, peer.Identity.Run,
                    PeerDisconnected{From.Identity.Id});
  }

  auto operator()(SendPeer const &What) const -> void {
    auto link = std::set<InstanceId>{From.Identity.Id, What.Peer};
    if (!Fleet.Links.contains(link) ||
        !Fleet.isReachable(From.Identity.Id, What.Peer))
      return;
    auto peerRun = Fleet.find(What.Peer).Identity.Run;
    Fleet.Plan.schedule(NetworkDelay, [*this, What, peerRun,
                                       sender = From.Identity.Id, own = run()] {
      std::visit(
          [&](auto const &Message) {
            receive(What.Peer, peerRun, sender, own, Message);
          },
          What.Message);
    });
  }

  auto receive(InstanceId const &To, Incarnation ToRun,
               InstanceId const &Sender, Incarnation /*SenderRun*/,
               PeerHeartbeat const &Message) const -> void {
    Fleet.deliver(To, ToRun, PeerHeartbeatReceived{Sender, Message});
  }

  auto receive(InstanceId const &To, Incarnation ToRun,
               InstanceId const &Sender, Incarnation /*SenderRun*/,
               ConfigurationRequest const & /*Message*/) const -> void {
    Fleet.deliver(To, ToRun, ConfigurationRequested{Sender});
  }

  auto receive(InstanceId const &To, Incarnation ToRun,
               InstanceId const & /*Sender*/, Incarnation /*SenderRun*/,
               ConfigurationOffer const &Message) const -> void {
    Fleet.deliver(To, ToRun,
                  ConfigurationReceived{FleetConfiguration::compile(
                      Message.Text, Message.Number)});
  }

  auto receive(InstanceId const &To, Incarnation ToRun,
               InstanceId const &Sender, Incarnation SenderRun,
               ForwardedCall const &Message) const -> void {
    auto request = CallRequest{};
    request.Kind = CallKind::Service;
    request.Caller = Message.Caller;
    request.Body = std::make_shared<std::string const>(Message.Body);
    request.Service = Message.Service;
    request.Method = Message.Method;
    request.Path = Message.Path;
    request.Key = Message.Key;
    request.RequestedDeadline = Message.TimeLeft;
    auto origin =
        ForwardOrigin{Sender, SenderRun, Message.Call, Message.OwnerRun};
    Fleet.deliver(To, ToRun,
                  CallArrived{Fleet.find(To).NextCall++, request, origin});
  }

  auto receive(InstanceId const &To, Incarnation ToRun,
               InstanceId const &Sender, Incarnation /*SenderRun*/,
               ForwardedResponse const &Message) const -> void {
    Fleet.deliver(To, ToRun, ForwardedResponseReceived{Sender, Message});
  }

  auto receive(InstanceId const & /*To*/, Incarnation /*ToRun*/,
               InstanceId const & /*Sender*/, Incarnation /*SenderRun*/,
               PeerHello const & /*Message*/) const -> void {}

  auto operator()(StopProcess const & /*What*/) const -> void {
    Fleet.Plan.schedule({},
                        [&fleet = Fleet, id = From.Identity.Id, run = run()] {
                          auto &node = fleet.find(id);
                          if (node.Identity.Run == run && node.Current)
                            fleet.kill(std::stoi(id.text().substr(1)));
                        });
  }

  auto operator()(AbandonOrder const & /*What*/) const -> void {}
  auto operator()(SendSteeringResponse const & /*What*/) const -> void {}
  auto operator()(ObserveDuration const & /*What*/) const -> void {}
  auto operator()(IncrementCounter const & /*What*/) const -> void {}
  auto operator()(WriteLog const & /*What*/) const -> void {}
};

auto FakeFleet::handleEffect(Node &From, Effect &What) -> void {
  std::visit(EffectHandler{*this, From}, What);
}

} // namespace dotterel::test
