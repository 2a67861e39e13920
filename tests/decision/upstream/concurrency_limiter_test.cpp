#include "decision/upstream/concurrency_limiter.h"

#include <gtest/gtest.h>

#include "support/engine_fixture.h"

namespace gateway {
namespace {

class ConcurrencyLimiterTest : public testing::Test {
protected:
    static constexpr std::size_t kEndpoints = 4;
    static constexpr double kFastObjectiveShare = 0.1;
    static constexpr double kSlowResponseObjectiveShare = 0.9;

    ConcurrencyLimiterTest() : limiter_(plainSettings()) {}  // two gateways, 16 attempts at an endpoint

    static AttemptSample servedSample(double objectiveShare) {
        AttemptSample sample;
        sample.objectiveShare = objectiveShare;
        sample.served = true;
        sample.slow = objectiveShare > kSlowObjectiveShare;
        sample.overloaded = sample.slow;
        return sample;
    }

    static AttemptSample timedOutSample() {
        AttemptSample sample;
        sample.objectiveShare = 4;
        sample.timedOut = true;
        sample.slow = true;
        sample.overloaded = true;
        return sample;
    }

    void observeServed(double objectiveShare, int times) {
        for (int i = 0; i < times; ++i) limiter_.observe(servedSample(objectiveShare), Outcome::ok);
    }

    void beginAttempts(int count) {
        for (int i = 0; i < count; ++i) limiter_.beginAttempt();
    }

    void endAttempts(int count) {
        for (int i = 0; i < count; ++i) limiter_.endAttempt();
    }

    // Attempts that may be in flight at once.
    int measureCapacity() {
        constexpr int kMaxMeasured = 1000;
        RandomSource random(1);
        int begun = 0;
        while (begun < kMaxMeasured && limiter_.hasCapacity(random)) {
            limiter_.beginAttempt();
            ++begun;
        }
        endAttempts(begun);
        return begun;
    }

    ConcurrencyLimiter limiter_;
};

TEST_F(ConcurrencyLimiterTest, AdmitsNothingBeforeTheEndpointListIsKnown) {
    EXPECT_EQ(measureCapacity(), 0);
}

TEST_F(ConcurrencyLimiterTest, StartsWithItsShareOfTheEndpointsAndKeepsTheLimitOnLaterLists) {
    limiter_.initializeLimit(kEndpoints);
    EXPECT_NEAR(measureCapacity(), 32, 1);
    limiter_.initializeLimit(100 * kEndpoints);
    EXPECT_NEAR(measureCapacity(), 32, 1);
}

TEST_F(ConcurrencyLimiterTest, LowersLimitOnSlowResponsesAndRaisesItOnFastOnesOnlyWhileItIsUsed) {
    limiter_.initializeLimit(kEndpoints);
    observeServed(kSlowResponseObjectiveShare, 20);
    const int lowered = measureCapacity();
    EXPECT_NEAR(lowered, 12, 1);
    observeServed(kFastObjectiveShare, 90);
    EXPECT_EQ(measureCapacity(), lowered);  // nothing was in flight
    beginAttempts(lowered);
    observeServed(kFastObjectiveShare, 90);
    endAttempts(lowered);
    EXPECT_GT(measureCapacity(), lowered);
}

TEST_F(ConcurrencyLimiterTest, IgnoresTimeoutsWhileTheMedianResponseIsFast) {
    limiter_.initializeLimit(kEndpoints);
    for (int i = 0; i < 100; ++i) {
        if (i % 10 == 0)
            limiter_.observe(timedOutSample(), Outcome::timedOut);
        else
            limiter_.observe(servedSample(kFastObjectiveShare), Outcome::ok);
    }
    EXPECT_NEAR(measureCapacity(), 32, 1);
}

TEST_F(ConcurrencyLimiterTest, KeepsTheLimitAboveZeroUnderLastingOverload) {
    limiter_.initializeLimit(kEndpoints);
    observeServed(kSlowResponseObjectiveShare, 1000);
    RandomSource random(1);
    int admitted = 0;
    for (int i = 0; i < 1000; ++i)
        if (limiter_.hasCapacity(random)) ++admitted;
    EXPECT_NEAR(admitted, 100, 30);  // the min limit of 0.1 is met by random draws
}

}  // namespace
}  // namespace gateway
