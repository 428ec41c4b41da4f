#include "LibControl/OrderLifecycle.h"

#include "LibControl/LifecycleMachine.h"

namespace dotterel {

namespace {

using Phase = OrderLifecycle::Phase;
template <Phase Value> using In = LifecycleState<Phase, Value>;

struct IntentCommitted {};
struct AllAcknowledged {};
struct AcknowledgementLost {};
struct ConnectRequested {};
struct Sent {};
struct NotSent {};
struct Answered {};
struct RefusedBusy {};
struct ReportedDone {};
struct ReportedNotDone {};

struct Definition : LifecycleDefinition<Definition> {
  using initial_state = In<Phase::Recording>;
  // clang-format off
  struct transition_table : boost::mpl::vector<
      Move<In<Phase::Recording>, IntentCommitted, In<Phase::Draining>>,
      Move<In<Phase::Draining>, AllAcknowledged, In<Phase::AwaitingIdle>>,
      Move<In<Phase::AwaitingIdle>, AcknowledgementLost, In<Phase::Draining>>,
      Move<In<Phase::AwaitingIdle>, ConnectRequested, In<Phase::Connecting>>,
      Move<In<Phase::Connecting>, Sent, In<Phase::Sent>>,
      Move<In<Phase::Connecting>, NotSent, In<Phase::AwaitingIdle>>,
      Move<In<Phase::Sent>, Answered, In<Phase::Confirming>>,
      Move<In<Phase::Sent>, RefusedBusy, In<Phase::AwaitingIdle>>,
      Move<In<Phase::Recording>, ReportedDone, In<Phase::Resolved>>,
      Move<In<Phase::Draining>, ReportedDone, In<Phase::Resolved>>,
      Move<In<Phase::AwaitingIdle>, ReportedDone, In<Phase::Resolved>>,
      Move<In<Phase::Confirming>, ReportedDone, In<Phase::Resolved>>,
      Move<In<Phase::Confirming>, ReportedNotDone, In<Phase::AwaitingIdle>>
  > {};
  // clang-format on
};

} // namespace

struct OrderLifecycle::Implementation : LifecycleMachine<Definition, Phase> {};

OrderLifecycle::OrderLifecycle() : Self(std::make_unique<Implementation>()) {}
OrderLifecycle::~OrderLifecycle() = default;
OrderLifecycle::OrderLifecycle(OrderLifecycle &&) noexcept = default;
auto OrderLifecycle::operator=(OrderLifecycle &&) noexcept
    -> OrderLifecycle & = default;

auto OrderLifecycle::phase() const -> Phase { return Self->phase(); }

auto OrderLifecycle::intentCommitted() -> bool {
  return Self->accepts(IntentCommitted{});
}
auto OrderLifecycle::allAcknowledged() -> bool {
  return Self->accepts(AllAcknowledged{});
}
auto OrderLifecycle::acknowledgementLost() -> bool {
  return Self->accepts(AcknowledgementLost{});
}
auto OrderLifecycle::connectRequested() -> bool {
  return Self->accepts(ConnectRequested{});
}
auto OrderLifecycle::sent() -> bool { return Self->accepts(Sent{}); }
auto OrderLifecycle::notSent() -> bool { return Self->accepts(NotSent{}); }
auto OrderLifecycle::answered() -> bool { return Self->accepts(Answered{}); }
auto OrderLifecycle::refusedBusy() -> bool {
  return Self->accepts(RefusedBusy{});
}
auto OrderLifecycle::reportedDone() -> bool {
  return Self->accepts(ReportedDone{});
}
auto OrderLifecycle::reportedNotDone() -> bool {
  return Self->accepts(ReportedNotDone{});
}

} // namespace dotterel
