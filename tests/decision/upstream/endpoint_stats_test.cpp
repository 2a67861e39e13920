#include "decision/upstream/endpoint_stats.h"

#include <gtest/gtest.h>

#include <chrono>

namespace gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EndpointStatsTest : public testing::Test {
protected:
    static constexpr TimePoint kStart{seconds(100)};
    static constexpr std::size_t kEndpoints = 10;

    EndpointStatsTest() { stats.start(kStart); }

    // Observes 100 outcomes at the given interval and returns the time of the last one.
    TimePoint observeEvery(Duration interval) {
        TimePoint now = kStart;
        for (int i = 0; i < 100; ++i) {
            now += interval;
            stats.observe(load, kEndpoints, now);
        }
        return now;
    }

    EndpointStats stats;
    EndpointLoad load;
};

TEST_F(EndpointStatsTest, HasLowLocalTrafficWhenEndpointsAreObservedRarely) {
    observeEvery(milliseconds(100));  // every endpoint once a second
    EXPECT_FALSE(stats.observesEndpointsRarely());
    observeEvery(milliseconds(500));  // every endpoint once in five seconds
    EXPECT_TRUE(stats.observesEndpointsRarely());
}

TEST_F(EndpointStatsTest, FreshnessDecaysFromOneTowardsZero) {
    load.recordAttempt(AttemptSample{}, kStart);
    EXPECT_EQ(stats.freshness(load, kStart), 1);
    EXPECT_NEAR(stats.freshness(load, kStart + seconds(3)), 0.368, 0.001);
    EXPECT_LT(stats.freshness(load, kStart + seconds(60)), 1e-6);
}

TEST_F(EndpointStatsTest, FreshnessDecaysMoreSlowlyUnderLowLocalTraffic) {
    const TimePoint now = observeEvery(milliseconds(500));
    load.recordAttempt(AttemptSample{}, now);
    EXPECT_NEAR(stats.freshness(load, now + seconds(5)), 0.368, 0.001);
}

TEST_F(EndpointStatsTest, MeanRemoteInFlightFollowsTheEndpoints) {
    for (int i = 0; i < 100; ++i) load.recordReport(8, 0);
    observeEvery(milliseconds(100));
    EXPECT_NEAR(stats.meanRemoteInFlight(), 8, 0.01);
}

}  // namespace
}  // namespace gateway
