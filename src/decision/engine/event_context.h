// What the modules of the decision engine share while one event is handled.
#pragma once

#include <utility>

#include "decision/common/random_source.h"
#include "decision/engine/timer_table.h"
#include "gateway/actions.h"
#include "gateway/types.h"

namespace gateway {

// Lives as long as the handling of one event. Does not own what it refers to.
struct EventContext {
    TimePoint now;              // when the event happens
    TimePoint engineStartedAt;  // when the engine handled its first event
    Actions& actions;           // appended to in the order in which they are to be done
    RandomSource& random;
    TimerTable& timers;

    // Appends an action.
    void act(Action action) const { actions.push_back(std::move(action)); }

    // Appends the action that starts a timer.
    void setTimer(const Timer& timer, Duration delay) const { act(timers.start(timer, delay)); }
};

}  // namespace gateway
