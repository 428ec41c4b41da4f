#include "LibControl/InstanceLifecycle.h"

#include "LibControl/LifecycleMachine.h"

namespace dotterel {

namespace {

using Phase = InstanceLifecycle::Phase;
template <Phase Value> using In = LifecycleState<Phase, Value>;

struct Configured {};
struct AskedToLeave {};
struct GraceEnded {};
struct LastAnswerOut {};

struct Definition : LifecycleDefinition<Definition> {
  using initial_state = In<Phase::Starting>;
  // clang-format off
  struct transition_table : boost::mpl::vector<
      Move<In<Phase::Starting>, Configured, In<Phase::Ready>>,
      Move<In<Phase::Starting>, AskedToLeave, In<Phase::Leaving>>,
      Move<In<Phase::Ready>, AskedToLeave, In<Phase::Leaving>>,
      Move<In<Phase::Leaving>, GraceEnded, In<Phase::Draining>>,
      Move<In<Phase::Draining>, LastAnswerOut, In<Phase::Stopped>>
  > {};
  // clang-format on
};

} // namespace

struct InstanceLifecycle::Implementation : LifecycleMachine<Definition, Phase> {
};

InstanceLifecycle::InstanceLifecycle()
    : Self(std::make_unique<Implementation>()) {}
InstanceLifecycle::~InstanceLifecycle() = default;
InstanceLifecycle::InstanceLifecycle(InstanceLifecycle &&) noexcept = default;
auto InstanceLifecycle::operator=(InstanceLifecycle &&) noexcept
    -> InstanceLifecycle & = default;

auto InstanceLifecycle::phase() const -> Phase { return Self->phase(); }

auto InstanceLifecycle::configured() -> bool {
  return Self->accepts(Configured{});
}
auto InstanceLifecycle::askedToLeave() -> bool {
  return Self->accepts(AskedToLeave{});
}
auto InstanceLifecycle::graceEnded() -> bool {
  return Self->accepts(GraceEnded{});
}
auto InstanceLifecycle::lastAnswerOut() -> bool {
  return Self->accepts(LastAnswerOut{});
}

} // namespace dotterel
