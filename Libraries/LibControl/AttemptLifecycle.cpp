#include "LibControl/AttemptLifecycle.h"

#include "LibControl/LifecycleMachine.h"

namespace dotterel {

namespace {

using Phase = AttemptLifecycle::Phase;
template <Phase Value> using In = LifecycleState<Phase, Value>;

struct Sent {};
struct AnswerBegan {};
struct Ended {};

struct Definition : LifecycleDefinition<Definition> {
  using initial_state = In<Phase::Connecting>;
  // clang-format off
  struct transition_table : boost::mpl::vector<
      Move<In<Phase::Connecting>, Sent, In<Phase::Sent>>,
      Move<In<Phase::Sent>, AnswerBegan, In<Phase::Answering>>,
      Move<In<Phase::Connecting>, Ended, In<Phase::Ended>>,
      Move<In<Phase::Sent>, Ended, In<Phase::Ended>>,
      Move<In<Phase::Answering>, Ended, In<Phase::Ended>>
  > {};
  // clang-format on
};

} // namespace

struct AttemptLifecycle::Implementation : LifecycleMachine<Definition, Phase> {
};

AttemptLifecycle::AttemptLifecycle()
    : Self(std::make_unique<Implementation>()) {}
AttemptLifecycle::~AttemptLifecycle() = default;
AttemptLifecycle::AttemptLifecycle(AttemptLifecycle &&) noexcept = default;
auto AttemptLifecycle::operator=(AttemptLifecycle &&) noexcept
    -> AttemptLifecycle & = default;

auto AttemptLifecycle::phase() const -> Phase { return Self->phase(); }

auto AttemptLifecycle::sent() -> bool { return Self->accepts(Sent{}); }
auto AttemptLifecycle::answerBegan() -> bool {
  return Self->accepts(AnswerBegan{});
}
auto AttemptLifecycle::ended() -> bool { return Self->accepts(Ended{}); }

} // namespace dotterel
