#include "net/server/event_dispatcher.h"

#include <exception>
#include <string>
#include <utility>

#include "net/transport/log.h"

namespace gateway::net {

EventDispatcher::EventDispatcher(Handlers handlers) : handlers_(std::move(handlers)) {}

void EventDispatcher::dispatch(Event event) {
    events_.push_back(std::move(event));
    if (isDispatching_) return;
    isDispatching_ = true;
    while (!events_.empty()) handleNextEvent();
    isDispatching_ = false;
    handlers_.onQueueEmpty();
}

void EventDispatcher::handleNextEvent() {
    actions_.clear();
    try {
        handlers_.handleEvent(events_.front(), actions_);
    } catch (const std::exception& e) {  // other requests and the process are not affected
        log(LogLevel::error, "decision engine",
            std::string("handling an event failed, continuing with the next one: ") + e.what());
    }
    events_.pop_front();
    for (const Action& action : actions_) handlers_.executeAction(action);
}

}  // namespace gateway::net
