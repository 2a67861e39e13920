// What the modules of the decision engine share while one event is handled.
#pragma once

#include <utility>

#include "decision/common/random_source.h"
#include "decision/engine/timer_table.h"
#include "gateway/actions.h"
#include "gateway/types.h"

namespace gateway {

// Exists while one event is handled. Does not own the objects that it refers to.
struct EventContext {
    TimePoint now;              // when the event happens
    TimePoint engineStartedAt;  // when the engine handled its first event
    Actions& actions;           // in the order in which the caller executes them
    RandomSource& random;
    TimerTable& timers;

    void emit(Action action) const { actions.push_back(std::move(action)); }

    // Appends the action that starts a timer.
    void setTimer(const Timer& timer, Duration delay) const { emit(timers.start(timer, delay)); }
};

}  // namespace gateway
