#include "LibRelay/RelayNode.h"

#include <criterion/criterion.h>

namespace dotterel::relay::test {

Test(RelayAtMostOnce, BrokenBookingIsNotSentAgain) {
  auto node = RelayNode();
  auto number = node.request(Kind::Booking);
  cr_assert(node.connect(number).has_value());
  node.feed(AttemptBroken{node.name(number), "reset"});
  cr_assert_null(effect<ConnectAttempt>(node.Last));
  auto const *answer = effect<Refuse>(node.Last);
  cr_assert_not_null(answer);
  cr_assert_eq(describe(answer->Code).HttpStatus, 502);
}

Test(RelayAtMostOnce, BookingGoesElsewhereIfNothingWasSent) {
  auto node = RelayNode();
  auto number = node.request(Kind::Booking);
  auto first = node.current(number)->Server;
  node.feed(AttemptUnreachable{node.name(number), "no connection"});
  cr_assert_not_null(effect<ConnectAttempt>(node.Last));
  cr_assert(node.current(number)->Server != first);
}

Test(RelayAtMostOnce, StatusThatPromisesTooMuchIsReplaced) {
  for (auto status : {408U, 429U, 503U}) {
    auto node = RelayNode();
    auto number = node.request(Kind::Booking);
    (void)node.connect(number);
    auto answer = ServerAnswer{};
    answer.Status = status;
    node.feed(AttemptAnswered{node.name(number), answer});
    cr_assert_null(effect<ForwardAnswer>(node.Last));
    auto const *refused = effect<Refuse>(node.Last);
    cr_assert_not_null(refused);
    cr_assert_eq(describe(refused->Code).HttpStatus, 502);
  }
}

Test(RelayAtMostOnce, RefusedBookingIsToldNotRunAndWhenToComeBack) {
  auto node = RelayNode();
  auto number = node.request(Kind::Booking);
  (void)node.connect(number);
  auto answer = ServerAnswer{};
  answer.Status = 503;
  answer.IsNotExecuted = true;
  node.feed(AttemptAnswered{node.name(number), answer});
  auto const *refused = effect<Refuse>(node.Last);
  cr_assert_not_null(refused);
  cr_assert_eq(describe(refused->Code).HttpStatus, 503);
  cr_assert(refused->RetryAfter.has_value());
}

Test(RelayAtMostOnce, DeadlineTellsWhetherItMayHaveRun) {
  auto node = RelayNode();
  auto sent = node.request(Kind::Booking, {}, 500ms);
  (void)node.connect(sent);
  auto unsent = node.request(Kind::Booking, {}, 500ms);
  auto effects = node.pass(600ms);
  auto statuses = std::map<RequestNumber, unsigned>{};
  for (auto const &it : effects) {
    if (auto const *refused = std::get_if<Refuse>(&it))
      statuses[refused->Number] = describe(refused->Code).HttpStatus;
  }
  cr_assert_eq(statuses[sent], 504);
  cr_assert_eq(statuses[unsent], 503);
}

Test(RelayAtMostOnce, LookupIsSentAgainOnceAndElsewhere) {
  auto node = RelayNode();
  auto number = node.request(Kind::Lookup);
  (void)node.connect(number);
  auto first = node.current(number)->Server;
  node.feed(AttemptBroken{node.name(number), "reset"});
  cr_assert_not_null(effect<ConnectAttempt>(node.Last));
  cr_assert(node.current(number)->Server != first);
  (void)node.connect(number);
  node.feed(AttemptBroken{node.name(number), "reset"});
  cr_assert_null(effect<ConnectAttempt>(node.Last));
  cr_assert_not_null(effect<Refuse>(node.Last));
}

Test(RelayAtMostOnce, ServerThatBeganToLeaveGetsNothing) {
  auto node = RelayNode();
  auto number = node.request(Kind::Booking);
  auto const *server = node.Current.Servers.find(node.current(number)->Server);
  auto leaving = server->Described;
  leaving.IsDraining = true;
  leaving.Revision = 3;
  node.feed(ServersUpdated{{{leaving.Id, 3, leaving}}, 3});
  cr_assert_not(node.connect(number).has_value());
  cr_assert(node.current(number)->Server != leaving.Id);
}

Test(RelayAtMostOnce, CallerThatLeavesEndsTheWork) {
  auto node = RelayNode();
  auto number = node.request(Kind::Stream, prompt(1, 1000, 500));
  (void)node.connect(number);
  node.feed(CallerLeft{number});
  cr_assert_not_null(effect<CancelAttempt>(node.Last));
  cr_assert(node.Current.Calls.empty());
  for (auto const &it : node.Current.Servers.all())
    cr_assert_eq(it.second->Own.Requests, 0);
}

} // namespace dotterel::relay::test
