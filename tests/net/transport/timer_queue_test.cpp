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
    // Sets a timer that records `name` when it fires.
    TimerQueue::Token set(Duration delay, int name) {
        return timers.after(delay, [this, name] { fired.push_back(name); });
    }

    boost::asio::io_context ioContext;
    TimerQueue timers{ioContext};
    std::vector<int> fired;
};

TEST_F(TimerQueueTest, FiresInOrderOfDueTimeAndThenOfScheduling) {
    set(milliseconds(30), 3);
    set(milliseconds(10), 1);
    set(milliseconds(10), 2);
    set(Duration::zero(), 0);
    ioContext.run();
    EXPECT_EQ(fired, (std::vector<int>{0, 1, 2, 3}));
}

TEST_F(TimerQueueTest, NeverFiresEarly) {
    const SteadyTimePoint setAt = steady_clock::now();
    set(milliseconds(15), 1);
    ioContext.run();
    EXPECT_GE(steady_clock::now() - setAt, milliseconds(15));
}

TEST_F(TimerQueueTest, FiresEarlierTimerThatIsScheduledAfterLaterOne) {
    set(std::chrono::hours(1), 2);
    set(milliseconds(5), 1);
    const SteadyTimePoint deadline = steady_clock::now() + std::chrono::seconds(20);
    while (fired.empty() && steady_clock::now() < deadline) ioContext.run_one_for(milliseconds(10));
    EXPECT_EQ(fired, (std::vector<int>{1}));
}

TEST_F(TimerQueueTest, FiresOnlyFromEventLoop) {
    set(Duration::zero(), 1);
    EXPECT_TRUE(fired.empty());
    ioContext.run();
    EXPECT_EQ(fired, (std::vector<int>{1}));
}

TEST_F(TimerQueueTest, CancelledTimerDoesNotFire) {
    set(milliseconds(20), 2);
    const TimerQueue::Token cancelled = set(milliseconds(10), 1);
    timers.cancel(cancelled);
    ioContext.run();
    EXPECT_EQ(fired, (std::vector<int>{2}));
}

TEST_F(TimerQueueTest, IgnoresCancellationOfFiredOrUnusedToken) {
    const TimerQueue::Token token = set(Duration::zero(), 1);
    ioContext.run();
    timers.cancel(token);
    timers.cancel(0);
    set(Duration::zero(), 2);
    ioContext.restart();
    ioContext.run();
    EXPECT_EQ(fired, (std::vector<int>{1, 2}));
}

TEST_F(TimerQueueTest, CallbackMayScheduleAndCancelTimers) {
    const TimerQueue::Token later = set(milliseconds(20), 9);
    timers.after(Duration::zero(), [this, later] {
        fired.push_back(1);
        timers.cancel(later);
        set(Duration::zero(), 2);
    });
    ioContext.run();
    EXPECT_EQ(fired, (std::vector<int>{1, 2}));
}

TEST_F(TimerQueueTest, ExceptionOfOneTimerDoesNotAffectOthers) {
    timers.after(Duration::zero(), [] { throw std::runtime_error("expected by the test"); });
    set(Duration::zero(), 1);
    set(milliseconds(10), 2);
    ioContext.run();
    EXPECT_EQ(fired, (std::vector<int>{1, 2}));
}

}  // namespace
}  // namespace gateway::net
