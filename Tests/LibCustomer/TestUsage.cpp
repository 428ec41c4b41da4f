// Counts of customers' requests, as instances tell them to each other.
#include "LibCustomer/UsageLedger.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

constexpr auto Window = UsageWindow{1000};

} // namespace

// Datagrams are lost, repeated and reordered; each request counts once.
Test(UsageLedger, MergesMessagesInAnyOrder) {
  auto messages = std::vector<UsageMessage>{};
  for (auto n = 1U; n <= 20; ++n)
    messages.push_back({7, {Window, {{"north", n}, {"south", n / 2}}}});
  for (auto seed = 1U; seed <= 10; ++seed) {
    auto order = messages;
    std::shuffle(order.begin(), order.end(), std::mt19937(seed));
    auto ledger = UsageLedger{};
    for (auto const &it : order) {
      ledger.merge("a", it, Window);
      ledger.merge("a", it, Window);
    }
    auto const total = ledger.total(Window);
    cr_expect_eq(total.at("north"), 20U, "seed %u", seed);
    cr_expect_eq(total.at("south"), 10U, "seed %u", seed);
  }
}

// An instance that starts again counts from zero; what it counted before must
// not be lost or replaced.
Test(UsageLedger, AddsIncarnationsAndInstances) {
  auto ledger = UsageLedger{};
  ledger.merge("a", {1, {Window, {{"north", 5}}}}, Window);
  ledger.merge("a", {2, {Window, {{"north", 3}}}}, Window);
  ledger.merge("b", {1, {Window, {{"north", 2}}}}, Window);
  ledger.record(Window, "north");
  cr_expect_eq(ledger.total(Window).at("north"), 11U);
}

// Windows of other instances must not let the ledger grow without bound.
Test(UsageLedger, IgnoresWindowsThatAreNotKept) {
  auto ledger = UsageLedger{};
  ledger.merge("a", {1, {Window + 2, {{"north", 5}}}}, Window);
  ledger.merge("a", {1, {Window - UsageLedger::KeptWindows, {{"n", 5}}}},
               Window);
  ledger.merge("a", {1, {UINT64_MAX, {{"n", 5}}}}, Window);
  cr_expect(ledger.total(Window + 2).empty());
  cr_expect(ledger.total(Window - UsageLedger::KeptWindows).empty());
  ledger.merge("a", {1, {Window, {{"north", 5}}}}, Window);
  ledger.advance(Window + UsageLedger::KeptWindows);
  cr_expect(ledger.total(Window).empty());
}

// Only what changed is repeated, unless a peer may have missed it.
Test(UsageLedger, TakesWhatChanged) {
  auto ledger = UsageLedger{};
  ledger.record(Window, "north");
  cr_expect_eq(ledger.takeOwn(false).size(), 1U);
  cr_expect(ledger.takeOwn(false).empty());
  cr_expect_eq(ledger.takeOwn(true).size(), 1U);
}

// Many customers do not fit one datagram.
Test(UsageMessage, SurvivesTheWayInParts) {
  auto message = UsageMessage{9, {Window, {}}};
  for (auto n = 1U; n <= 1000; ++n)
    message.Report.Counts[fmt::format("customer-{}", n)] = n;
  auto ledger = UsageLedger{};
  auto const parts = encodeUsage(message);
  cr_expect_gt(parts.size(), 1U);
  for (auto const &it : parts) {
    auto const part = decodeUsage(it);
    cr_assert(part);
    cr_expect_lt(it.size(), 8192U);
    ledger.merge("a", *part, Window);
  }
  cr_expect(ledger.total(Window) == message.Report.Counts);
}

// Anything may arrive at the port.
Test(UsageMessage, RejectsOtherBytes) {
  auto const valid = encodeUsage({9, {Window, {{"north", 1}}}}).front();
  cr_expect(decodeUsage(valid));
  for (auto n = std::size_t{0}; n < valid.size(); ++n)
    (void)decodeUsage(valid.substr(0, n));
  cr_expect(!decodeUsage(""));
  cr_expect(!decodeUsage("\x84\x01\x02\x03\x04"));
  cr_expect(!decodeUsage(std::string(100, '\x81')));
}

} // namespace dotterel::test
