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

    Readiness readiness(Duration emptyListWait, Duration initialUpdateWait) {
        Readiness::Limits limits;
        limits.emptyListWait = emptyListWait;
        limits.initialUpdateWait = initialUpdateWait;
        return {timers_, limits};
    }

    void runOneTimer() { ioContext_.run_one(); }

    boost::asio::io_context ioContext_;
    TimerQueue timers_{ioContext_};
};

TEST_F(ReadinessTest, IsNotReadyBeforeItsStart) {
    const Readiness readiness = this->readiness(kNever, kNever);
    EXPECT_FALSE(readiness.isReady());
}

TEST_F(ReadinessTest, IsReadyAtOnceWithConfiguredListWhenNoUpdateIsAwaited) {
    Readiness readiness = this->readiness(kNever, kNever);
    readiness.noteEndpointList(UpdateKind::cached, false);
    readiness.start(false);
    EXPECT_TRUE(readiness.isReady());
}

TEST_F(ReadinessTest, IsReadyAtOnceWithConfiguredListWhenWaitForUpdateIsZero) {
    Readiness readiness = this->readiness(kNever, Duration::zero());
    readiness.noteEndpointList(UpdateKind::cached, false);
    readiness.start(true);
    EXPECT_TRUE(readiness.isReady());
}

TEST_F(ReadinessTest, BecomesReadyWithFirstUpdate) {
    Readiness readiness = this->readiness(kNever, kNever);
    readiness.noteEndpointList(UpdateKind::cached, false);
    readiness.start(true);
    EXPECT_FALSE(readiness.isReady());
    readiness.noteEndpointList(UpdateKind::delta, true);
    EXPECT_TRUE(readiness.isReady());
}

TEST_F(ReadinessTest, BecomesReadyWithoutUpdateAtEndOfWait) {
    Readiness readiness = this->readiness(kNever, kWait);
    readiness.noteEndpointList(UpdateKind::cached, false);
    readiness.start(true);
    EXPECT_FALSE(readiness.isReady());
    runOneTimer();
    EXPECT_TRUE(readiness.isReady());
}

TEST_F(ReadinessTest, BecomesReadyWithEmptyListAtEndOfWait) {
    Readiness readiness = this->readiness(kWait, kNever);
    readiness.noteEndpointList(UpdateKind::cached, true);
    readiness.start(false);
    EXPECT_FALSE(readiness.isReady());
    runOneTimer();
    EXPECT_TRUE(readiness.isReady());
}

TEST_F(ReadinessTest, EmptyDeltaDoesNotReplaceEmptyConfiguredList) {
    Readiness readiness = this->readiness(kNever, kNever);
    readiness.noteEndpointList(UpdateKind::cached, true);
    readiness.start(true);
    readiness.noteEndpointList(UpdateKind::delta, true);
    EXPECT_FALSE(readiness.isReady());
}

TEST_F(ReadinessTest, EmptySnapshotIsAUsableList) {
    Readiness readiness = this->readiness(kNever, kNever);
    readiness.noteEndpointList(UpdateKind::cached, true);
    readiness.start(true);
    readiness.noteEndpointList(UpdateKind::snapshot, true);
    EXPECT_TRUE(readiness.isReady());
}

}  // namespace
}  // namespace gateway::net
