#include "net/server/graceful_shutdown.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <utility>
#include <vector>

namespace gateway::net {
namespace {

class GracefulShutdownTest : public ::testing::Test {
protected:
    using Steps = std::vector<std::string>;

    GracefulShutdown::Hooks hooks() {
        GracefulShutdown::Hooks result;
        result.drainClients = [this](std::function<void()> notifyDrained) {
            steps.emplace_back("drain clients");
            onDrained = std::move(notifyDrained);
        };
        result.hasNoPendingUsage = [this] {
            ++pendingUsagePolls;
            return hasNoPendingUsage;
        };
        result.stopDiscovery = [this] { steps.emplace_back("stop discovery"); };
        return result;
    }

    void startShutdown() {
        shutdown.start([this] { steps.emplace_back("complete"); });
    }

    boost::asio::io_context ioContext;
    TimerQueue timers{ioContext};
    Steps steps;
    std::function<void()> onDrained;
    bool hasNoPendingUsage = true;
    int pendingUsagePolls = 0;
    GracefulShutdown shutdown{timers, hooks()};
};

TEST_F(GracefulShutdownTest, WaitsForClientsToDrain) {
    startShutdown();
    EXPECT_EQ(steps, (Steps{"drain clients"}));
    EXPECT_EQ(pendingUsagePolls, 0);
}

TEST_F(GracefulShutdownTest, CompletesAtOnceWhenDrainedWithoutPendingUsage) {
    startShutdown();
    onDrained();
    EXPECT_EQ(steps, (Steps{"drain clients", "stop discovery", "complete"}));
}

TEST_F(GracefulShutdownTest, PollsUntilNoUsageIsPending) {
    hasNoPendingUsage = false;
    startShutdown();
    onDrained();
    ioContext.run_one();
    EXPECT_EQ(steps, (Steps{"drain clients"}));
    EXPECT_EQ(pendingUsagePolls, 2);
    hasNoPendingUsage = true;
    ioContext.run_one();
    EXPECT_EQ(steps, (Steps{"drain clients", "stop discovery", "complete"}));
}

TEST_F(GracefulShutdownTest, CompletesWithPendingUsageAfterOneSecond) {
    hasNoPendingUsage = false;
    startShutdown();
    const SteadyTimePoint drainedAt = std::chrono::steady_clock::now();
    onDrained();
    ioContext.run();
    EXPECT_GE(std::chrono::steady_clock::now() - drainedAt, std::chrono::seconds(1));
    EXPECT_EQ(steps, (Steps{"drain clients", "stop discovery", "complete"}));
}

}  // namespace
}  // namespace gateway::net
