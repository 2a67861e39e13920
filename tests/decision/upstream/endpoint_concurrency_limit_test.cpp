#include "decision/upstream/endpoint_concurrency_limit.h"

#include <gtest/gtest.h>

#include <chrono>

namespace gateway {
namespace {

using std::chrono::milliseconds;

class EndpointConcurrencyLimitTest : public testing::Test {
protected:
    static constexpr TimePoint kNow{std::chrono::seconds(100)};
    static constexpr double kInitialLimit = 10;

    // A response of a class whose mean response time is 100 ms.
    static AttemptSample responseSample(bool overloaded) {
        AttemptSample sample;
        sample.classMeanSeconds = 0.1;
        sample.completedUnstreamed = true;
        sample.slow = overloaded;
        sample.indicatesOverload = overloaded;
        return sample;
    }

    void beginAttempts(int count) {
        for (int i = 0; i < count; ++i) limit.beginAttempt();
    }

    EndpointConcurrencyLimit limit{kInitialLimit};
};

TEST_F(EndpointConcurrencyLimitTest, LowersLimitOnceInAResponseTime) {
    limit.observe(responseSample(true), kNow);
    limit.observe(responseSample(true), kNow + milliseconds(50));
    EXPECT_EQ(limit.maxInFlight(), 8);
    limit.observe(responseSample(true), kNow + milliseconds(150));
    EXPECT_DOUBLE_EQ(limit.maxInFlight(), 6.4);
    beginAttempts(6);
    EXPECT_FALSE(limit.hasCapacity());
}

TEST_F(EndpointConcurrencyLimitTest, NeverFallsBelowOneAttempt) {
    for (int i = 0; i < 100; ++i) limit.observe(responseSample(true), kNow + std::chrono::seconds(i));
    EXPECT_EQ(limit.maxInFlight(), 1);
    EXPECT_TRUE(limit.hasCapacity());
}

TEST_F(EndpointConcurrencyLimitTest, RaisesLimitOnlyWhileItIsNearlyUsedUp) {
    limit.observe(responseSample(false), kNow);
    EXPECT_EQ(limit.maxInFlight(), kInitialLimit);
    beginAttempts(8);
    limit.observe(responseSample(false), kNow);
    EXPECT_DOUBLE_EQ(limit.maxInFlight(), 10.1);
}

TEST_F(EndpointConcurrencyLimitTest, ResetRestoresTheLimitAndKeepsAttemptsInFlight) {
    beginAttempts(3);
    limit.observe(responseSample(true), kNow);
    limit.reset(kInitialLimit);
    EXPECT_EQ(limit.maxInFlight(), kInitialLimit);
    EXPECT_EQ(limit.inFlight(), 3);
    limit.endAttempt();
    EXPECT_EQ(limit.inFlight(), 2);
}

}  // namespace
}  // namespace gateway
