// Feeds events to the decision engine one at a time, and has the engine's actions executed.
#pragma once

#include <deque>
#include <functional>

#include "gateway/actions.h"
#include "gateway/events.h"

namespace gateway::net {

// Executing an action can cause events at once. Those are queued and handled in order after the actions in
// hand, so the engine is never entered twice.
class EventLoopDispatcher {
public:
    struct Handlers {
        // Handles one event and appends the actions that it causes. An exception is logged and costs that
        // event; the actions appended before it are executed.
        std::function<void(const Event&, Actions&)> handleEvent;
        // Executes one action. May call dispatch(). Must not throw.
        std::function<void(const Action&)> executeAction;
        // Called when the queue is empty, once after each run of events. May call dispatch().
        std::function<void()> onQueueEmpty;
    };

    explicit EventLoopDispatcher(Handlers handlers);

    // Handles the event, and the events that its actions cause, before returning. If called while an event is
    // handled, only queues the event.
    void dispatch(Event event);

    // Whether an event is being handled, or an action executed.
    bool isDispatching() const { return isDispatching_; }

private:
    void handleNextEvent();

    Handlers handlers_;
    std::deque<Event> events_;
    Actions actions_;  // of the event in hand; a member so that its memory is reused
    bool isDispatching_ = false;
};

}  // namespace gateway::net
