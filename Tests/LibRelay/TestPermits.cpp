// Permits to send requests to servers that name a limit, at one instance.
#include "LibRelay/LimitReducer.h"
#include "LibRelay/RelayNode.h"

#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

/// More than the warm-up time of a peer that issues permits.
constexpr auto PeerWarmUp = Duration{2500ms};
constexpr auto Limit = 5.0;

constexpr auto Peers = 8;

/// An instance whose servers name limits, and peers that send reports. The
/// instance asks one of the peers for permits, or issues them itself, depending
/// on the server.
class LimitedNode : public RelayNode {
public:
  LimitedNode() {
    feed(PeersListed{{{"i1", "p-i1"}}});
    hearPeers(PeerWarmUp);
  }

  /// Advances time while the peers send reports.
  auto hearPeers(Duration Span) -> void {
    for (auto elapsed = Duration{}; elapsed < Span; elapsed += ReportInterval) {
      ++Reports;
      for (auto n = 1; n <= Peers; ++n)
        feed(PeerReported{report(fmt::format("i{}", n), Reports)});
      advance(ReportInterval);
    }
  }

  /// Lets all servers of a service name a limit.
  auto limitAll(std::string_view Service) -> void {
    for (auto const *server : CurrentState.Servers.serversOf(Service))
      (void)CurrentState.Limits.observe(server->Key, Limit, Now, Now);
  }

  /// Ends the limits of all servers of the plain service except for \p Server.
  auto endOtherLimits(std::string_view Server) -> void {
    for (auto const *it : CurrentState.Servers.serversOf("plain")) {
      if (it->Description.Id != Server)
        (void)CurrentState.Limits.observe(it->Key, std::nullopt, Now + 1ms,
                                          Now + 1ms);
    }
  }

  /// Starts lookups until one waits for the permit of a peer, and returns it.
  auto waitingLookup() -> RequestNumber {
    for (auto n = 0; n < 100; ++n) {
      auto number = request(RouteKind::Lookup);
      if (effect<SendPermitRequest>(LastEffects) != nullptr)
        return number;
      feed(CallerDisconnected{number});
    }
    cr_assert_fail("no lookup asks a peer for a permit");
    return 0;
  }

  auto answer(RequestNumber Number, bool IsGranted, Duration Wait = {})
      -> void {
    feed(PermitAnswered{{currentAttempt(Number)->Key, attemptId(Number),
                         CurrentState.Self.Incarnation, IsGranted, Wait}});
  }

  /// Asks the instance for a permit as a peer, and returns its answer.
  auto ask(ServerKey Key) -> PermitResponse {
    feed(PermitRequested{"p-i1", {Key, {1, 1}, 5, Limit, Duration{}}});
    return effect<SendPermitResponse>(LastEffects)->Response;
  }

private:
  static constexpr auto ReportInterval = Duration{100ms};
  std::uint64_t Reports = 0;
};

/// Returns a server key whose permits the instance issues itself.
auto ownKey(LimitedNode &Node) -> ServerKey {
  for (auto key = ServerKey{1000}; key < 1100; ++key) {
    for (auto n = 0; n < 2; ++n) {
      if (Node.ask(key).IsGranted)
        return key;
      Node.hearPeers(400ms);
    }
  }
  cr_assert_fail("the instance issues no permits");
  return 0;
}

} // namespace

Test(RelayPermits, RequestIsSentOnceThePermitIsGranted) {
  auto node = LimitedNode();
  node.limitAll("plain");
  auto number = node.waitingLookup();
  auto const asked = effect<SendPermitRequest>(node.LastEffects)->Request;
  cr_assert(asked.Attempt == node.attemptId(number));
  cr_assert(asked.PerSecond == Limit);
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
  node.answer(number, true);
  cr_assert_not_null(effect<ConnectAttempt>(node.LastEffects));
  cr_assert(node.connect(number).has_value());
}

Test(RelayPermits, RequestGoesElsewhereIfThePermitIsDenied) {
  auto node = LimitedNode();
  node.limitAll("plain");
  auto number = node.waitingLookup();
  auto server = node.currentAttempt(number)->Server;
  node.endOtherLimits(server);
  node.answer(number, false, 1s);
  cr_assert(node.currentAttempt(number)->Server != server);
  cr_assert_not_null(effect<ConnectAttempt>(node.LastEffects));
}

Test(RelayPermits, RefusesAtOnceIfNoServerHasAPermit) {
  auto node = LimitedNode();
  node.limitAll("plain");
  for (auto const *server : node.CurrentState.Servers.serversOf("plain"))
    node.CurrentState.Limits.block(server->Key, node.Now + 1s);
  auto number = node.request(RouteKind::Booking);
  cr_assert_null(node.currentAttempt(number));
  auto const *refused = effect<SendErrorResponse>(node.LastEffects);
  cr_assert_not_null(refused);
  cr_assert_eq(describe(refused->Code).HttpStatus, 503);
  cr_assert(*refused->RetryAfter >= 1s && *refused->RetryAfter < 2s);
}

Test(RelayPermits, SilentIssuerDelaysARequestForAMomentOnly) {
  auto node = LimitedNode();
  node.limitAll("plain");
  auto number = node.waitingLookup();
  auto server = node.currentAttempt(number)->Server;
  node.endOtherLimits(server);
  auto late = node.attemptId(number);
  auto key = node.currentAttempt(number)->Key;
  node.advance(200ms);
  cr_assert(node.currentAttempt(number)->Server != server);
  // The answer arrives after all.
  node.feed(PermitAnswered{
      {key, late, node.CurrentState.Self.Incarnation, true, Duration{}}});
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
}

Test(RelayPermits, AnswerToAnEarlierIncarnationIsDropped) {
  auto node = LimitedNode();
  node.limitAll("plain");
  auto number = node.waitingLookup();
  node.feed(PermitAnswered{
      {node.currentAttempt(number)->Key, node.attemptId(number),
       node.CurrentState.Self.Incarnation + 1, true, Duration{}}});
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
}

Test(RelayPermits, PrefilledPromptIsKeptIfThePermitIsDenied) {
  auto node = LimitedNode();
  auto number = node.request(RouteKind::Stream, prompt(1, 20000, 5000));
  (void)node.connect(number);
  for (auto const *it : {"d0", "d1", "d2"})
    (void)node.CurrentState.Limits.observe(
        node.CurrentState.Servers.find(it)->Key, Limit, node.Now, node.Now);
  node.feed(AttemptPrefilled{node.attemptId(number), "handle", {}});
  // Until a permit is granted, each denial moves the prompt to another engine.
  auto tried = std::vector<std::string>{};
  while (node.currentAttempt(number) != nullptr &&
         node.currentAttempt(number)->PermitRequestedAt && tried.size() < 2) {
    tried.push_back(node.currentAttempt(number)->Server);
    node.answer(number, false, 1s);
  }
  if (node.currentAttempt(number) == nullptr) {
    // The others were the instance's own, without a permit yet.
    cr_assert_not_null(effect<SendErrorResponse>(node.LastEffects));
    cr_assert_eq(countEffects<ReleasePrefill>(node.LastEffects), 1);
    return;
  }
  if (node.currentAttempt(number)->PermitRequestedAt)
    node.answer(number, true);
  cr_assert(node.connect(number)->Parameters.PrefillHandle == "handle");
}

Test(RelayPermits, HandleAtALimitedEngineIsLeftToExpire) {
  auto node = LimitedNode();
  auto number = node.request(RouteKind::Stream, prompt(5, 13000, 3000));
  (void)node.connect(number);
  auto key = node.currentAttempt(number)->Key;
  node.feed(AttemptPrefilled{node.attemptId(number), "h1", {}});
  (void)node.CurrentState.Limits.observe(key, Limit, node.Now, node.Now);
  node.feed(CallerDisconnected{number});
  cr_assert_eq(countEffects<ReleasePrefill>(node.LastEffects), 0);
}

// Two instances that both issue permits would let twice the limit through.
Test(RelayPermits, OnlyOneInstanceIssuesThePermitsOfAServer) {
  auto node = LimitedNode();
  auto own = 0U;
  constexpr auto Servers = ServerKey{90};
  for (auto round = 0; round < 2; ++round) {
    for (auto key = ServerKey{1}; key <= Servers; ++key)
      own += node.ask(key).IsGranted ? 1 : 0;
    node.hearPeers(400ms);
  }
  auto const expected = Servers / (Peers + 1);
  cr_assert(own > expected / 3 && own < 3 * expected, "%u", own);
}

Test(RelayPermits, AreIssuedAtTheRateOfTheLimit) {
  auto node = LimitedNode();
  auto key = ownKey(node);
  auto granted = 0;
  for (auto n = 0; n < 100; ++n) {
    granted += node.ask(key).IsGranted ? 1 : 0;
    node.hearPeers(100ms);
  }
  constexpr auto Seconds = 10;
  cr_assert(granted >= Seconds * Limit - 1 && granted <= Seconds * Limit + 5,
            "%d", granted);
}

Test(RelayPermits, InstanceThatHasJustStartedIssuesNone) {
  auto state = makeState({"i0", 7, "a", "c-i0", "p-i0", 1}, {}, Instant{} + 1h);
  auto ask = [&](Instant At) {
    auto effects = reduce(
        state,
        Event{At, PermitRequested{"p-i1", {3, {1, 1}, 5, 100, Duration{}}}});
    return effect<SendPermitResponse>(effects)->Response;
  };
  (void)reduce(state, Event{Instant{} + 1h, PeersListed{{{"i1", "p-i1"}}}});
  for (auto after = Duration{}; after < 1300ms; after += 100ms)
    cr_assert_not(ask(Instant{} + 1h + after).IsGranted);
  (void)ask(Instant{} + 1h + 1400ms);
  cr_assert(ask(Instant{} + 1h + 1600ms).IsGranted);
}

Test(RelayPermits, PeersLearnOfLimitsAndTheirEnd) {
  auto node = RelayNode();
  node.feed(PeersListed{{{"i1", "p-i1"}}});
  auto key = node.CurrentState.Servers.find("p0")->Key;
  auto sendTo = [&](RelayNode &Peer, std::uint64_t Number) {
    auto effects = node.advance(200ms);
    auto message = effect<SendPeerReport>(effects)->Report;
    message.Instance = "i0";
    message.SequenceNumber = Number;
    message.IsFull = true;
    auto decoded = decodePeerReport(encodePeerReport(message));
    decoded->PeerAddress = "p-i0";
    Peer.feed(PeerReported{*decoded});
  };
  auto peer = RelayNode("i9");
  (void)node.CurrentState.Limits.observe(key, 5.5, node.Now, node.Now);
  sendTo(peer, 1);
  cr_assert(peer.CurrentState.Limits.find(key) == 5.5);
  (void)node.CurrentState.Limits.observe(key, std::nullopt, node.Now + 1ms,
                                         node.Now + 2ms);
  sendTo(peer, 2);
  cr_assert_not(peer.CurrentState.Limits.find(key).has_value());
}

Test(RelayPermits, OlderReportDoesNotReplaceWhatIsKnown) {
  auto limits = RequestLimits{};
  auto now = Instant{} + 1h;
  (void)limits.observe(1, 5, now, now);
  cr_assert(limits.adopt({1, std::nullopt, 10ms}, now + 5ms) ==
            LimitChange::None);
  cr_assert(limits.find(1) == 5.0);
  cr_assert(limits.adopt({1, 3, 1ms}, now + 5ms) == LimitChange::Named);
  cr_assert(limits.find(1) == 3.0);
}

Test(RelayPermits, LimitsOfServersThatAreGoneAreForgotten) {
  auto node = RelayNode();
  auto key = node.CurrentState.Servers.find("p0")->Key;
  auto &limits = node.CurrentState.Limits;
  (void)limits.observe(key, 5, node.Now, node.Now);
  (void)limits.observe(12345, 5, node.Now, node.Now);
  limits.expire(node.Now + 9min, node.CurrentState.Servers);
  cr_assert_eq(limits.size(), 2);
  limits.expire(node.Now + 11min, node.CurrentState.Servers);
  cr_assert_eq(limits.size(), 1);
  cr_assert(limits.find(key).has_value());
}

Test(RelayPermits, MessagesAreDecodedAsTheyWereEncoded) {
  auto request = PermitRequest{7, {1234567890123, 3}, 9, 5.5, 42ms};
  auto decoded = std::get<PermitRequest>(
      *decodePermitMessage(encodePermitMessage(request)));
  cr_assert(decoded.Server == 7 && decoded.Attempt == request.Attempt &&
            decoded.Incarnation == 9 && decoded.PerSecond == 5.5 &&
            decoded.Age == Duration{42ms});
  auto response = PermitResponse{7, {5, 3}, 9, false, 180ms};
  auto answer = std::get<PermitResponse>(
      *decodePermitMessage(encodePermitMessage(response)));
  cr_assert(answer.Attempt == response.Attempt && !answer.IsGranted &&
            answer.Wait == Duration{180ms});
  cr_assert_not(decodePermitMessage("").has_value());
  cr_assert_not(decodePermitMessage("\x83\x01\x02\x03").has_value());
  cr_assert_not(decodePermitMessage(encodePeerReport({})).has_value());
  cr_assert_not(decodePeerReport(encodePermitMessage(request)).has_value());
}

Test(RelayPermits, ReportWithManyLimitsFitsIntoOneDatagram) {
  constexpr auto UnfragmentedBytes = std::size_t{1472};
  auto limits = RequestLimits{};
  auto now = Instant{} + 1h;
  for (auto key = ServerKey{0}; key < 500; ++key)
    (void)limits.observe(~key, 0.1 * key, now, now);
  auto message = PeerReport{};
  message.Limits = limits.recent(now + 999ms);
  cr_assert_gt(message.Limits.size(), 0);
  cr_assert_leq(encodePeerReport(message).size(), UnfragmentedBytes);
}

} // namespace dotterel::relay::test
