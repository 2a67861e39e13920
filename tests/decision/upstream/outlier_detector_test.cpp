#include "decision/upstream/outlier_detector.h"

#include <gtest/gtest.h>

#include <chrono>

namespace gateway {
namespace {

using std::chrono::seconds;

class OutlierDetectorTest : public testing::Test {
protected:
    static constexpr TimePoint kNow{seconds(100)};

    void observeErrors(int count) {
        for (int i = 0; i < count; ++i) detector_.observe(Outcome::error, kNow);
    }

    OutlierDetector detector_;
};

TEST_F(OutlierDetectorTest, EjectsEndpointAfterConsecutiveErrors) {
    observeErrors(2);
    EXPECT_FALSE(detector_.isEjected(false, kNow));
    observeErrors(1);  // 1 - 0.85^3 is past 0.3
    EXPECT_TRUE(detector_.isEjected(false, kNow));
}

TEST_F(OutlierDetectorTest, EjectsUnreachableEndpointAtOnce) {
    detector_.observe(Outcome::connectFailed, kNow);
    EXPECT_TRUE(detector_.isEjected(false, kNow));
}

TEST_F(OutlierDetectorTest, IgnoresTimeoutsAndAttemptsThatTheGatewayGaveUp) {
    for (int i = 0; i < 50; ++i)
        for (const Outcome outcome : {Outcome::timedOut, Outcome::cancelled, Outcome::notSent})
            detector_.observe(outcome, kNow);
    EXPECT_FALSE(detector_.isEjected(false, kNow));
}

TEST_F(OutlierDetectorTest, AdmitsOneAttemptAtATimeOnProbation) {
    observeErrors(3);
    const TimePoint ejectionEnd = kNow + seconds(1);
    EXPECT_FALSE(detector_.isEjected(false, ejectionEnd));
    EXPECT_TRUE(detector_.isEjected(true, ejectionEnd));
    detector_.observe(Outcome::ok, ejectionEnd);
    EXPECT_FALSE(detector_.isEjected(true, ejectionEnd));
}

TEST_F(OutlierDetectorTest, DoublesConsecutiveEjectionsUpToTheMaximum) {
    TimePoint now = kNow;
    for (const int length : {1, 2, 4, 8, 8}) {
        detector_.observe(Outcome::connectFailed, now);
        EXPECT_EQ(detector_.ejectedUntil() - now, seconds(length));
        now = detector_.ejectedUntil();
    }
}

TEST_F(OutlierDetectorTest, IgnoresEjectionsOfMoreThanHalfOfTheEndpoints) {
    EXPECT_TRUE(OutlierDetector::isEjectionAllowed(2, 4));
    EXPECT_FALSE(OutlierDetector::isEjectionAllowed(3, 4));
}

TEST_F(OutlierDetectorTest, FailuresDuringAnEjectionDoNotExtendIt) {
    detector_.observe(Outcome::connectFailed, kNow);
    const TimePoint ejectionEnd = detector_.ejectedUntil();
    for (int i = 0; i < 10; ++i) detector_.observe(Outcome::error, kNow + std::chrono::milliseconds(i));
    EXPECT_EQ(detector_.ejectedUntil(), ejectionEnd);
}

TEST_F(OutlierDetectorTest, KeepsTheErrorRateBetweenZeroAndOne) {
    for (int i = 0; i < 1000; ++i) {
        detector_.observe(Outcome::error, kNow + seconds(i));
        EXPECT_LE(detector_.errorRate(), 1);
    }
    for (int i = 0; i < 1000; ++i) {
        detector_.observe(Outcome::ok, kNow + seconds(1000 + i));
        EXPECT_GE(detector_.errorRate(), 0);
    }
}

TEST_F(OutlierDetectorTest, LastingSuccessEndsTheSeriesOfEjections) {
    detector_.observe(Outcome::connectFailed, kNow);
    const TimePoint later = detector_.ejectedUntil() + seconds(1);
    for (int i = 0; i < 20; ++i) detector_.observe(Outcome::ok, later);
    EXPECT_FALSE(detector_.isOnProbation());
    detector_.observe(Outcome::connectFailed, later);
    EXPECT_EQ(detector_.ejectedUntil() - later, seconds(1));
}

}  // namespace
}  // namespace gateway
