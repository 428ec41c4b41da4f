/// \file
/// Common parts of the lifecycle classes: Boost.MSM machines whose states map
/// to the phases of the public classes. Include from .cpp files only.
#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace dotterel {

/// The machine state of phase \p Value.
template <typename Phase, Phase Value>
struct LifecycleState : boost::msm::front::state<> {
  template <typename Event, typename Machine>
  auto on_entry(Event const & /*Trigger*/, Machine &Target) -> void {
    Target.CurrentPhase = static_cast<int>(Value);
  }
};

/// A row of the transition table without action or guard.
template <typename Source, typename Event, typename Target>
using Row =
    boost::msm::front::Row<Source, Event, Target, boost::msm::front::none,
                           boost::msm::front::none>;

/// Base of every definition: no event queues, and an event without a transition
/// changes nothing.
template <typename Derived>
struct LifecycleDefinition : boost::msm::front::state_machine_def<Derived> {
  using no_message_queue = int;
  using no_exception_thrown = int;

  template <typename Machine, typename Event>
  auto no_transition(Event const & /*Trigger*/, Machine & /*Target*/,
                     int /*State*/) -> void {}

  int CurrentPhase = 0;
};

/// A started machine that reports its phase.
template <typename Definition, typename Phase> class LifecycleMachine {
public:
  LifecycleMachine() { Machine.start(); }

  [[nodiscard]] auto phase() const -> Phase {
    return static_cast<Phase>(Machine.CurrentPhase);
  }

  /// Returns whether \p Trigger had a transition.
  template <typename Event> auto accepts(Event const &Trigger) -> bool {
    return Machine.process_event(Trigger) == boost::msm::back::HANDLED_TRUE;
  }

private:
  boost::msm::back::state_machine<Definition> Machine;
};

} // namespace dotterel
