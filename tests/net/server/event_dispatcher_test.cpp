#include "net/server/event_dispatcher.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gateway::net {
namespace {

// Uses TimerFired as the event and SetTimer as the action. `calls` records the handlers' calls in order.
class EventDispatcherTest : public ::testing::Test {
protected:
    static std::string idOf(TimerId timer) { return std::to_string(static_cast<std::uint64_t>(timer)); }

    EventDispatcher::Handlers handlers() {
        EventDispatcher::Handlers result;
        result.handleEvent = [this](const Event& event, Actions& actions) {
            const TimerId timer = std::get<TimerFired>(event).timer;
            calls.push_back("event " + idOf(timer));
            EXPECT_TRUE(dispatcher.isDispatching());
            for (const TimerId action : actionsOfEvent) actions.emplace_back(SetTimer{action, {}});
            actionsOfEvent.clear();
            if (timer == kThrowingEvent) throw std::runtime_error("expected by the test");
        };
        result.executeAction = [this](const Action& action) {
            const TimerId timer = std::get<SetTimer>(action).timer;
            calls.push_back("action " + idOf(timer));
            for (const TimerId event : std::exchange(eventsOfAction, {})) dispatch(event);
        };
        result.onQueueEmpty = [this] {
            calls.emplace_back("queue empty");
            EXPECT_FALSE(dispatcher.isDispatching());
            for (const TimerId event : std::exchange(eventsOfEmptyQueue, {})) dispatch(event);
        };
        return result;
    }

    void dispatch(TimerId timer) { dispatcher.dispatch(TimerFired{timer}); }

    static constexpr TimerId kThrowingEvent{99};

    std::vector<std::string> calls;
    std::vector<TimerId> actionsOfEvent;      // returned by the handler of the next event
    std::vector<TimerId> eventsOfAction;      // dispatched by the next action
    std::vector<TimerId> eventsOfEmptyQueue;  // dispatched by the next call of onQueueEmpty
    EventDispatcher dispatcher{handlers()};
};

TEST_F(EventDispatcherTest, ExecutesActionsInOrderBeforeReturning) {
    actionsOfEvent = {TimerId{7}, TimerId{8}};
    dispatch(TimerId{1});
    EXPECT_EQ(calls, (std::vector<std::string>{"event 1", "action 7", "action 8", "queue empty"}));
    EXPECT_FALSE(dispatcher.isDispatching());
}

TEST_F(EventDispatcherTest, ExecutesRemainingActionsBeforeEventsThatAnActionCauses) {
    actionsOfEvent = {TimerId{7}, TimerId{8}};
    eventsOfAction = {TimerId{2}, TimerId{3}};
    dispatch(TimerId{1});
    EXPECT_EQ(calls, (std::vector<std::string>{"event 1", "action 7", "action 8", "event 2", "event 3",
                                               "queue empty"}));
}

TEST_F(EventDispatcherTest, HandlesEventDispatchedWhenQueueIsEmpty) {
    eventsOfEmptyQueue = {TimerId{2}};
    dispatch(TimerId{1});
    EXPECT_EQ(calls, (std::vector<std::string>{"event 1", "queue empty", "event 2", "queue empty"}));
}

TEST_F(EventDispatcherTest, ContinuesAfterExceptionWithActionsAppendedBefore) {
    actionsOfEvent = {TimerId{7}};
    eventsOfAction = {TimerId{2}};
    dispatch(kThrowingEvent);
    EXPECT_EQ(calls, (std::vector<std::string>{"event 99", "action 7", "event 2", "queue empty"}));
}

}  // namespace
}  // namespace gateway::net
