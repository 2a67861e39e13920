#include "decision/engine/event_context.h"

#include <utility>

namespace gateway {

void EventContext::act(Action action) const {
    actions.push_back(std::move(action));
}

void EventContext::setTimer(const Timer& timer, Duration after) const {
    act(timers.start(timer, after));
}

}  // namespace gateway
