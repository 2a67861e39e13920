#include "decision/upstream/endpoint_load.h"

#include <gtest/gtest.h>

#include <chrono>

namespace gateway {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};

// A response that took `slowness` times the mean of its class.
AttemptSample responseSample(double slowness) {
    AttemptSample sample;
    sample.seconds = 0.1 * slowness;
    sample.classMeanSeconds = 0.1;
    sample.completedUnstreamed = true;
    return sample;
}

TEST(EndpointLoadTest, EstimatesRemoteAttemptsAsReportedMinusOwnAttempts) {
    EndpointLoad load;
    for (int i = 0; i < 50; ++i) load.recordReport(12, 2);
    EXPECT_NEAR(load.remoteInFlight(), 10, 0.01);
}

TEST(EndpointLoadTest, KeepsRemoteEstimateNonNegativeWhenReportPredatesOwnAttempts) {
    EndpointLoad load;
    load.recordReport(1, 5);
    EXPECT_EQ(load.remoteInFlight(), 0);
}

TEST(EndpointLoadTest, BoundsTheSlownessOfASample) {
    EndpointLoad load;
    for (int i = 0; i < 200; ++i) load.recordAttempt(responseSample(1000), kNow);
    EXPECT_NEAR(load.slowness(), 10, 0.01);
}

TEST(EndpointLoadTest, AttemptWithoutLatencyChangesOnlyTheTimeOfTheLatestOutcome) {
    EndpointLoad load;
    AttemptSample rejected = responseSample(5);
    rejected.completedUnstreamed = false;
    load.recordAttempt(rejected, kNow);
    EXPECT_EQ(load.slowness(), 1);
    EXPECT_EQ(load.observedAt(), kNow);
}

}  // namespace
}  // namespace gateway
