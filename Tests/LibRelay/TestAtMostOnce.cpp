#include "LibRelay/RelayNode.h"

#include <criterion/criterion.h>

namespace dotterel::relay::test {

Test(RelayAtMostOnce, InterruptedBookingIsNotRetried) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Booking);
  cr_assert(node.connect(number).has_value());
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
  auto const *response = effect<SendErrorResponse>(node.LastEffects);
  cr_assert_not_null(response);
  cr_assert_eq(describe(response->Code).HttpStatus, 502);
}

Test(RelayAtMostOnce, BookingIsRetriedIfNothingWasSent) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Booking);
  auto first = node.currentAttempt(number)->Server;
  node.feed(AttemptUnreachable{node.attemptId(number), "no connection"});
  cr_assert_not_null(effect<ConnectAttempt>(node.LastEffects));
  cr_assert(node.currentAttempt(number)->Server != first);
}

Test(RelayAtMostOnce, StatusImplyingNotExecutedIsReplaced) {
  for (auto status : {408U, 429U, 503U}) {
    auto node = RelayNode();
    auto number = node.request(RouteKind::Booking);
    (void)node.connect(number);
    auto response = ServerResponse{};
    response.Status = status;
    node.feed(AttemptResponded{node.attemptId(number), response});
    cr_assert_null(effect<ForwardResponse>(node.LastEffects));
    auto const *refused = effect<SendErrorResponse>(node.LastEffects);
    cr_assert_not_null(refused);
    cr_assert_eq(describe(refused->Code).HttpStatus, 502);
  }
}

Test(RelayAtMostOnce, RefusedBookingGets503WithRetryAfter) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Booking);
  (void)node.connect(number);
  auto response = ServerResponse{};
  response.Status = 503;
  response.IsNotExecuted = true;
  node.feed(AttemptResponded{node.attemptId(number), response});
  auto const *refused = effect<SendErrorResponse>(node.LastEffects);
  cr_assert_not_null(refused);
  cr_assert_eq(describe(refused->Code).HttpStatus, 503);
  cr_assert(refused->RetryAfter.has_value());
}

Test(RelayAtMostOnce, ExpiredDeadlineReportsWhetherRequestMayHaveRun) {
  auto node = RelayNode();
  auto sent = node.request(RouteKind::Booking, {}, 500ms);
  (void)node.connect(sent);
  auto unsent = node.request(RouteKind::Booking, {}, 500ms);
  auto effects = node.advance(600ms);
  auto statuses = std::map<RequestNumber, unsigned>{};
  for (auto const &it : effects) {
    if (auto const *refused = std::get_if<SendErrorResponse>(&it))
      statuses[refused->Number] = describe(refused->Code).HttpStatus;
  }
  cr_assert_eq(statuses[sent], 504);
  cr_assert_eq(statuses[unsent], 503);
}

Test(RelayAtMostOnce, LookupIsRetriedOnceAtAnotherServer) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Lookup);
  (void)node.connect(number);
  auto first = node.currentAttempt(number)->Server;
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert_not_null(effect<ConnectAttempt>(node.LastEffects));
  cr_assert(node.currentAttempt(number)->Server != first);
  (void)node.connect(number);
  node.feed(AttemptInterrupted{node.attemptId(number), "reset"});
  cr_assert_null(effect<ConnectAttempt>(node.LastEffects));
  cr_assert_not_null(effect<SendErrorResponse>(node.LastEffects));
}

Test(RelayAtMostOnce, DrainingServerGetsNoRequest) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Booking);
  auto const *server =
      node.CurrentState.Servers.find(node.currentAttempt(number)->Server);
  auto leaving = server->Description;
  leaving.IsDraining = true;
  leaving.Version = atRevision(3);
  node.feed(
      ServersUpdated{{{leaving.Id, atRevision(3), leaving}}, atRevision(3)});
  cr_assert_not(node.connect(number).has_value());
  cr_assert(node.currentAttempt(number)->Server != leaving.Id);
}

Test(RelayAtMostOnce, DisconnectedCallerCancelsTheAttempt) {
  auto node = RelayNode();
  auto number = node.request(RouteKind::Stream, prompt(1, 1000, 500));
  (void)node.connect(number);
  node.feed(CallerDisconnected{number});
  cr_assert_not_null(effect<CancelAttempt>(node.LastEffects));
  cr_assert(node.CurrentState.Requests.empty());
  for (auto const &it : node.CurrentState.Servers.all())
    cr_assert_eq(it.second->OwnLoad.Requests, 0);
}

} // namespace dotterel::relay::test
