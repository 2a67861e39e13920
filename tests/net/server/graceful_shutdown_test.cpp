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
        result.drainClients = [this](std::function<void()> onDrained) {
            steps_.emplace_back("drain clients");
            onDrained_ = std::move(onDrained);
        };
        result.isReconciled = [this] {
            ++reconcilePolls_;
            return isReconciled_;
        };
        result.stopDiscovery = [this] { steps_.emplace_back("stop discovery"); };
        return result;
    }

    void startShutdown() {
        shutdown_.start([this] { steps_.emplace_back("complete"); });
    }

    boost::asio::io_context ioContext_;
    TimerQueue timers_{ioContext_};
    Steps steps_;
    std::function<void()> onDrained_;
    bool isReconciled_ = true;
    int reconcilePolls_ = 0;
    GracefulShutdown shutdown_{timers_, hooks()};
};

TEST_F(GracefulShutdownTest, WaitsForClientsToDrain) {
    startShutdown();
    EXPECT_EQ(steps_, (Steps{"drain clients"}));
    EXPECT_EQ(reconcilePolls_, 0);
}

TEST_F(GracefulShutdownTest, CompletesAtOnceWhenDrainedAndReconciled) {
    startShutdown();
    onDrained_();
    EXPECT_EQ(steps_, (Steps{"drain clients", "stop discovery", "complete"}));
}

TEST_F(GracefulShutdownTest, PollsUntilReconciled) {
    isReconciled_ = false;
    startShutdown();
    onDrained_();
    ioContext_.run_one();
    EXPECT_EQ(steps_, (Steps{"drain clients"}));
    EXPECT_EQ(reconcilePolls_, 2);
    isReconciled_ = true;
    ioContext_.run_one();
    EXPECT_EQ(steps_, (Steps{"drain clients", "stop discovery", "complete"}));
}

TEST_F(GracefulShutdownTest, CompletesWithoutReconciliationAfterOneSecond) {
    isReconciled_ = false;
    startShutdown();
    const SteadyTimePoint drainedAt = std::chrono::steady_clock::now();
    onDrained_();
    ioContext_.run();
    EXPECT_GE(std::chrono::steady_clock::now() - drainedAt, std::chrono::seconds(1));
    EXPECT_EQ(steps_, (Steps{"drain clients", "stop discovery", "complete"}));
}

}  // namespace
}  // namespace gateway::net
