#include "net/transport/counting_log.h"

#include <gtest/gtest.h>

#include <chrono>

#include "net/transport/loopback_fixture.h"

namespace gateway::net {
namespace {

class CountingLogTest : public test::LoopbackFixture {
protected:
    // Runs the event loop until the lines of what was recorded before were written, and returns them.
    std::string linesOfLastSecond() {
        bool isDone = false;
        testing::internal::CaptureStderr();
        timers.schedule(std::chrono::milliseconds(1001), [&] { isDone = true; });
        runUntil([&] { return isDone; });
        return testing::internal::GetCapturedStderr();
    }

    CountingLog log{timers, "part", {"first", "second", "third"}};
};

TEST_F(CountingLogTest, WritesOneLineForEachKindThatOccurred) {
    for (const std::size_t kind : {2, 0, 2}) log.record(kind);
    EXPECT_EQ(linesOfLastSecond(),
              "gateway: warning: part: first: 1 in the last second\n"
              "gateway: warning: part: third: 2 in the last second\n");
    EXPECT_EQ(linesOfLastSecond(), "");
    log.record(1);
    EXPECT_EQ(linesOfLastSecond(), "gateway: warning: part: second: 1 in the last second\n");
}

}  // namespace
}  // namespace gateway::net
