// What the parts of the decision module share while one event is handled.
#pragma once

#include "decision/common/random_source.h"
#include "decision/engine/timer_table.h"
#include "gateway/actions.h"
#include "gateway/types.h"

namespace gateway {

struct EventContext {
    TimePoint now;
    Actions& actions;  // what is to be done, in order
    RandomSource& random;
    TimerTable& timers;

    void act(Action action) const { actions.push_back(std::move(action)); }
    void setTimer(const Timer& timer, Duration after) const { timers.set(timer, after, actions); }
};

}  // namespace gateway
