/// \file
/// Stateful tests: random requests and faults against fakes. The fakes check
/// the system's guarantees: bookings run at most once, no token is lost or
/// repeated, not-run is never wrong, and engines accept recorded orders only.
#include "FakeFleet.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

enum class Step : std::uint8_t {
  Wait,
  Complete,
  Book,
  BookAgain,
  BookWithoutPrefix,
  Kill,
  Start,
  Pause,
  PauseBeforeSending,
  Resume,
  Leave,
  Partition,
  Heal,
  CutApi,
  Outage,
  EndOutage,
  LoseWrites,
  LoseResponses,
  ChangeRole,
  CrashEngine,
  RestartEngine,
  CrashOnOrder,
};

constexpr auto StepCount = 22;

/// A command and its arguments.
struct Command {
  Step Kind = Step::Wait;
  int First = 0;
  int Second = 0;
};

auto operator<<(std::ostream &Output, Command const &Shown) -> std::ostream & {
  return Output << "{" << static_cast<int>(Shown.Kind) << "," << Shown.First
                << "," << Shown.Second << "}";
}

auto anyCommands() -> rc::Gen<std::vector<Command>> {
  auto one = rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, StepCount), rc::gen::inRange(0, 100),
                     rc::gen::inRange(0, 100)),
      [](std::tuple<int, int, int> const &Values) {
        return Command{static_cast<Step>(std::get<0>(Values)),
                       std::get<1>(Values), std::get<2>(Values)};
      });
  return rc::gen::scale(2.0, rc::gen::container<std::vector<Command>>(one));
}

/// Runs commands against a fleet and records the keys that were used.
class Runner {
public:
  explicit Runner(FleetShape Shape) : Shape(Shape), Fleet(Shape) {
    Fleet.advance(10s);
  }

  auto run(Command const &Command) -> void {
    auto instance = Command.First % Shape.Instances;
    auto other = Command.Second % Shape.Instances;
    auto engine = Command.First % Shape.Engines;
    switch (Command.Kind) {
    case Step::Wait:
      return Fleet.advance(std::chrono::milliseconds(50 * Command.First));
    case Step::Complete:
      Fleet.submitCompletion(instance, fmt::format("prompt {}", ++Prompts),
                             1 + Command.Second);
      break;
    case Step::Book:
      if (Fleet.isRunning(other))
        book(instance, Fleet.keyPrefix(other) + fmt::format("k{}", ++Prompts));
      break;
    case Step::BookWithoutPrefix:
      book(instance, fmt::format("plain{}", ++Prompts));
      break;
    case Step::BookAgain:
      if (!Keys.empty())
        book(instance,
             Keys[static_cast<std::size_t>(Command.Second) % Keys.size()]);
      break;
    case Step::Kill:
      Fleet.kill(instance);
      break;
    case Step::Start:
      Fleet.start(instance);
      break;
    case Step::Leave:
      Fleet.leave(instance);
      break;
    case Step::Pause:
      Fleet.pause(instance);
      break;
    case Step::PauseBeforeSending:
      Fleet.pauseBeforeSending(instance);
      break;
    case Step::Resume:
      Fleet.resume(instance);
      break;
    case Step::Partition:
      Fleet.setPartitioned(instance, other, true);
      break;
    case Step::Heal:
      Fleet.setPartitioned(instance, other, false);
      Fleet.setApiCut(instance, false);
      break;
    case Step::CutApi:
      Fleet.setApiCut(instance, true);
      break;
    default:
      return runFault(Command, engine);
    }
    Fleet.advance(std::chrono::milliseconds(Command.Second * 3));
  }

  /// Ends all faults and gives the fleet time to converge.
  auto settle() -> void {
    Fleet.healAll();
    // After this, instances that were leaving have stopped; healAll() restarts
    // them.
    Fleet.advance(30s);
    Fleet.healAll();
    Fleet.advance(120s);
  }

  FleetShape Shape;
  FakeFleet Fleet;

private:
  auto runFault(Command const &Command, int Engine) -> void {
    switch (Command.Kind) {
    case Step::Outage:
      Fleet.setOutage(true);
      break;
    case Step::EndOutage:
      Fleet.setOutage(false);
      break;
    case Step::LoseWrites:
      Fleet.loseNextWrites(1 + Command.First % 3);
      break;
    case Step::LoseResponses:
      Fleet.loseNextResponses(1 + Command.First % 3);
      break;
    case Step::ChangeRole:
      Fleet.setRole(Engine, Command.Second % 2 == 0 ? EngineRole::Prefill
                                                    : EngineRole::Mixed);
      break;
    case Step::CrashEngine:
      Fleet.crashEngine(Engine);
      break;
    case Step::RestartEngine:
      Fleet.engine(Engine).IsDown = false;
      break;
    case Step::CrashOnOrder:
      Fleet.engine(Engine).CrashesOnNextOrder = true;
      break;
    default:
      break;
    }
    Fleet.advance(std::chrono::milliseconds(Command.Second * 10));
  }

  auto book(int Instance, std::string const &Key) -> void {
    if (!Fleet.isRunning(Instance))
      return;
    Fleet.submitBooking(Instance, Key);
    // Key may refer to an element of Keys, so it is copied before the
    // insertion.
    Keys.push_back(std::string(Key));
  }

  int Prompts = 0;
  std::vector<std::string> Keys;
};

auto describeFirst(std::vector<std::string> const &Lines) -> std::string {
  return Lines.empty() ? "" : Lines.front();
}

auto checkPromises(bool EnginesCheckFencing) -> bool {
  return rc::check([=] {
    auto steps = *anyCommands();
    auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    auto runner = Runner({3, 4, 2, EnginesCheckFencing, seed});
    for (auto const &it : steps)
      runner.run(it);
    RC_LOG() << describeFirst(runner.Fleet.violations());
    RC_ASSERT(runner.Fleet.violations().empty());
    runner.settle();
    RC_LOG() << describeFirst(runner.Fleet.violations());
    RC_ASSERT(runner.Fleet.violations().empty());
    RC_ASSERT(runner.Fleet.isConverged());
    for (auto n = 0; n < 3; ++n)
      RC_ASSERT(runner.Fleet.state(n).Calls.Calls.empty());
  });
}

} // namespace

Test(Promises, HoldWithEnginesThatCheckFencing) {
  cr_assert(checkPromises(true));
}

Test(Promises, HoldWithEnginesThatIgnoreFencing) {
  cr_assert(checkPromises(false));
}

} // namespace dotterel::test
