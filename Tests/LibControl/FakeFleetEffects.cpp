/// \file
/// The fakes' handling of the effects of an instance.
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
  Node &Source;     // NOLINT
  /// The run that emitted the effect; resulting events go to this run only.
  Incarnation Run = Source.Identity.Run;

  [[nodiscard]] auto run() const -> Incarnation { return Run; }

  auto feedAfter(Duration After, EventBody const &Body) const -> void {
    Fleet.Scheduler.schedule(After, [&fleet = Fleet, id = Source.Identity.Id,
                                     run = run(),
                                     Body] { fleet.deliver(id, run, Body); });
  }

  /// Runs \p Work at the object API and delivers its event, or delivers
  /// \p Failed after a timeout if the API is unreachable.
  auto atApi(std::function<EventBody()> Work, EventBody const &Failed) const
      -> void {
    ++Fleet.ApiCalls;
    if (!Fleet.isApiReachable(Source))
      return feedAfter(ApiTimeout, Failed);
    Fleet.Scheduler.schedule(ApiDelay, [*this, work = std::move(Work)] {
      feedAfter(ApiDelay, work());
    });
  }

  auto operator()(ConnectAttempt const &Effect) const -> void {
    auto const &calls = Source.Current->Calls.Calls;
    auto call = calls.find(Effect.Attempt.Call);
    auto isDown = call != calls.end() && call->second.Current &&
                  !call->second.Current->Engine.empty() &&
                  Fleet.Engines[call->second.Current->Engine].IsDown;
    if (isDown)
      return feedAfter(NetworkDelay, AttemptUnreachable{Effect.Attempt});
    feedAfter(NetworkDelay, AttemptConnected{Effect.Attempt});
  }

  auto operator()(SendAttempt const &Effect) const -> void {
    auto const &calls = Source.Current->Calls.Calls;
    auto call = calls.find(Effect.Attempt.Call);
    if (Effect.Kind == CallKind::Service)
      return sendBooking(Effect);
    // After a pause, the call or its attempt may no longer exist.
    if (call == calls.end() || !call->second.Current)
      return;
    auto id = call->second.Current->Engine;
    Fleet.Scheduler.schedule(NetworkDelay,
                             [*this, id, Effect] { startStream(id, Effect); });
  }

  auto startStream(EngineId const &Id, SendAttempt const &Effect) const
      -> void {
    auto &engine = Fleet.Engines[Id];
    if (engine.IsDown)
      return feedAfter(NetworkDelay, AttemptInterrupted{Effect.Attempt});
    if (engine.Report.IsChanging || engine.Report.Role != EngineRole::Mixed)
      return feedAfter(NetworkDelay, AttemptRefused{Effect.Attempt});
    engine.Report.Running += 1;
    engine.Streams.insert({run(), Effect.Attempt});
    auto index = Effect.ResumeAfter + 1;
    Fleet.Scheduler.schedule(
        PrefillTime, [*this, Id, Effect, index, engineRun = engine.Report.Run] {
          Fleet.streamTokens(Id, Effect, Source.Identity.Id, run(), engineRun,
                             index);
        });
  }

  auto sendBooking(SendAttempt const &Effect) const -> void {
    auto key = Effect.Key.text();
    ++Fleet.BookingsInFlight[key];
    Fleet.Scheduler.schedule(NetworkDelay, [*this, Effect, key] {
      --Fleet.BookingsInFlight[key];
      if (++Fleet.Executions[key] > 1)
        Fleet.reportViolation("a booking ran twice: " + key);
      if (Fleet.ResponsesToLose > 0) {
        --Fleet.ResponsesToLose;
        return feedAfter(ServiceTime, AttemptInterrupted{Effect.Attempt});
      }
      feedAfter(ServiceTime, AttemptCompleted{Effect.Attempt, 200, "text/plain",
                                              *Effect.Body});
    });
  }

  auto operator()(CancelAttempt const &Effect) const -> void {
    for (auto &it : Fleet.Engines) {
      if (it.second.Streams.erase({run(), Effect.Attempt}) > 0)
        it.second.Report.Running -= 1;
    }
  }

  auto operator()(ForwardToken const &Effect) const -> void {
    auto it = Source.CallNumbers.find(Effect.Call);
    if (it != Source.CallNumbers.end())
      Fleet.Calls[it->second].Tokens.push_back(Effect.Data);
  }

  auto operator()(FinishCall const &Effect) const -> void {
    auto it = Source.CallNumbers.find(Effect.Call);
    if (it == Source.CallNumbers.end())
      return;
    auto &call = Fleet.Calls[it->second];
    call.Responses.push_back(Effect);
    call.FinishedAt = Fleet.Scheduler.now();
    Fleet.checkResponse(call);
  }

  auto operator()(PollEngine const &Effect) const -> void {
    auto &engine = Fleet.Engines[Effect.Engine];
    if (engine.IsDown)
      return feedAfter(NetworkDelay, EngineUnreachable{Effect.Engine});
    auto observed = Fleet.clockOf(Source);
    feedAfter(ReportLag,
              EngineReported{Effect.Engine, engine.Report, observed});
  }

  auto operator()(ConnectOrder const &Effect) const -> void {
    if (Fleet.Engines[Effect.Engine].IsDown)
      return feedAfter(NetworkDelay,
                       OrderResultReceived{Effect.Shard, Effect.Engine,
                                           Effect.Order, OrderResult::Lost});
    feedAfter(NetworkDelay,
              OrderConnected{Effect.Shard, Effect.Engine, Effect.Order});
  }

  auto operator()(SendOrder const &Effect) const -> void {
    Fleet.Scheduler.schedule(NetworkDelay, [*this, Effect] {
      auto result = Fleet.executeOrder(Effect, run());
      feedAfter(NetworkDelay, OrderResultReceived{Effect.Shard, Effect.Engine,
                                                  Effect.Order, result});
    });
  }

  auto operator()(RaiseFence const &Effect) const -> void {
    Fleet.Scheduler.schedule(NetworkDelay, [*this, Effect] {
      auto &engine = Fleet.Engines[Effect.Engine];
      if (engine.ChecksFencing)
        engine.Report.HighestFencing =
            std::max(engine.Report.HighestFencing, Effect.Fencing);
    });
  }

  auto operator()(ReadShard const &Effect) const -> void {
    atApi(
        [*this, Effect]() -> EventBody {
          auto const &stored = Fleet.Shards[Effect.Shard];
          return ShardRead{Effect.Shard, stored.Version, stored.Body};
        },
        ShardReadFailed{Effect.Shard});
  }

  auto operator()(WriteShard const &Effect) const -> void {
    auto number = Effect.Record.WriteNumber;
    write(Fleet.Shards[Effect.Shard], Effect.ExpectedVersion, Effect.Record,
          [Effect, number](WriteResult Result,
                           std::uint64_t Version) -> EventBody {
            return ShardWritten{Effect.Shard, number, Result, Version};
          });
  }

  auto operator()(ReadClaim const &Effect) const -> void {
    atApi(
        [*this, Effect]() -> EventBody {
          auto const &stored = Fleet.Claims[Effect.Name];
          return ClaimRead{Effect.Call, stored.Version, stored.Body};
        },
        ClaimReadFailed{Effect.Call});
  }

  auto operator()(WriteClaim const &Effect) const -> void {
    write(Fleet.Claims[Effect.Name], Effect.ExpectedVersion, Effect.Record,
          [Effect](WriteResult Result, std::uint64_t Version) -> EventBody {
            return ClaimWritten{Effect.Call, Result, Version};
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

  auto operator()(WatchConfiguration const &Effect) const -> void {
    ++Fleet.ApiCalls;
    if (!Fleet.isApiReachable(Source))
      return feedAfter(ApiTimeout, ConfigurationWatchEnded{false});
    poll(Effect.After, WatchSpan);
  }

  auto poll(Revision After, Duration Left) const -> void {
    if (Fleet.Configuration->revision() > After) {
      feedAfter(ApiDelay, ConfigurationReceived{Fleet.Configuration});
      return feedAfter(ApiDelay, ConfigurationWatchEnded{true});
    }
    if (Left <= Duration{})
      return feedAfter(ApiDelay, ConfigurationWatchEnded{true});
    Fleet.Scheduler.schedule(TickInterval, [*this, After, Left] {
      poll(After, Left - TickInterval);
    });
  }

  auto operator()(ListInstances const & /*Effect*/) const -> void {
    ++Fleet.ApiCalls;
    if (!Fleet.isApiReachable(Source))
      return feedAfter(ApiTimeout, InstanceListFailed{});
    auto listed = InstancesListed{};
    for (auto const &it : Fleet.Nodes)
      if (it.second.Current)
        listed.Instances.push_back(
            {it.first, it.first.text(), it.first.text(),
             it.second.Identity.Domain,
             it.second.Current->LeaveRequestedAt != Instant{}});
    feedAfter(ListLag, listed);
  }

  auto operator()(ConnectPeer const &Effect) const -> void {
    auto &peer = Fleet.find(Effect.Peer);
    if (!peer.Current || peer.IsPaused ||
        !Fleet.isReachable(Source.Identity.Id, Effect.Peer))
      return feedAfter(NetworkDelay, PeerDisconnected{Effect.Peer});
    Fleet.Links.insert({Source.Identity.Id, Effect.Peer});
    feedAfter(NetworkDelay, PeerConnected{Effect.Peer, peer.Identity.Run});
    Fleet.deliver(Effect.Peer, peer.Identity.Run,
                  PeerConnected{Source.Identity.Id, run()});
  }

  auto operator()(DisconnectPeer const &Effect) const -> void {
    Fleet.Links.erase({Source.Identity.Id, Effect.Peer});
    feedAfter(Duration{}, PeerDisconnected{Effect.Peer});
    auto &peer = Fleet.find(Effect.Peer);
    if (Fleet.isReachable(Source.Identity.Id, Effect.Peer))
      Fleet.deliver(Effect.Peer, peer.Identity.Run,
                    PeerDisconnected{Source.Identity.Id});
  }

  auto operator()(SendPeer const &Effect) const -> void {
    auto link = std::set<InstanceId>{Source.Identity.Id, Effect.Peer};
    if (!Fleet.Links.contains(link) ||
        !Fleet.isReachable(Source.Identity.Id, Effect.Peer))
      return;
    auto peerRun = Fleet.find(Effect.Peer).Identity.Run;
    Fleet.Scheduler.schedule(
        NetworkDelay,
        [*this, Effect, peerRun, sender = Source.Identity.Id, own = run()] {
          std::visit(
              [&](auto const &Message) {
                receive(Effect.Peer, peerRun, sender, own, Message);
              },
              Effect.Message);
        });
  }

  auto receive(InstanceId const &Receiver, Incarnation ReceiverRun,
               InstanceId const &Sender, Incarnation /*SenderRun*/,
               PeerHeartbeat const &Message) const -> void {
    Fleet.deliver(Receiver, ReceiverRun,
                  PeerHeartbeatReceived{Sender, Message});
  }

  auto receive(InstanceId const &Receiver, Incarnation ReceiverRun,
               InstanceId const &Sender, Incarnation /*SenderRun*/,
               ConfigurationRequest const & /*Message*/) const -> void {
    Fleet.deliver(Receiver, ReceiverRun, ConfigurationRequested{Sender});
  }

  auto receive(InstanceId const &Receiver, Incarnation ReceiverRun,
               InstanceId const & /*Sender*/, Incarnation /*SenderRun*/,
               ConfigurationOffer const &Message) const -> void {
    Fleet.deliver(Receiver, ReceiverRun,
                  ConfigurationReceived{FleetConfiguration::compile(
                      Message.Text, Message.Number)});
  }

  auto receive(InstanceId const &Receiver, Incarnation ReceiverRun,
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
    Fleet.deliver(
        Receiver, ReceiverRun,
        CallArrived{Fleet.find(Receiver).NextCall++, request, origin});
  }

  auto receive(InstanceId const &Receiver, Incarnation ReceiverRun,
               InstanceId const &Sender, Incarnation /*SenderRun*/,
               ForwardedResponse const &Message) const -> void {
    Fleet.deliver(Receiver, ReceiverRun,
                  ForwardedResponseReceived{Sender, Message});
  }

  auto receive(InstanceId const & /*Receiver*/, Incarnation /*ReceiverRun*/,
               InstanceId const & /*Sender*/, Incarnation /*SenderRun*/,
               PeerHello const & /*Message*/) const -> void {}

  auto operator()(StopProcess const & /*Effect*/) const -> void {
    Fleet.Scheduler.schedule(
        {}, [&fleet = Fleet, id = Source.Identity.Id, run = run()] {
          auto &node = fleet.find(id);
          if (node.Identity.Run == run && node.Current)
            fleet.kill(std::stoi(id.text().substr(1)));
        });
  }

  auto operator()(AbandonOrder const & /*Effect*/) const -> void {}
  auto operator()(SendSteeringResponse const & /*Effect*/) const -> void {}
  auto operator()(ObserveDuration const & /*Effect*/) const -> void {}
  auto operator()(IncrementCounter const & /*Effect*/) const -> void {}
  auto operator()(WriteLog const & /*Effect*/) const -> void {}
};

auto FakeFleet::handleEffect(Node &Source, Effect &Effect) -> void {
  std::visit(EffectHandler{*this, Source}, Effect);
}

} // namespace dotterel::test
