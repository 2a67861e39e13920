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
        return timers_.after(delay, [this, name] { fired_.push_back(name); });
    }

    boost::asio::io_context ioContext_;
    TimerQueue timers_{ioContext_};
    std::vector<int> fired_;
};

TEST_F(TimerQueueTest, FiresInOrderOfTimeAndThenOfSetting) {
    set(milliseconds(30), 3);
    set(milliseconds(10), 1);
    set(milliseconds(10), 2);
    set(Duration::zero(), 0);
    ioContext_.run();
    EXPECT_EQ(fired_, (std::vector<int>{0, 1, 2, 3}));
}

TEST_F(TimerQueueTest, NeverFiresEarly) {
    const SteadyTimePoint setAt = steady_clock::now();
    set(milliseconds(15), 1);
    ioContext_.run();
    EXPECT_GE(steady_clock::now() - setAt, milliseconds(15));
}

TEST_F(TimerQueueTest, FiresOnlyFromEventLoop) {
    set(Duration::zero(), 1);
    EXPECT_TRUE(fired_.empty());
    ioContext_.run();
    EXPECT_EQ(fired_, (std::vector<int>{1}));
}

TEST_F(TimerQueueTest, CancelledTimerDoesNotFire) {
    set(milliseconds(20), 2);
    const TimerQueue::Token cancelled = set(milliseconds(10), 1);
    timers_.cancel(cancelled);
    ioContext_.run();
    EXPECT_EQ(fired_, (std::vector<int>{2}));
}

TEST_F(TimerQueueTest, IgnoresCancellationOfFiredOrUnusedToken) {
    const TimerQueue::Token token = set(Duration::zero(), 1);
    ioContext_.run();
    timers_.cancel(token);
    timers_.cancel(0);
    set(Duration::zero(), 2);
    ioContext_.restart();
    ioContext_.run();
    EXPECT_EQ(fired_, (std::vector<int>{1, 2}));
}

TEST_F(TimerQueueTest, TimerMaySetAndCancelTimers) {
    const TimerQueue::Token later = set(milliseconds(20), 9);
    timers_.after(Duration::zero(), [this, later] {
        fired_.push_back(1);
        timers_.cancel(later);
        set(Duration::zero(), 2);
    });
    ioContext_.run();
    EXPECT_EQ(fired_, (std::vector<int>{1, 2}));
}

TEST_F(TimerQueueTest, ExceptionOfOneTimerDoesNotAffectOthers) {
    timers_.after(Duration::zero(), [] { throw std::runtime_error("expected by the test"); });
    set(Duration::zero(), 1);
    set(milliseconds(10), 2);
    ioContext_.run();
    EXPECT_EQ(fired_, (std::vector<int>{1, 2}));
}

}  // namespace
}  // namespace gateway::net
