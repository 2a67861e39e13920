#include "decision/upstream/concurrency_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "decision/upstream/upstream_engine_test.h"

namespace gateway {
namespace {

class ConcurrencyLimiterTest : public testing::Test {
protected:
    static constexpr std::size_t kEndpoints = 4;
    static constexpr double kFastObjectiveShare = 0.1;
    static constexpr double kSlowResponseObjectiveShare = 0.9;

    ConcurrencyLimiterTest() : limiter(plainSettings()) {}  // two gateways, 16 attempts at each endpoint

    static AttemptSample servedSample(double objectiveShare) {
        AttemptSample sample;
        sample.objectiveShare = objectiveShare;
        sample.completedUnstreamed = true;
        sample.slow = objectiveShare > kSlowObjectiveShare;
        sample.indicatesOverload = sample.slow;
        return sample;
    }

    static AttemptSample timedOutSample() {
        AttemptSample sample;
        sample.objectiveShare = 4;
        sample.timedOut = true;
        sample.slow = true;
        sample.indicatesOverload = true;
        return sample;
    }

    void observeServed(double objectiveShare, int times) {
        for (int i = 0; i < times; ++i) limiter.observe(servedSample(objectiveShare), Outcome::ok);
    }

    void beginAttempts(int count) {
        for (int i = 0; i < count; ++i) limiter.beginAttempt();
    }

    void endAttempts(int count) {
        for (int i = 0; i < count; ++i) limiter.endAttempt();
    }

    // Returns how many attempts may be in flight at once.
    int measureCapacity() {
        constexpr int kMaxMeasured = 1000;
        RandomSource random(1);
        int begun = 0;
        while (begun < kMaxMeasured && limiter.hasCapacity(random)) {
            limiter.beginAttempt();
            ++begun;
        }
        endAttempts(begun);
        return begun;
    }

    ConcurrencyLimiter limiter;
};

TEST_F(ConcurrencyLimiterTest, AdmitsNothingBeforeTheEndpointListIsKnown) {
    EXPECT_EQ(measureCapacity(), 0);
}

TEST_F(ConcurrencyLimiterTest, StartsWithShareOfEndpointsAndKeepsLimitOnLaterLists) {
    limiter.initializeLimit(kEndpoints);
    EXPECT_NEAR(measureCapacity(), 32, 1);
    limiter.initializeLimit(100 * kEndpoints);
    EXPECT_NEAR(measureCapacity(), 32, 1);
}

TEST_F(ConcurrencyLimiterTest, LowersLimitOnSlowResponsesAndRaisesItOnlyWhileItIsUsed) {
    limiter.initializeLimit(kEndpoints);
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
    limiter.initializeLimit(kEndpoints);
    for (int i = 0; i < 100; ++i) {
        if (i % 10 == 0)
            limiter.observe(timedOutSample(), Outcome::timedOut);
        else
            limiter.observe(servedSample(kFastObjectiveShare), Outcome::ok);
    }
    EXPECT_NEAR(measureCapacity(), 32, 1);
}

TEST_F(ConcurrencyLimiterTest, KeepsTheLimitAboveZeroUnderLastingOverload) {
    limiter.initializeLimit(kEndpoints);
    observeServed(kSlowResponseObjectiveShare, 1000);
    RandomSource random(1);
    int admitted = 0;
    for (int i = 0; i < 1000; ++i)
        if (limiter.hasCapacity(random)) ++admitted;
    EXPECT_NEAR(admitted, 100, 30);  // the limiter admits a share of 0.1 at its min limit
}

// Tests the limiter within the decision engine.
class ConcurrencyLimiterEngineTest : public UpstreamEngineTest {};

TEST_F(ConcurrencyLimiterEngineTest, AdmitsRequestsWhileSomeEndpointsAreUnresponsive) {
    Settings settings = plainSettings();
    settings.plans[0].rate = 1e6;
    settings.plans[0].burst = 1e6;
    settings.gatewayCount = 300;
    start(settings, 20);
    const auto reply = [](const EndpointId& endpoint) {  // eight of the twenty endpoints do not respond
        const bool isUnresponsive = endpoint.value().size() == 2 && endpoint.value() < "w8";
        if (isUnresponsive) return AttemptReply{Outcome::timedOut, milliseconds(600)};
        return AttemptReply{Outcome::ok, milliseconds(80)};
    };
    int rejected = 0;
    for (int i = 0; i < 200; ++i) {
        if (serveRequest(kTenant, reply).empty()) ++rejected;
        advance(milliseconds(250));
    }
    EXPECT_LE(rejected, 10);
}

TEST_F(ConcurrencyLimiterEngineTest, AdmitsRequestsWhileOneEndpointRejectsAndOthersAreFast) {
    Settings settings = plainSettings();
    settings.plans.clear();
    start(settings, 4);
    const EndpointId rejecting("w0");
    const auto reply = [&](const EndpointId& endpoint) {
        return AttemptReply{endpoint == rejecting ? Outcome::rejected : Outcome::ok};
    };
    std::ptrdiff_t attemptsAtRejecting = 0;
    for (int i = 0; i < 400; ++i) {
        const std::vector<EndpointId> endpoints = serveRequest(kTenant, reply);
        if (i >= 200) attemptsAtRejecting += std::count(endpoints.begin(), endpoints.end(), rejecting);
        advance(milliseconds(10));
    }
    EXPECT_LT(attemptsAtRejecting, 8);  // of 200 requests; probation needs an attempt from time to time
    EXPECT_LT(rejections().size(), 4u);
}

TEST_F(ConcurrencyLimiterEngineTest, StartsWithShortQueuesInALargeFleet) {
    Settings settings = plainSettings();
    settings.gatewayCount = 11;
    start(settings, 2);
    sendRequests(30);
    EXPECT_EQ(attempts().size(), 2u);  // one at each endpoint, eleven with those of the other gateways
    EXPECT_EQ(rejections().size(), 30 - attempts().size());
}

// Guards against an initial limit that is too high for a large fleet: 100 gateways with 10 attempts in flight
// each have 17 at every endpoint, and the first responses come after the queues are full.
TEST_F(ConcurrencyLimiterEngineTest, LargeFleetDoesNotFillTheQueuesBeforeTheFirstResponse) {
    Settings settings = plainSettings();
    settings.gatewayCount = 100;
    start(settings, 60);
    sendRequests(12);
    EXPECT_GE(attempts().size(), 2u);
    EXPECT_LE(attempts().size(), 4u);
    ASSERT_FALSE(rejections().empty());
    EXPECT_GT(rejections().back().retryAfter, Duration::zero());
}

TEST_F(ConcurrencyLimiterEngineTest, LowersLimitWhenOneResponseInFiveIsSlow) {
    start(plainSettings(), 4);
    for (int i = 0; i < 200; ++i) {
        const Duration elapsed = milliseconds(i % 5 == 0 ? 400 : 100);  // the latency objective is 600 ms
        serveRequest(100 + static_cast<std::uint64_t>(i), [&](const EndpointId&) {
            return AttemptReply{Outcome::ok, elapsed};
        });
        advance(milliseconds(100));
    }
    const std::size_t before = attempts().size();
    sendRequests(12, 400);
    EXPECT_LE(attempts().size() - before, 3u);
}

}  // namespace
}  // namespace gateway
