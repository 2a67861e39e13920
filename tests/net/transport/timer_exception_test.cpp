#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <stdexcept>

#include "net/transport/timer_queue.h"

namespace gateway::net::test {
namespace {

// Runs the event loop as the gateway does: an exception of a handler does not stop it.
void runLoop(boost::asio::io_context& loop) {
    for (bool ended = false; !ended;) {
        try {
            loop.run();
            ended = true;
        } catch (const std::exception&) {
        }
    }
}

TEST(TimerExceptionTest, DoesNotStopOtherTimers) {
    boost::asio::io_context loop;
    TimerQueue timers(loop);
    bool hasFired = false;
    timers.after(Duration::zero(), [] { throw std::runtime_error("of one connection"); });
    timers.after(std::chrono::milliseconds(10), [&] { hasFired = true; });
    runLoop(loop);
    EXPECT_TRUE(hasFired);
}

}  // namespace
}  // namespace gateway::net::test
