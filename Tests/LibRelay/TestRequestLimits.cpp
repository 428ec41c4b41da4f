// What an instance knows of the limits that servers name.
#include "LibRelay/RelayNode.h"

#include <algorithm>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

constexpr auto Start = Instant{} + 1h;
constexpr auto Key = ServerKey{7};

/// Lets a lookup complete with a limit, or with none, and returns its server.
auto completeLookup(RelayNode &Node, std::optional<double> Limit)
    -> std::string {
  auto number = Node.request(RouteKind::Lookup);
  (void)Node.connect(number);
  auto server = Node.currentAttempt(number)->Server;
  auto response = ServerResponse{};
  response.Status = 200;
  response.Notice.RequestLimit = Limit;
  response.Notice.NamesLimit = Limit.has_value();
  Node.advance(50ms);
  Node.feed(AttemptResponded{Node.attemptId(number), response});
  return server;
}

} // namespace

Test(RelayRequestLimits, EndWithAResponseThatNamesNone) {
  auto limits = RequestLimits{};
  cr_assert(limits.observe(Key, 5, Start, Start + 1s) == LimitChange::Named);
  cr_assert(limits.find(Key) == 5.0);
  cr_assert(limits.observe(Key, 5, Start, Start + 2s) == LimitChange::None);
  cr_assert(limits.observe(Key, 6, Start, Start + 3s) == LimitChange::Named);
  cr_assert(limits.observe(Key, std::nullopt, Start + 4s, Start + 5s) ==
            LimitChange::Ended);
  cr_assert_not(limits.find(Key).has_value());
  cr_assert_eq(limits.size(), 0);
}

Test(RelayRequestLimits, ResponseToAnEarlierRequestDoesNotEndThem) {
  auto limits = RequestLimits{};
  (void)limits.observe(Key, 5, Start, Start + 1s);
  cr_assert(limits.observe(Key, std::nullopt, Start, Start + 2s) ==
            LimitChange::None);
  cr_assert(limits.find(Key) == 5.0);
}

Test(RelayRequestLimits, PermitsStayBelowTheLimit) {
  for (auto limit : {0.0, 0.3, 1.0, 5.5, 7.3, 100.0}) {
    auto bucket = PermitBucket{};
    auto taken = std::vector<Instant>{};
    auto now = Start;
    for (; now < Start + 20s; now += 7ms) {
      auto wait = bucket.take(limit, now);
      if (!wait)
        taken.push_back(now);
      else
        cr_assert(*wait > Duration{});
    }
    for (auto const &it : taken) {
      auto n = std::ranges::count_if(
          taken, [&](Instant At) { return At >= it && At < it + 4s; });
      cr_assert(static_cast<double>(n) <= 1.5 * limit * 4 + 5);
    }
    cr_assert(static_cast<double>(taken.size()) >= 0.9 * limit * 20);
    cr_assert_geq(taken.size(), 5, "limit %f", limit);
  }
}

// Regression test: the wait was rounded to nothing, and a request asked again
// without end.
Test(RelayRequestLimits, WaitForAPermitIsNeverZero) {
  auto bucket = PermitBucket{};
  auto now = Start;
  (void)bucket.take(3, now);
  for (auto n = 0; n < 100000; ++n) {
    auto wait = bucket.take(3, now);
    cr_assert(!wait || *wait > Duration{});
    now += wait ? *wait - Duration{1} : Duration{};
  }
}

Test(RelayRequestLimits, AreLoggedWhenAServerNamesThem) {
  auto node = RelayNode();
  auto server = completeLookup(node, 5.5);
  auto const *line = effect<WriteLog>(node.LastEffects);
  cr_assert(line != nullptr && line->Event == "server-limit-changed");
  cr_assert(line->Pairs.find("server=" + server) != std::string::npos);
  cr_assert(line->Pairs.find("per_second=5.5") != std::string::npos);
  cr_assert(node.CurrentState.Limits.find(
                node.CurrentState.Servers.find(server)->Key) == 5.5);
}

} // namespace dotterel::relay::test
