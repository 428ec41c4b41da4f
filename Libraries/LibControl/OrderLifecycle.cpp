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
struct AcceptedOrLost {};
struct RefusedBusy {};
struct ReportedApplied {};
struct ReportedNotApplied {};

struct Definition : LifecycleDefinition<Definition> {
  using initial_state = In<Phase::Recording>;
  // clang-format off
  struct transition_table : boost::mpl::vector<
      Row<In<Phase::Recording>, IntentCommitted, In<Phase::Draining>>,
      Row<In<Phase::Draining>, AllAcknowledged, In<Phase::AwaitingIdle>>,
      Row<In<Phase::AwaitingIdle>, AcknowledgementLost, In<Phase::Draining>>,
      Row<In<Phase::AwaitingIdle>, ConnectRequested, In<Phase::Connecting>>,
      Row<In<Phase::Connecting>, Sent, In<Phase::Sent>>,
      Row<In<Phase::Connecting>, NotSent, In<Phase::AwaitingIdle>>,
      Row<In<Phase::Sent>, AcceptedOrLost, In<Phase::Confirming>>,
      Row<In<Phase::Sent>, RefusedBusy, In<Phase::AwaitingIdle>>,
      Row<In<Phase::Recording>, ReportedApplied, In<Phase::Resolved>>,
      Row<In<Phase::Draining>, ReportedApplied, In<Phase::Resolved>>,
      Row<In<Phase::AwaitingIdle>, ReportedApplied, In<Phase::Resolved>>,
      Row<In<Phase::Confirming>, ReportedApplied, In<Phase::Resolved>>,
      Row<In<Phase::Confirming>, ReportedNotApplied, In<Phase::AwaitingIdle>>
  > {};
  // clang-format on
};

} // namespace

struct OrderLifecycle::Implementation : LifecycleMachine<Definition, Phase> {};

OrderLifecycle::OrderLifecycle() : Impl(std::make_unique<Implementation>()) {}
OrderLifecycle::~OrderLifecycle() = default;
OrderLifecycle::OrderLifecycle(OrderLifecycle &&) noexcept = default;
auto OrderLifecycle::operator=(OrderLifecycle &&) noexcept
    -> OrderLifecycle & = default;

auto OrderLifecycle::phase() const -> Phase { return Impl->phase(); }

auto OrderLifecycle::intentCommitted() -> bool {
  return Impl->accepts(IntentCommitted{});
}
auto OrderLifecycle::allAcknowledged() -> bool {
  return Impl->accepts(AllAcknowledged{});
}
auto OrderLifecycle::acknowledgementLost() -> bool {
  return Impl->accepts(AcknowledgementLost{});
}
auto OrderLifecycle::connectRequested() -> bool {
  return Impl->accepts(ConnectRequested{});
}
auto OrderLifecycle::sent() -> bool { return Impl->accepts(Sent{}); }
auto OrderLifecycle::notSent() -> bool { return Impl->accepts(NotSent{}); }
auto OrderLifecycle::acceptedOrLost() -> bool {
  return Impl->accepts(AcceptedOrLost{});
}
auto OrderLifecycle::refusedBusy() -> bool {
  return Impl->accepts(RefusedBusy{});
}
auto OrderLifecycle::reportedApplied() -> bool {
  return Impl->accepts(ReportedApplied{});
}
auto OrderLifecycle::reportedNotApplied() -> bool {
  return Impl->accepts(ReportedNotApplied{});
}

} // namespace dotterel
