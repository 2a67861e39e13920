// Passes events to the decision engine one at a time, and the resulting actions to the network.
#pragma once

#include <deque>
#include <functional>

#include "gateway/actions.h"
#include "gateway/events.h"

namespace gateway::net {

// Executing an action can cause events at once. They are queued and handled in order after the remaining
// actions of the current event, so that the engine is never called recursively.
class EventDispatcher {
public:
    struct Handlers {
        // Handles one event and appends the resulting actions. If it throws an exception, the exception is
        // logged, and the actions that it appended before are executed.
        std::function<void(const Event&, Actions&)> handleEvent;
        // Executes one action. May call dispatch(). Must not throw.
        std::function<void(const Action&)> executeAction;
        // Called each time the queue has become empty. May call dispatch().
        std::function<void()> onQueueEmpty;
    };

    explicit EventDispatcher(Handlers handlers);

    // Handles the event, and the events that its actions cause, before returning. If another event is being
    // handled, only queues the event.
    void dispatch(Event event);

    // Returns whether an event is being handled or an action is being executed.
    bool isDispatching() const { return isDispatching_; }

private:
    void handleNextEvent();

    Handlers handlers_;
    std::deque<Event> events_;
    Actions actions_;  // of the current event; a member to reuse its memory
    bool isDispatching_ = false;
};

}  // namespace gateway::net
