#include "net/server/readiness.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace gateway::net {
namespace {

using std::chrono::milliseconds;

class ReadinessTest : public ::testing::Test {
protected:
    static constexpr Duration kWait = milliseconds(20);
    static constexpr Duration kNever = std::chrono::hours(1);

    Readiness makeReadiness(Duration emptyListWait, Duration initialUpdateWait) {
        Readiness::Limits limits;
        limits.emptyListWait = emptyListWait;
        limits.initialUpdateWait = initialUpdateWait;
        return {timers, limits};
    }

    void runOneTimer() { ioContext.run_one(); }

    boost::asio::io_context ioContext;
    TimerQueue timers{ioContext};
};

TEST_F(ReadinessTest, IsNotReadyBeforeStart) {
    const Readiness readiness = makeReadiness(kNever, kNever);
    EXPECT_FALSE(readiness.isReady());
}

TEST_F(ReadinessTest, IsReadyAtOnceWithCachedListWhenNoUpdateIsAwaited) {
    Readiness readiness = makeReadiness(kNever, kNever);
    readiness.recordEndpointList(UpdateKind::cached, false);
    readiness.start(false);
    EXPECT_TRUE(readiness.isReady());
}

TEST_F(ReadinessTest, IsReadyAtOnceWithCachedListWhenWaitForUpdateIsZero) {
    Readiness readiness = makeReadiness(kNever, Duration::zero());
    readiness.recordEndpointList(UpdateKind::cached, false);
    readiness.start(true);
    EXPECT_TRUE(readiness.isReady());
}

TEST_F(ReadinessTest, BecomesReadyWithFirstUpdate) {
    Readiness readiness = makeReadiness(kNever, kNever);
    readiness.recordEndpointList(UpdateKind::cached, false);
    readiness.start(true);
    EXPECT_FALSE(readiness.isReady());
    readiness.recordEndpointList(UpdateKind::delta, true);
    EXPECT_TRUE(readiness.isReady());
}

TEST_F(ReadinessTest, BecomesReadyWithoutUpdateAtEndOfWait) {
    Readiness readiness = makeReadiness(kNever, kWait);
    readiness.recordEndpointList(UpdateKind::cached, false);
    readiness.start(true);
    EXPECT_FALSE(readiness.isReady());
    runOneTimer();
    EXPECT_TRUE(readiness.isReady());
}

TEST_F(ReadinessTest, BecomesReadyWithEmptyListAtEndOfWait) {
    Readiness readiness = makeReadiness(kWait, kNever);
    readiness.recordEndpointList(UpdateKind::cached, true);
    readiness.start(false);
    EXPECT_FALSE(readiness.isReady());
    runOneTimer();
    EXPECT_TRUE(readiness.isReady());
}

TEST_F(ReadinessTest, EmptyDeltaDoesNotReplaceEmptyCachedList) {
    Readiness readiness = makeReadiness(kNever, kNever);
    readiness.recordEndpointList(UpdateKind::cached, true);
    readiness.start(true);
    readiness.recordEndpointList(UpdateKind::delta, true);
    EXPECT_FALSE(readiness.isReady());
}

TEST_F(ReadinessTest, EmptySnapshotIsAUsableList) {
    Readiness readiness = makeReadiness(kNever, kNever);
    readiness.recordEndpointList(UpdateKind::cached, true);
    readiness.start(true);
    readiness.recordEndpointList(UpdateKind::snapshot, true);
    EXPECT_TRUE(readiness.isReady());
}

}  // namespace
}  // namespace gateway::net
