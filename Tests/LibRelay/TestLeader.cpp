// Usage reports under failure: three instances count requests and report them
// through a store that executes writes late and loses responses, while the
// holder is killed, frozen or cut off. The platform must never get two contents
// for one window, nor a falling fencing number.
#include "LibRelay/RelayNode.h"

#include <deque>
#include <fmt/format.h>
#include <random>

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

constexpr auto Step = Duration{50ms};
constexpr auto Window = Duration{5s};
constexpr auto Deadline = Duration{10s};
constexpr auto Epoch = Duration{5000s};
constexpr auto NodeCount = 3;

struct Sent {
  std::size_t Node;
  SendUsageReport Call;
  Duration ArrivesAt;
};

/// What the platform has accepted.
struct Platform {
  std::map<UsageWindow, UsageCounts> Reports;
  std::map<UsageWindow, Duration> AcceptedAt;
  std::uint64_t HighestFence = 0;
  std::map<std::uint64_t, std::size_t> HolderOfFence;
  bool HasConflict = false;
  bool HasFallingFence = false;

  auto accept(Sent const &It, Duration Now) -> void {
    auto const &report = It.Call.Report;
    auto const fence = It.Call.Authority.FencingNumber;
    HasFallingFence = HasFallingFence || fence < HighestFence;
    HighestFence = std::max(HighestFence, fence);
    auto holder = HolderOfFence.try_emplace(fence, It.Node).first;
    HasConflict = HasConflict || holder->second != It.Node;
    auto known = Reports.try_emplace(report.Window, report.Counts).first;
    HasConflict = HasConflict || known->second != report.Counts;
    AcceptedAt.try_emplace(report.Window, Now);
  }
};

class LeaderFleet {
public:
  explicit LeaderFleet(unsigned Seed) : Random(Seed) {
    for (auto n = 0; n < NodeCount; ++n) {
      auto &node = Nodes.emplace_back(fmt::format("i{}", n));
      node.CurrentState.Options.UsageWindow = Window;
      node.CurrentState.Options.UsageDeadline = Deadline;
      auto const base = makeConfiguration(2);
      auto routes =
          std::vector<Route>(base->routes().begin(), base->routes().end());
      auto const keys =
          std::vector<CustomerKeys>{{{"north", std::nullopt}, {"k"}}};
      node.feed(ConfigurationReceived{
          std::make_shared<Configuration const>(
              2, routes,
              std::vector<Service>{{"plain", 200, std::nullopt, std::nullopt}},
              CallerLimits{}, CustomerTable(keys)),
          atRevision(2)});
      Paused.push_back(Duration{});
      Cut.push_back(false);
    }
    for (auto n = std::size_t{0}; n < NodeCount; ++n) {
      for (auto other = std::size_t{0}; other < NodeCount; ++other) {
        if (other != n)
          Nodes[n].feed(
              PeersListed{{{Nodes[other].CurrentState.Self.Instance,
                            Nodes[other].CurrentState.Self.PeerAddress}}});
      }
    }
  }

  auto run(Duration Span) -> void {
    for (auto elapsed = Duration{}; elapsed < Span; elapsed += Step) {
      Now += Step;
      executeWrites();
      deliverCalls();
      for (auto n = std::size_t{0}; n < NodeCount; ++n)
        step(n);
    }
  }

  /// Returns the holder, or NodeCount if there is none.
  [[nodiscard]] auto holder() const -> std::size_t {
    for (auto n = std::size_t{0}; n < NodeCount; ++n) {
      if (Nodes[n].CurrentState.Leader.Lease.Fence && Paused[n] < Now)
        return n;
    }
    return NodeCount;
  }

  Platform Cloud;
  std::deque<RelayNode> Nodes;
  /// Time until which a process is frozen.
  std::vector<Duration> Paused;
  /// The instance reaches neither the store nor its peers.
  std::vector<bool> Cut;
  bool IsStoreDown = false;
  double LossShare = 0;
  Duration Now = Epoch;

private:
  struct Write {
    std::size_t Node;
    WriteLeaderLease Effect;
    Duration ExecutesAt;
    Duration SentAt;
    bool IsResponseLost;
  };

  auto draw() -> double {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  auto step(std::size_t N) -> void {
    if (Now < Paused[N])
      return;
    auto &node = Nodes[N];
    node.Now = Instant{} + Now;
    carryOut(N, node.feed(Tick{Now, Now}));
    // Each instance starts some requests.
    if (draw() < 0.2) {
      node.CurrentState.Customers.Usage.record(
          node.CurrentState.usageWindow(node.Now), "north");
      ++Truth[static_cast<UsageWindow>(Now / Window)];
    }
  }

  auto carryOut(std::size_t N, Effects const &Source) -> void {
    auto const isCut = Cut[N];
    for (auto const &it : Source) {
      if (auto const *send = std::get_if<SendPeerReport>(&it)) {
        auto report = send->Report;
        report.PeerAddress = Nodes[N].CurrentState.Self.PeerAddress;
        deliver(N, PeerReported{report});
      } else if (auto const *usage = std::get_if<SendUsage>(&it)) {
        for (auto const &message : usage->Messages)
          deliver(N, UsageReceived{Nodes[N].CurrentState.Self.PeerAddress,
                                   message});
      } else if (std::holds_alternative<ReadLeaderLease>(it)) {
        auto read = LeaderLeaseRead{};
        if (!isCut && !IsStoreDown && draw() >= LossShare)
          read = {true, {0, Revision}, Stored};
        Later.emplace_back(N, read);
      } else if (auto const *write = std::get_if<WriteLeaderLease>(&it)) {
        auto const isLate = draw() < LossShare;
        Writes.push_back({N, *write, Now + (isLate ? Duration{3s} : Step), Now,
                          isLate || draw() < LossShare});
      } else if (auto const *call = std::get_if<SendUsageReport>(&it)) {
        if (!isCut && Now < call->Authority.ValidUntil)
          Calls.push_back(
              {N, *call, Now + (draw() < LossShare ? 300ms : 50ms)});
      }
    }
  }

  auto deliver(std::size_t From, EventBody const &Body) -> void {
    for (auto n = std::size_t{0}; n < NodeCount; ++n) {
      if (n != From && !Cut[n] && !Cut[From] && Now >= Paused[n] &&
          draw() >= LossShare)
        Later.emplace_back(n, Body);
    }
  }

  auto executeWrites() -> void {
    auto later = std::exchange(Later, {});
    for (auto &it : later)
      carryOut(it.first, Nodes[it.first].feed(it.second));
    for (auto n = Writes.size(); n > 0; --n) {
      auto write = std::move(Writes.front());
      Writes.pop_front();
      if (Now < write.ExecutesAt) {
        Writes.push_back(std::move(write));
        continue;
      }
      auto const isDone = !IsStoreDown && !Cut[write.Node] &&
                          write.Effect.Expected.revision() == Revision;
      if (isDone) {
        Stored = write.Effect.Record;
        Revision += 3;
      }
      auto written = LeaderLeaseWritten{};
      if (isDone && !write.IsResponseLost)
        written = {true, {0, Revision}, write.SentAt};
      Later.emplace_back(write.Node, written);
    }
  }

  auto deliverCalls() -> void {
    for (auto n = Calls.size(); n > 0; --n) {
      auto call = std::move(Calls.front());
      Calls.pop_front();
      if (Now < call.ArrivesAt) {
        Calls.push_back(std::move(call));
        continue;
      }
      Cloud.accept(call, Now);
      if (draw() >= LossShare)
        Later.push_back({call.Node, UsageReported{call.Call.Report.Window,
                                                  CallResult::Accepted, 200}});
    }
  }

public:
  std::map<UsageWindow, std::uint32_t> Truth;

private:
  std::mt19937 Random;
  LeaderRecord Stored;
  std::uint64_t Revision = 0;
  std::deque<Write> Writes;
  std::deque<Sent> Calls;
  std::vector<std::pair<std::size_t, EventBody>> Later;
};

/// The counts of an instance that is killed are not known for this long.
constexpr auto LostCounts = Duration{500ms};

/// Returns the windows that ended long ago and were not reported in time, or
/// not with the true counts. The report of a window may be lower if an instance
/// was killed in it, or just after it, at \p KilledAt.
auto faults(LeaderFleet const &Fleet, Duration KilledAt = Duration::max())
    -> std::size_t {
  auto n = std::size_t{0};
  auto const first = static_cast<UsageWindow>((Epoch + 15s) / Window);
  auto const last = static_cast<UsageWindow>((Fleet.Now - Deadline) / Window);
  for (auto window = first; window < last; ++window) {
    auto const start = static_cast<std::int64_t>(window) * Window;
    auto const end = start + Window;
    auto const report = Fleet.Cloud.Reports.find(window);
    if (report == Fleet.Cloud.Reports.end() ||
        Fleet.Cloud.AcceptedAt.at(window) > end + Deadline) {
      ++n;
      continue;
    }
    auto const truth =
        Fleet.Truth.contains(window) ? Fleet.Truth.at(window) : 0;
    auto const it = report->second.find("north");
    auto const counted = it == report->second.end() ? 0 : it->second;
    auto const mayMiss = KilledAt >= start && KilledAt - LostCounts <= end;
    if (mayMiss ? counted > truth : counted != truth)
      ++n;
  }
  return n;
}

} // namespace

Test(RelayLeader, EachWindowIsReportedOnceInTime) {
  auto fleet = LeaderFleet(1);
  fleet.run(90s);
  cr_expect_eq(faults(fleet), 0U);
  cr_expect(!fleet.Cloud.HasConflict);
  cr_expect_eq(fleet.Cloud.HolderOfFence.size(), 1U);
}

// The next holder must report every window that the first one has not, with
// what all instances counted.
Test(RelayLeader, SuccessorTakesOverInTime) {
  for (auto seed = 1U; seed <= 10; ++seed) {
    auto fleet = LeaderFleet(seed);
    fleet.run(40s + seed * 500ms);
    auto const first = fleet.holder();
    cr_assert_lt(first, std::size_t{NodeCount});
    auto const killedAt = fleet.Now;
    fleet.Paused[first] = Duration::max();
    fleet.run(60s);
    cr_expect_lt(fleet.holder(), std::size_t{NodeCount}, "seed %u", seed);
    cr_expect_eq(faults(fleet, killedAt), 0U, "seed %u", seed);
    cr_expect(!fleet.Cloud.HasConflict, "seed %u", seed);
    cr_expect(!fleet.Cloud.HasFallingFence, "seed %u", seed);
  }
}

// A holder that wakes or whose link heals finds that it was replaced.
Test(RelayLeader, NoTwoContentsUnderFailure) {
  for (auto seed = 1U; seed <= 40; ++seed) {
    auto fleet = LeaderFleet(seed);
    auto random = std::mt19937(seed + 1000);
    fleet.LossShare = 0.2;
    fleet.run(20s);
    for (auto n = 0; n < 8; ++n) {
      auto const target = fleet.holder();
      auto const span = Duration{1s} * (random() % 14 + 1);
      if (target < NodeCount && random() % 3 == 0)
        fleet.Paused[target] = fleet.Now + span;
      else if (target < NodeCount && random() % 2 == 0)
        fleet.Cut[target] = true;
      else
        fleet.IsStoreDown = true;
      fleet.run(span);
      fleet.IsStoreDown = false;
      fleet.Cut.assign(NodeCount, false);
      fleet.run(Duration{1s} * (random() % 12));
    }
    cr_expect(!fleet.Cloud.HasConflict, "seed %u", seed);
    cr_expect(!fleet.Cloud.HasFallingFence, "seed %u", seed);
    fleet.LossShare = 0;
    fleet.run(40s);
    auto const last = static_cast<UsageWindow>((fleet.Now - 15s) / Window);
    cr_expect(fleet.Cloud.Reports.contains(last), "seed %u", seed);
  }
}

} // namespace dotterel::relay::test
