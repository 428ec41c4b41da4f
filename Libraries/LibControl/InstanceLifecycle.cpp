#include "LibControl/InstanceLifecycle.h"

#include "LibControl/LifecycleMachine.h"

namespace dotterel {

namespace {

using Phase = InstanceLifecycle::Phase;
template <Phase Value> using In = LifecycleState<Phase, Value>;

struct Configured {};
struct LeaveRequested {};
struct GraceElapsed {};
struct CallsFinished {};

struct Definition : LifecycleDefinition<Definition> {
  using initial_state = In<Phase::Starting>;
  // clang-format off
  struct transition_table : boost::mpl::vector<
      Row<In<Phase::Starting>, Configured, In<Phase::Ready>>,
      Row<In<Phase::Starting>, LeaveRequested, In<Phase::Leaving>>,
      Row<In<Phase::Ready>, LeaveRequested, In<Phase::Leaving>>,
      Row<In<Phase::Leaving>, GraceElapsed, In<Phase::Draining>>,
      Row<In<Phase::Draining>, CallsFinished, In<Phase::Stopped>>
  > {};
  // clang-format on
};

} // namespace

struct InstanceLifecycle::Implementation : LifecycleMachine<Definition, Phase> {
};

InstanceLifecycle::InstanceLifecycle()
    : Impl(std::make_unique<Implementation>()) {}
InstanceLifecycle::~InstanceLifecycle() = default;
InstanceLifecycle::InstanceLifecycle(InstanceLifecycle &&) noexcept = default;
auto InstanceLifecycle::operator=(InstanceLifecycle &&) noexcept
    -> InstanceLifecycle & = default;

auto InstanceLifecycle::phase() const -> Phase { return Impl->phase(); }

auto InstanceLifecycle::configured() -> bool {
  return Impl->accepts(Configured{});
}
auto InstanceLifecycle::leaveRequested() -> bool {
  return Impl->accepts(LeaveRequested{});
}
auto InstanceLifecycle::graceElapsed() -> bool {
  return Impl->accepts(GraceElapsed{});
}
auto InstanceLifecycle::callsFinished() -> bool {
  return Impl->accepts(CallsFinished{});
}

} // namespace dotterel
