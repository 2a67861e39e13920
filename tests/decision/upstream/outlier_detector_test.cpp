#include "decision/upstream/outlier_detector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

#include "decision/upstream/upstream_engine_test.h"

namespace gateway {
namespace {

using std::chrono::seconds;

class OutlierDetectorTest : public testing::Test {
protected:
    static constexpr TimePoint kNow{seconds(100)};

    void observeErrors(int count) {
        for (int i = 0; i < count; ++i) detector.observe(Outcome::error, kNow);
    }

    OutlierDetector detector;
};

TEST_F(OutlierDetectorTest, EjectsEndpointAfterConsecutiveErrors) {
    observeErrors(2);
    EXPECT_FALSE(detector.isEjected(0, kNow));
    observeErrors(1);  // the error rate is 1 - 0.85^3, above 0.3
    EXPECT_TRUE(detector.isEjected(0, kNow));
}

TEST_F(OutlierDetectorTest, EjectsUnreachableEndpointAtOnce) {
    detector.observe(Outcome::connectFailed, kNow);
    EXPECT_TRUE(detector.isEjected(0, kNow));
}

TEST_F(OutlierDetectorTest, IgnoresTimeoutsAndAttemptsThatTheGatewayGaveUp) {
    for (int i = 0; i < 50; ++i)
        for (const Outcome outcome : {Outcome::timedOut, Outcome::cancelled, Outcome::notSent})
            detector.observe(outcome, kNow);
    EXPECT_FALSE(detector.isEjected(0, kNow));
}

TEST_F(OutlierDetectorTest, AdmitsOneAttemptAtATimeOnProbation) {
    observeErrors(3);
    const TimePoint ejectionEnd = kNow + seconds(1);
    EXPECT_FALSE(detector.isEjected(0, ejectionEnd));
    EXPECT_TRUE(detector.isEjected(1, ejectionEnd));
    detector.observe(Outcome::ok, ejectionEnd);
    EXPECT_FALSE(detector.isEjected(1, ejectionEnd));
}

TEST_F(OutlierDetectorTest, DoublesConsecutiveEjectionsUpToTheMaximum) {
    TimePoint now = kNow;
    for (const int length : {1, 2, 4, 8, 8}) {
        detector.observe(Outcome::connectFailed, now);
        EXPECT_EQ(detector.ejectedUntil() - now, seconds(length));
        now = detector.ejectedUntil();
    }
}

TEST_F(OutlierDetectorTest, IgnoresEjectionsOfMoreThanHalfOfTheEndpoints) {
    EXPECT_TRUE(OutlierDetector::isEjectionAllowed(2, 4));
    EXPECT_FALSE(OutlierDetector::isEjectionAllowed(3, 4));
}

TEST_F(OutlierDetectorTest, FailuresDuringAnEjectionDoNotExtendIt) {
    detector.observe(Outcome::connectFailed, kNow);
    const TimePoint ejectionEnd = detector.ejectedUntil();
    for (int i = 0; i < 10; ++i) detector.observe(Outcome::error, kNow + std::chrono::milliseconds(i));
    EXPECT_EQ(detector.ejectedUntil(), ejectionEnd);
}

TEST_F(OutlierDetectorTest, KeepsTheErrorRateBetweenZeroAndOne) {
    for (int i = 0; i < 1000; ++i) {
        detector.observe(Outcome::error, kNow + seconds(i));
        EXPECT_LE(detector.errorRate(), 1);
    }
    for (int i = 0; i < 1000; ++i) {
        detector.observe(Outcome::ok, kNow + seconds(1000 + i));
        EXPECT_GE(detector.errorRate(), 0);
    }
}

TEST_F(OutlierDetectorTest, LastingSuccessEndsTheSeriesOfEjections) {
    detector.observe(Outcome::connectFailed, kNow);
    const TimePoint later = detector.ejectedUntil() + seconds(1);
    for (int i = 0; i < 20; ++i) detector.observe(Outcome::ok, later);
    EXPECT_FALSE(detector.isOnProbation());
    detector.observe(Outcome::connectFailed, later);
    EXPECT_EQ(detector.ejectedUntil() - later, seconds(1));
}

// Tests outlier detection within the decision engine.
class OutlierDetectorEngineTest : public UpstreamEngineTest {};

TEST_F(OutlierDetectorEngineTest, EjectsFailingEndpointAndUsesItAgainAfterItRecovers) {
    start(plainSettings(), 4);
    const EndpointId failing("w1");
    std::ptrdiff_t attemptsWhileFailing = 0;
    std::ptrdiff_t attemptsAfterRecovery = 0;
    for (std::uint64_t i = 0; i < 500; ++i) {
        const bool hasRecovered = i >= 200;
        const std::vector<EndpointId> endpoints = serveRequest(i, [&](const EndpointId& endpoint) {
            return AttemptReply{endpoint == failing && !hasRecovered ? Outcome::error : Outcome::ok};
        });
        const auto count = std::count(endpoints.begin(), endpoints.end(), failing);
        if (hasRecovered)
            attemptsAfterRecovery += count;
        else
            attemptsWhileFailing += count;
        advance(milliseconds(100));
    }
    EXPECT_LT(attemptsWhileFailing, 20);
    EXPECT_GE(attemptsAfterRecovery, 2);
}

}  // namespace
}  // namespace gateway
