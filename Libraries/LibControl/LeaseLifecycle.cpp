#include "LibControl/LeaseLifecycle.h"

#include "LibControl/LifecycleMachine.h"

namespace dotterel {

namespace {

using Phase = LeaseLifecycle::Phase;
template <Phase Value> using In = LifecycleState<Phase, Value>;

struct AcquireSent {};
struct RenewSent {};
struct ReleaseSent {};
struct Committed {};
struct NotCommitted {};
struct ReadBackOwn {};
struct ReadBackOther {};

struct Definition : LifecycleDefinition<Definition> {
  using initial_state = In<Phase::Following>;
  // clang-format off
  struct transition_table : boost::mpl::vector<
      Move<In<Phase::Following>, AcquireSent, In<Phase::Acquiring>>,
      Move<In<Phase::Acquiring>, Committed, In<Phase::Held>>,
      Move<In<Phase::Acquiring>, NotCommitted, In<Phase::AcquireUncertain>>,
      Move<In<Phase::AcquireUncertain>, ReadBackOwn, In<Phase::Held>>,
      Move<In<Phase::AcquireUncertain>, ReadBackOther, In<Phase::Following>>,
      Move<In<Phase::Held>, RenewSent, In<Phase::Renewing>>,
      Move<In<Phase::Renewing>, Committed, In<Phase::Held>>,
      Move<In<Phase::Renewing>, NotCommitted, In<Phase::RenewUncertain>>,
      Move<In<Phase::RenewUncertain>, ReadBackOwn, In<Phase::Held>>,
      Move<In<Phase::RenewUncertain>, ReadBackOther, In<Phase::Following>>,
      Move<In<Phase::Held>, ReleaseSent, In<Phase::Releasing>>,
      Move<In<Phase::Releasing>, Committed, In<Phase::Released>>,
      Move<In<Phase::Releasing>, NotCommitted, In<Phase::RenewUncertain>>
  > {};
  // clang-format on
};

} // namespace

struct LeaseLifecycle::Implementation : LifecycleMachine<Definition, Phase> {};

LeaseLifecycle::LeaseLifecycle() : Self(std::make_unique<Implementation>()) {}
LeaseLifecycle::~LeaseLifecycle() = default;
LeaseLifecycle::LeaseLifecycle(LeaseLifecycle &&) noexcept = default;
auto LeaseLifecycle::operator=(LeaseLifecycle &&) noexcept
    -> LeaseLifecycle & = default;

auto LeaseLifecycle::phase() const -> Phase { return Self->phase(); }

auto LeaseLifecycle::acquireSent() -> bool {
  return Self->accepts(AcquireSent{});
}
auto LeaseLifecycle::renewSent() -> bool { return Self->accepts(RenewSent{}); }
auto LeaseLifecycle::releaseSent() -> bool {
  return Self->accepts(ReleaseSent{});
}
auto LeaseLifecycle::committed() -> bool { return Self->accepts(Committed{}); }
auto LeaseLifecycle::notCommitted() -> bool {
  return Self->accepts(NotCommitted{});
}
auto LeaseLifecycle::readBackOwn() -> bool {
  return Self->accepts(ReadBackOwn{});
}
auto LeaseLifecycle::readBackOther() -> bool {
  return Self->accepts(ReadBackOther{});
}

} // namespace dotterel
