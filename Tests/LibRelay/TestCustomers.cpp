// Requests of customers at one instance: which are served, for whom, and for
// how long after the instance last knew that its keys are current.
#include "LibRelay/Access.h"
#include "LibRelay/RelayNode.h"

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

constexpr auto Bound = Duration{5s};

auto withCustomers(std::uint64_t Version, std::vector<CustomerKeys> Customers)
    -> std::shared_ptr<Configuration const> {
  auto const base = makeConfiguration(Version);
  auto routes =
      std::vector<Route>(base->routes().begin(), base->routes().end());
  routes.back().IsPublic = true;
  auto services = std::vector<Service>{};
  for (auto const &it : base->services())
    services.push_back(it.second);
  return std::make_shared<Configuration const>(
      Version, routes, services, CallerLimits{}, CustomerTable(Customers));
}

/// An instance whose time since boot advances like its clock unless it is
/// suspended.
class CustomerNode : public RelayNode {
public:
  CustomerNode() {
    CurrentState.Options.RevocationBound = Bound;
    configure(
        2, {{{"north", 3}, {"key-n"}}, {{"south", std::nullopt}, {"key-s"}}});
  }

  auto sinceBoot() const -> Duration {
    return Now.time_since_epoch() + Suspended;
  }

  auto configure(std::uint64_t Version, std::vector<CustomerKeys> Customers)
      -> void {
    feed(ConfigurationReceived{withCustomers(Version, std::move(Customers)),
                               atRevision(Version)});
    confirm(sinceBoot());
  }

  auto confirm(Duration AskedAt) -> void {
    feed(ConfigurationConfirmed{atRevision(2), AskedAt});
  }

  auto tick(Duration Span) -> void {
    for (auto elapsed = Duration{}; elapsed < Span; elapsed += 50ms) {
      Now += 50ms;
      feed(Tick{sinceBoot(), Duration{}});
    }
  }

  /// Feeds a request and returns the code with which it is refused, if it is.
  auto ask(std::optional<std::string> Key, std::string Target = "/book/x",
           std::vector<HttpField> Fields = {}) -> std::optional<ResultCode> {
    auto content = Request{};
    content.Method = "POST";
    content.Target = std::move(Target);
    content.Host = "h";
    content.Id = "r";
    content.Credentials = {std::move(Fields), std::move(Key), false};
    feed(RequestArrived{++Number,
                        std::make_shared<Request const>(std::move(content)),
                        sinceBoot()});
    auto const *refusal = effect<SendErrorResponse>(LastEffects);
    return refusal == nullptr ? std::nullopt : std::optional(refusal->Code);
  }

  Duration Suspended{};
  RequestNumber Number = 1000;
};

} // namespace

// A server must learn the customer's name and never the key, whatever the
// caller sent in those fields.
Test(RelayCustomers, ServerGetsTheCustomerAndNotTheKey) {
  auto node = CustomerNode();
  cr_assert(!node.ask("key-n", "/book/x",
                      {{"Authorization", "Token key-n"}, {"Tenant", "south"}}));
  auto const send = node.connect(node.Number);
  cr_assert(send);
  cr_expect(send->Parameters.Customer == "north");
  cr_expect(!send->Parameters.ForwardsCredentials);
  cr_expect_eq(node.CurrentState.Requests.at(node.Number).priority(), 3U);
}

// Without customers the fields belong to the caller and the server.
Test(RelayCustomers, CredentialsAreForwardedWithoutCustomers) {
  auto node = RelayNode();
  auto const send = node.connect(node.request(RouteKind::Booking));
  cr_assert(send);
  cr_expect(send->Parameters.ForwardsCredentials);
  cr_expect(send->Parameters.Customer.empty());
}

Test(RelayCustomers, RefusesWhatHasNoValidKey) {
  auto node = CustomerNode();
  cr_expect(node.ask(std::nullopt) == ResultCode::UnknownKey);
  cr_expect(node.ask("key-x") == ResultCode::UnknownKey);
  cr_expect(node.ask("") == ResultCode::UnknownKey);
  cr_expect(node.ask("key-n", "/none/x") == ResultCode::UnknownPath);
  // A public route needs no key, but a wrong one is an error.
  cr_expect(!node.ask(std::nullopt, "/once/x"));
  cr_expect(!node.ask("key-s", "/once/x"));
  cr_expect(node.ask("key-x", "/once/x") == ResultCode::UnknownKey);
  auto const config = withCustomers(9, {{{"north", 3}, {"key-n"}}});
  auto invalid = Credentials{{}, "key-n", true};
  cr_expect(checkAccess(*config, config->routes()[0], invalid).Refusal ==
            ResultCode::UnknownKey);
}

// The next version takes effect at once, in both directions.
Test(RelayCustomers, FollowsTheConfiguration) {
  auto node = CustomerNode();
  node.configure(3, {{{"north", 3}, {"key-n2"}}});
  cr_expect(node.ask("key-n") == ResultCode::UnknownKey);
  cr_expect(node.ask("key-s") == ResultCode::UnknownKey);
  cr_expect(!node.ask("key-n2"));
}

// An instance that is cut off cannot know that a key was removed.
Test(RelayCustomers, StopsServingBeforeTheBound) {
  auto node = CustomerNode();
  node.tick(4500ms);
  cr_expect(!node.ask("key-n"));
  cr_expect(node.CurrentState.isReady());
  node.tick(500ms);
  cr_expect(node.ask("key-n") == ResultCode::KeysUnconfirmed);
  cr_expect(!node.ask(std::nullopt, "/once/x"), "needs no key");
  cr_expect(!node.CurrentState.isReady());
  node.confirm(node.sinceBoot());
  cr_expect(!node.ask("key-n"));
}

// The steady clock does not count the time of a suspension, and no tick comes
// before the first request after it.
Test(RelayCustomers, SuspensionCountsAsAge) {
  auto node = CustomerNode();
  node.tick(1s);
  node.Suspended += 10s;
  cr_expect(node.ask("key-n") == ResultCode::KeysUnconfirmed);
}

// A response that was on its way during a suspension is as old as its question.
Test(RelayCustomers, ConfirmationCountsFromTheQuestion) {
  auto node = CustomerNode();
  auto const askedAt = node.sinceBoot();
  node.tick(1s);
  node.Suspended += 10s;
  node.confirm(askedAt);
  cr_expect(node.ask("key-n") == ResultCode::KeysUnconfirmed);
  node.feed(ConfirmationAnswered{
      {node.sinceBoot(), 6s, node.CurrentState.StoreWatch.Configuration}});
  cr_expect(node.ask("key-n") == ResultCode::KeysUnconfirmed);
  node.feed(ConfirmationAnswered{
      {node.sinceBoot(), 1s, node.CurrentState.StoreWatch.Configuration}});
  cr_expect(!node.ask("key-n"));
}

// A peer with a newer configuration confirms nothing; it has to be read first.
Test(RelayCustomers, NewerVersionIsReadFirst) {
  auto node = CustomerNode();
  node.tick(5s);
  node.CurrentState.StoreWatch.IsWatching = false;
  node.feed(ConfirmationAnswered{{node.sinceBoot(), 0s, atRevision(50)}});
  cr_expect(node.ask("key-n") == ResultCode::KeysUnconfirmed);
  cr_expect(node.CurrentState.StoreWatch.needsConfiguration());
}

// Only an instance that hears from the store itself answers others, with the
// age of its own knowledge.
Test(RelayCustomers, WatcherTellsTheAgeOfItsKnowledge) {
  auto node = CustomerNode();
  node.tick(1s);
  node.feed(ConfirmationRequested{"p", {Duration{77}}, node.sinceBoot()});
  auto const *response = effect<SendConfirmationResponse>(node.LastEffects);
  cr_assert_not_null(response);
  cr_expect(response->Response.AskedAt == Duration{77});
  cr_expect(response->Response.Age == Duration{1s});
  node.CurrentState.StoreWatch.IsWatching = false;
  node.feed(ConfirmationRequested{"p", {Duration{77}}, node.sinceBoot()});
  cr_expect_eq(countEffects<SendConfirmationResponse>(node.LastEffects), 0U);
}

// Keys are secrets: no log line may contain one.
Test(RelayCustomers, LogsNoKeys) {
  auto node = CustomerNode();
  for (auto const *key : {"key-n", "key-secret"}) {
    (void)node.ask(key);
    for (auto const &it : node.LastEffects) {
      if (auto const *line = std::get_if<WriteLog>(&it))
        cr_expect(line->Pairs.find(key) == std::string::npos, "%s",
                  line->Pairs.c_str());
    }
  }
}

Test(RelayCustomers, ConfirmationMessagesSurviveTheWay) {
  auto const request = ConfirmationRequest{Duration{123456789012345}};
  auto const decoded = decodeConfirmation(encodeConfirmation(request));
  cr_assert(decoded);
  cr_expect(std::get<ConfirmationRequest>(*decoded).AskedAt == request.AskedAt);
  auto const response = ConfirmationResponse{5s, 400ms, atRevision(9)};
  auto const bytes = encodeConfirmation(response);
  auto const again = decodeConfirmation(bytes);
  cr_assert(again);
  cr_expect(std::get<ConfirmationResponse>(*again).Configuration ==
            atRevision(9));
  for (auto n = std::size_t{0}; n < bytes.size(); ++n)
    cr_expect(!decodeConfirmation(bytes.substr(0, n)));
}

} // namespace dotterel::relay::test
