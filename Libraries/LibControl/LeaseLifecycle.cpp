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
      Row<In<Phase::Following>, AcquireSent, In<Phase::Acquiring>>,
      Row<In<Phase::Acquiring>, Committed, In<Phase::Held>>,
      Row<In<Phase::Acquiring>, NotCommitted, In<Phase::AcquireUncertain>>,
      Row<In<Phase::AcquireUncertain>, ReadBackOwn, In<Phase::Held>>,
      Row<In<Phase::AcquireUncertain>, ReadBackOther, In<Phase::Following>>,
      Row<In<Phase::Held>, RenewSent, In<Phase::Renewing>>,
      Row<In<Phase::Renewing>, Committed, In<Phase::Held>>,
      Row<In<Phase::Renewing>, NotCommitted, In<Phase::RenewUncertain>>,
      Row<In<Phase::RenewUncertain>, ReadBackOwn, In<Phase::Held>>,
      Row<In<Phase::RenewUncertain>, ReadBackOther, In<Phase::Following>>,
      Row<In<Phase::Held>, ReleaseSent, In<Phase::Releasing>>,
      Row<In<Phase::Releasing>, Committed, In<Phase::Released>>,
      Row<In<Phase::Releasing>, NotCommitted, In<Phase::RenewUncertain>>
  > {};
  // clang-format on
};

} // namespace

struct LeaseLifecycle::Implementation : LifecycleMachine<Definition, Phase> {};

LeaseLifecycle::LeaseLifecycle() : Impl(std::make_unique<Implementation>()) {}
LeaseLifecycle::~LeaseLifecycle() = default;
LeaseLifecycle::LeaseLifecycle(LeaseLifecycle &&) noexcept = default;
auto LeaseLifecycle::operator=(LeaseLifecycle &&) noexcept
    -> LeaseLifecycle & = default;

auto LeaseLifecycle::phase() const -> Phase { return Impl->phase(); }

auto LeaseLifecycle::acquireSent() -> bool {
  return Impl->accepts(AcquireSent{});
}
auto LeaseLifecycle::renewSent() -> bool { return Impl->accepts(RenewSent{}); }
auto LeaseLifecycle::releaseSent() -> bool {
  return Impl->accepts(ReleaseSent{});
}
auto LeaseLifecycle::committed() -> bool { return Impl->accepts(Committed{}); }
auto LeaseLifecycle::notCommitted() -> bool {
  return Impl->accepts(NotCommitted{});
}
auto LeaseLifecycle::readBackOwn() -> bool {
  return Impl->accepts(ReadBackOwn{});
}
auto LeaseLifecycle::readBackOther() -> bool {
  return Impl->accepts(ReadBackOther{});
}

} // namespace dotterel
