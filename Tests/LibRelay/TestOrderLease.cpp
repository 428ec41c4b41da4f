// Two instances that cannot hear each other both plan the stages of engines.
// The store executes writes late, loses responses, and is restored from copies;
// the instances are suspended. Orders must never alternate within a short time,
// and fencing numbers must never fall.
#include "LibRelay/RelayNode.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <random>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

constexpr auto SeedCount = 40U;
constexpr auto Length = Duration{150s};
constexpr auto Step = Duration{50ms};
/// Bound of the platform on orders that alternate between holders.
constexpr auto AlternationBound = Duration{3s};
/// As in the I/O: how long orders may be sent after a write was sent.
constexpr auto LeaseValidity = Duration{1s};

/// The lease object of the store, and the latest copy of it.
struct StoredLease {
  std::uint64_t Revision = 0;
  std::string Holder;
};

class FakeStore {
public:
  [[nodiscard]] auto version() const -> StoreVersion {
    return {Era, Lease.Revision};
  }
  [[nodiscard]] auto holder() const -> std::string const & {
    return Lease.Holder;
  }
  auto write(WriteLease const &Write) -> bool {
    // The store compares revisions only; it does not know eras.
    if (Write.Expected.revision() != Lease.Revision)
      return false;
    Lease = {++LastRevision, Write.Holder};
    return true;
  }
  auto copy() -> void {
    Copy = Lease;
    CopyRevision = LastRevision;
  }
  auto restore() -> void {
    Lease = Copy;
    LastRevision = CopyRevision;
    ++Era;
  }

private:
  StoredLease Lease;
  StoredLease Copy;
  std::uint64_t LastRevision = 100;
  std::uint64_t CopyRevision = 100;
  std::uint64_t Era = 0;
};

/// A message on its way, with the time at which it is due.
struct Pending {
  Instant DueAt;
  std::size_t Node = 0;
  std::variant<ReadLease, WriteLease, SendOrder, EventBody> Content;
  Duration ValidUntil{};
  std::uint64_t Era = 0;
};

/// What arrived at the engines last.
struct LastOrder {
  std::size_t Node = 0;
  Instant At;
  std::uint64_t FencingNumber = 0;
};

class World {
public:
  explicit World(unsigned Seed) : Random(Seed) {
    for (auto const *name : {"i0", "i1"}) {
      auto &node = Nodes.emplace_back(name);
      node.CurrentState.Options.IsFirstStart = true;
      addDecodeEngines(node);
    }
    SuspendedUntil.resize(Nodes.size());
    Now = Nodes[0].Now;
  }

  auto run() -> void {
    for (auto elapsed = Duration{}; elapsed < Length; elapsed += Step) {
      Now += Step;
      if (chance(0.005))
        Store.copy();
      if (chance(0.002))
        Store.restore();
      deliver();
      for (auto n = std::size_t{0}; n < Nodes.size(); ++n)
        advance(n);
    }
  }

  unsigned Orders = 0;
  std::string Violation;

private:
  auto chance(double Probability) -> bool {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }

  auto delay(double MaximumSeconds) -> Duration {
    return fromSeconds(
        std::uniform_real_distribution<double>(0, MaximumSeconds)(Random));
  }

  auto advance(std::size_t Index) -> void {
    auto &node = Nodes[Index];
    if (Now < SuspendedUntil[Index])
      return;
    if (chance(0.002))
      SuspendedUntil[Index] = Now + delay(14);
    node.Now = Now;
    // Demand changes, so that orders are planned again and again.
    if (chance(0.02)) {
      node.CurrentState.Roles.Orders.clear();
      node.CurrentState.Options.PrefillShare = chance(0.5) ? 0.25 : 0.75;
    }
    carryOut(Index, node.feed(Tick{}));
  }

  auto carryOut(std::size_t Index, Effects const &Source) -> void {
    for (auto const &it : Source) {
      if (auto const *read = std::get_if<ReadLease>(&it))
        send(Index, *read, 0.5);
      if (auto const *write = std::get_if<WriteLease>(&it))
        send(Index, *write, chance(0.1) ? 6 : 0.3);
      if (auto const *order = std::get_if<SendOrder>(&it))
        send(Index, *order, 0.8);
    }
  }

  template <typename T>
  auto send(std::size_t Index, T const &Content, double MaximumSeconds)
      -> void {
    InFlight.push_back({Now + delay(MaximumSeconds), Index, Content,
                        Now.time_since_epoch() + LeaseValidity, 0});
  }

  auto deliver() -> void {
    auto due = std::vector<Pending>{};
    auto isDue = [&](Pending const &it) {
      auto isToNode = std::holds_alternative<EventBody>(it.Content) ||
                      std::holds_alternative<SendOrder>(it.Content);
      return it.DueAt <= Now && !(isToNode && Now < SuspendedUntil[it.Node]);
    };
    std::ranges::copy_if(InFlight, std::back_inserter(due), isDue);
    std::erase_if(InFlight, isDue);
    for (auto const &it : due)
      std::visit([&](auto const &Content) { handle(it, Content); }, it.Content);
  }

  auto respond(Pending const &Call, EventBody Response) -> void {
    InFlight.push_back({Now + delay(0.4), Call.Node, std::move(Response),
                        Duration{}, Store.version().era()});
  }

  auto handle(Pending const &Call, ReadLease const & /*Read*/) -> void {
    if (chance(0.1))
      return respond(Call, LeaseRead{});
    respond(Call, LeaseRead{true, Store.version(), Store.holder()});
  }

  auto handle(Pending const &Call, WriteLease const &Write) -> void {
    auto isWritten = Store.write(Write);
    if (!isWritten || chance(0.1))
      return respond(Call, LeaseWritten{});
    respond(Call, LeaseWritten{true, Store.version(), Call.ValidUntil});
  }

  /// A response reaches an instance. As in the I/O, an outdated one counts as
  /// lost, and a newer era is observed first.
  auto handle(Pending const &Call, EventBody const &Response) -> void {
    auto &node = Nodes[Call.Node];
    auto isOutdated = Call.Era < node.CurrentState.Store.Era;
    if (Call.Era > node.CurrentState.Store.Era)
      carryOut(Call.Node, node.feed(StoreEraObserved{Call.Era}));
    auto isRead = std::holds_alternative<LeaseRead>(Response);
    auto lost = isRead ? EventBody(LeaseRead{}) : EventBody(LeaseWritten{});
    carryOut(Call.Node, node.feed(isOutdated ? lost : Response));
  }

  /// An order is about to be sent.
  auto handle(Pending const &Call, SendOrder const &Order) -> void {
    if (Now.time_since_epoch() >= Order.ValidUntil)
      return;
    ++Orders;
    auto isOther = Last && Last->Node != Call.Node;
    if (isOther && Now - Last->At < AlternationBound)
      Violation = fmt::format("orders of two instances {} ms apart",
                              toMilliseconds(Now - Last->At));
    if (Last && Order.FencingNumber < Last->FencingNumber)
      Violation = fmt::format("fencing number {} after {}", Order.FencingNumber,
                              Last->FencingNumber);
    if (isOther && Order.FencingNumber == Last->FencingNumber)
      Violation = fmt::format("two holders with fencing number {}",
                              Order.FencingNumber);
    Last = LastOrder{Call.Node, Now, Order.FencingNumber};
  }

  std::mt19937 Random;
  std::deque<RelayNode> Nodes;
  std::vector<Instant> SuspendedUntil;
  std::vector<Pending> InFlight;
  FakeStore Store;
  Instant Now;
  std::optional<LastOrder> Last;
};

} // namespace

Test(RelayOrderLease, OrdersNeverAlternateOverRestoresAndSuspensions) {
  auto orders = 0U;
  for (auto seed = 1U; seed <= SeedCount; ++seed) {
    auto world = World(seed);
    world.run();
    cr_assert(world.Violation.empty(), "seed %u: %s", seed,
              world.Violation.c_str());
    orders += world.Orders;
  }
  // The check means nothing unless orders are sent.
  cr_assert_gt(orders, 10 * SeedCount);
}

} // namespace dotterel::relay::test
