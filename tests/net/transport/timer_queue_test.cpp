#include "net/transport/timer_queue.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <stdexcept>
#include <vector>

namespace gateway::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

class TimerQueueTest : public ::testing::Test {
protected:
    // Schedules a timer that records `name` when it fires.
    TimerQueue::Token schedule(Duration delay, int name) {
        return timers.schedule(delay, [this, name] { fired.push_back(name); });
    }

    boost::asio::io_context ioContext;
    TimerQueue timers{ioContext};
    std::vector<int> fired;
};

TEST_F(TimerQueueTest, FiresInOrderOfDueTimeAndThenOfScheduling) {
    schedule(milliseconds(30), 3);
    schedule(milliseconds(10), 1);
    schedule(milliseconds(10), 2);
    schedule(Duration::zero(), 0);
    ioContext.run();
    EXPECT_EQ(fired, (std::vector<int>{0, 1, 2, 3}));
}

TEST_F(TimerQueueTest, NeverFiresEarly) {
    const SteadyTimePoint scheduledAt = steady_clock::now();
    schedule(milliseconds(15), 1);
    ioContext.run();
    EXPECT_GE(steady_clock::now() - scheduledAt, milliseconds(15));
}

TEST_F(TimerQueueTest, FiresEarlierTimerThatIsScheduledAfterLaterOne) {
    schedule(std::chrono::hours(1), 2);
    schedule(milliseconds(5), 1);
    const SteadyTimePoint deadline = steady_clock::now() + std::chrono::seconds(20);
    while (fired.empty() && steady_clock::now() < deadline) ioContext.run_one_for(milliseconds(10));
    EXPECT_EQ(fired, (std::vector<int>{1}));
}

TEST_F(TimerQueueTest, FiresOnlyFromEventLoop) {
    schedule(Duration::zero(), 1);
    EXPECT_TRUE(fired.empty());
    ioContext.run();
    EXPECT_EQ(fired, (std::vector<int>{1}));
}

TEST_F(TimerQueueTest, CancelledTimerDoesNotFire) {
    schedule(milliseconds(20), 2);
    const TimerQueue::Token cancelled = schedule(milliseconds(10), 1);
    timers.cancel(cancelled);
    ioContext.run();
    EXPECT_EQ(fired, (std::vector<int>{2}));
}

TEST_F(TimerQueueTest, IgnoresCancellationOfFiredOrUnusedToken) {
    const TimerQueue::Token token = schedule(Duration::zero(), 1);
    ioContext.run();
    timers.cancel(token);
    timers.cancel(0);
    schedule(Duration::zero(), 2);
    ioContext.restart();
    ioContext.run();
    EXPECT_EQ(fired, (std::vector<int>{1, 2}));
}

TEST_F(TimerQueueTest, CallbackMayScheduleAndCancelTimers) {
    const TimerQueue::Token later = schedule(milliseconds(20), 9);
    timers.schedule(Duration::zero(), [this, later] {
        fired.push_back(1);
        timers.cancel(later);
        schedule(Duration::zero(), 2);
    });
    ioContext.run();
    EXPECT_EQ(fired, (std::vector<int>{1, 2}));
}

TEST_F(TimerQueueTest, ExceptionOfOneTimerDoesNotAffectOthers) {
    timers.schedule(Duration::zero(), [] { throw std::runtime_error("expected by the test"); });
    schedule(Duration::zero(), 1);
    schedule(milliseconds(10), 2);
    ioContext.run();
    EXPECT_EQ(fired, (std::vector<int>{1, 2}));
}

}  // namespace
}  // namespace gateway::net
