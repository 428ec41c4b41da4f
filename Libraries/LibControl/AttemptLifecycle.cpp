#include "LibControl/AttemptLifecycle.h"

#include "LibControl/LifecycleMachine.h"

namespace dotterel {

namespace {

using Phase = AttemptLifecycle::Phase;
template <Phase Value> using In = LifecycleState<Phase, Value>;

struct Sent {};
struct ResponseStarted {};
struct Ended {};

struct Definition : LifecycleDefinition<Definition> {
  using initial_state = In<Phase::Connecting>;
  // clang-format off
  struct transition_table : boost::mpl::vector<
      Row<In<Phase::Connecting>, Sent, In<Phase::Sent>>,
      Row<In<Phase::Sent>, ResponseStarted, In<Phase::Responding>>,
      Row<In<Phase::Connecting>, Ended, In<Phase::Ended>>,
      Row<In<Phase::Sent>, Ended, In<Phase::Ended>>,
      Row<In<Phase::Responding>, Ended, In<Phase::Ended>>
  > {};
  // clang-format on
};

} // namespace

struct AttemptLifecycle::Implementation : LifecycleMachine<Definition, Phase> {
};

AttemptLifecycle::AttemptLifecycle()
    : Impl(std::make_unique<Implementation>()) {}
AttemptLifecycle::~AttemptLifecycle() = default;
AttemptLifecycle::AttemptLifecycle(AttemptLifecycle &&) noexcept = default;
auto AttemptLifecycle::operator=(AttemptLifecycle &&) noexcept
    -> AttemptLifecycle & = default;

auto AttemptLifecycle::phase() const -> Phase { return Impl->phase(); }

auto AttemptLifecycle::sent() -> bool { return Impl->accepts(Sent{}); }
auto AttemptLifecycle::responseStarted() -> bool {
  return Impl->accepts(ResponseStarted{});
}
auto AttemptLifecycle::ended() -> bool { return Impl->accepts(Ended{}); }

} // namespace dotterel
