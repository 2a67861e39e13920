// Tests of CounterSampler, alone and through the engine.
#include "decision/quota/counter_sampler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "decision/quota/quota_test.h"

namespace gateway {
namespace {

class CounterSamplerTest : public QuotaTest {
protected:
    // Sends one request for each of `count` tenants. Calls to the counter fail for two of three tenants.
    static void sendRequestsWhileCallsFail(EngineFixture& gateway, int count, Outcome failure) {
        for (int i = 0; i < count; ++i) {
            const std::uint64_t tenant = kFirstOtherTenant + static_cast<std::uint64_t>(i);
            gateway.isCounterAnswering = tenant % 3 == 0;
            sendRequest(gateway, {.tenant = tenant});
            gateway.failUnansweredAdds(failure);
        }
    }

    static double maxCount(const EngineFixture& gateway) {
        double maximum = 0;
        for (const auto& [name, sum] : gateway.counts) maximum = std::max(maximum, sum);
        return maximum;
    }
};

TEST_F(CounterSamplerTest, CallsACongestedCounterLessOftenWithHigherSampleWeights) {
    EngineFixture gateway = startGateway();
    sendRequestsWhileCallsFail(gateway, 60, Outcome::rejected);
    EXPECT_LT(gateway.addCount, 60);
    EXPECT_GT(maxCount(gateway), 1.5);
    EXPECT_LE(maxCount(gateway), 2);  // a higher weight of one sampled request could exhaust a small quota
    EXPECT_EQ(gateway.sends.size(), 60u - gateway.rejections.size());
    gateway.isCounterAnswering = true;
    for (std::uint64_t tenant = 200; tenant < 600; ++tenant) sendRequest(gateway, {.tenant = tenant});
    const int before = gateway.addCount;
    for (std::uint64_t tenant = 600; tenant < 700; ++tenant) sendRequest(gateway, {.tenant = tenant});
    EXPECT_GE(gateway.addCount - before, 90);  // the counter has recovered
}

// A malformed reply or a broken connection says nothing about the counter's load.
TEST_F(CounterSamplerTest, BrokenRepliesDoNotIndicateCongestion) {
    constexpr int kRequests = 60;
    constexpr int kAnswered = 40;
    EngineFixture gateway = startGateway();
    for (int i = 0; i < kRequests; ++i) {
        const std::uint64_t tenant = kFirstOtherTenant + static_cast<std::uint64_t>(i);
        gateway.isCounterAnswering = tenant % 3 != 0;
        sendRequest(gateway, {.tenant = tenant});
        gateway.failUnansweredAdds(Outcome::reset);
    }
    // Every request posts its charge, and each one that gets a reply also reads the closed slice.
    EXPECT_EQ(gateway.addCount, kRequests + kAnswered);
}

TEST_F(CounterSamplerTest, CallsACongestedCounterMostForTenantsCloseToTheirQuota) {
    constexpr std::uint64_t kFrequentTenant = 7;
    plan().overQuotaPenalty = 1;
    EngineFixture gateway = startGateway();
    int frequentCalls = 0;
    int singleCalls = 0;
    for (std::uint64_t tenant = 100; tenant < 300; ++tenant) {
        gateway.isCounterAnswering = false;
        int before = gateway.addCount;
        sendRequest(gateway, {.tenant = kFrequentTenant});
        frequentCalls += gateway.addCount - before;
        gateway.failUnansweredAdds(Outcome::rejected);
        gateway.isCounterAnswering = true;
        before = gateway.addCount;
        sendRequest(gateway, {.tenant = tenant});
        singleCalls += std::min(1, gateway.addCount - before);  // does not count the read of the closed slice
        gateway.advance(milliseconds(50));
    }
    EXPECT_GT(frequentCalls, 3 * singleCalls / 2);
    EXPECT_GT(singleCalls, 0);
}

TEST_F(CounterSamplerTest, SamplesTenantsWithLowLocalTrafficByTheMeter) {
    constexpr int kRequests = 120;
    constexpr int kWarmUpRequests = 20;
    constexpr std::array<double, 2> kMeterPercents = {100, 5};  // one for each tenant
    settings().gatewayCount = kLargeFleet;
    settings().usageMeterPeriod = milliseconds(1000);
    plan().rate = 20;
    plan().burst = 80;
    EngineFixture gateway = startGateway(kManyEndpoints);
    std::array<int, 2> sampledRequests = {0, 0};
    for (int i = 0; i < kRequests; ++i) {
        const auto tenantIndex = static_cast<std::size_t>(i % 2);
        const bool isWarmUp = i < kWarmUpRequests;
        gateway.isCounterAnswering = isWarmUp || i % 10 > 1;  // some calls time out, which causes congestion
        const int before = gateway.addCount;
        sendRequest(gateway, {.tenant = 5 + tenantIndex, .entryPoints = kLargeFleetEntryPoints});
        if (!isWarmUp && gateway.addCount > before) ++sampledRequests[tenantIndex];
        gateway.failUnansweredAdds(Outcome::timedOut);
        endLatestWithMeter(gateway, kMeterPercents[tenantIndex]);
        gateway.advance(milliseconds(50));
    }
    EXPECT_GT(sampledRequests[0], sampledRequests[1] + 10);
}

// Tests CounterSampler alone.
class CounterSampleRateTest : public testing::Test {
protected:
    static constexpr int kUnavailableAfter = 4;  // failures in a row

    void record(Outcome outcome, int times = 1, Duration elapsed = milliseconds(1)) {
        for (int i = 0; i < times; ++i) {
            now += milliseconds(10);
            sampler.recordReply(CounterReplied{"q5.1", outcome, 0, elapsed}, now);
        }
    }

    CounterSampler sampler{milliseconds(30)};
    TimePoint now{milliseconds(100'000)};
};

TEST_F(CounterSampleRateTest, EveryRequestCallsAnUncongestedCounter) {
    RandomSource random(7);
    RandomSource unusedRandom(7);
    record(Outcome::ok, 10);
    sampler.recordReplyBenefit(1);
    EXPECT_FALSE(sampler.isCongested());
    EXPECT_EQ(sampler.sampleProbability(1), 1);
    EXPECT_TRUE(sampler.shouldCallNow(random));
    EXPECT_EQ(random.next(), unusedRandom.next());  // nothing was drawn
}

TEST_F(CounterSampleRateTest, RejectedCallsStartCongestionAndFastRepliesEndIt) {
    record(Outcome::rejected);
    EXPECT_TRUE(sampler.isCongested());
    record(Outcome::ok, 100);
    EXPECT_FALSE(sampler.isCongested());
}

TEST_F(CounterSampleRateTest, SlowRepliesIndicateCongestion) {
    record(Outcome::ok);
    record(Outcome::ok, 1, milliseconds(25));
    EXPECT_TRUE(sampler.isCongested());
}

TEST_F(CounterSampleRateTest, FailuresInARowIndicateAnUnavailableCounter) {
    record(Outcome::timedOut, kUnavailableAfter - 1);
    EXPECT_FALSE(sampler.isUnavailable());
    record(Outcome::timedOut);
    EXPECT_TRUE(sampler.isUnavailable());
    record(Outcome::ok);
    EXPECT_FALSE(sampler.isUnavailable());
}

TEST_F(CounterSampleRateTest, BrokenRepliesIndicateUnavailabilityOnly) {
    record(Outcome::reset, kUnavailableAfter - 1);
    EXPECT_FALSE(sampler.isCongested());
    record(Outcome::reset);
    EXPECT_TRUE(sampler.isUnavailable());
}

TEST_F(CounterSampleRateTest, NeverStopsCallingAFailingCounter) {
    record(Outcome::timedOut, 1000);
    sampler.recordReplyBenefit(1);
    EXPECT_NEAR(sampler.sampleProbability(1), 0.1, 1e-9);
    EXPECT_NEAR(sampler.pendingChargeProbability(), 0.25, 1e-9);
}

TEST_F(CounterSampleRateTest, PrefersRepliesOfHighBenefit) {
    record(Outcome::rejected, 2);
    sampler.recordReplyBenefit(1);
    EXPECT_GT(sampler.sampleProbability(2), sampler.sampleProbability(1));
    EXPECT_LT(sampler.sampleProbability(0.5), sampler.sampleProbability(1));
}

}  // namespace
}  // namespace gateway
