// Calls to a counter that is congested, unavailable or has lost counts, observed through the engine.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>

#include "decision/quota/quota_test.h"

namespace gateway {
namespace {

class CounterSamplerTest : public QuotaTest {
protected:
    // One request of each of `count` tenants. Calls to the counter fail for two of three tenants.
    static void requestWhileCallsFail(EngineFixture& gateway, int count, Outcome failure) {
        for (int i = 0; i < count; ++i) {
            const std::uint64_t tenant = kFirstOtherTenant + static_cast<std::uint64_t>(i);
            gateway.counting = tenant % 3 == 0;
            request(gateway, {.tenant = tenant});
            gateway.failHeldAdds(failure);
        }
    }

    static double maxCount(const EngineFixture& gateway) {
        double maximum = 0;
        for (const auto& [name, sum] : gateway.counts) maximum = std::max(maximum, sum);
        return maximum;
    }

    static double minCount(const EngineFixture& gateway) {
        double minimum = 0;
        for (const auto& [name, sum] : gateway.counts) minimum = std::min(minimum, sum);
        return minimum;
    }
};

TEST_F(CounterSamplerTest, CallsACongestedCounterLessWithHigherSampleWeights) {
    EngineFixture gateway = startGateway();
    requestWhileCallsFail(gateway, 60, Outcome::rejected);
    EXPECT_LT(gateway.adds, 60);
    EXPECT_GT(maxCount(gateway), 1.5);
    EXPECT_LE(maxCount(gateway), 2);  // a higher weight could exhaust the window of a small tenant by chance
    EXPECT_EQ(gateway.sends.size(), 60u - gateway.refusals.size());
    gateway.counting = true;
    for (std::uint64_t tenant = 200; tenant < 600; ++tenant) request(gateway, {.tenant = tenant});
    const int before = gateway.adds;
    for (std::uint64_t tenant = 600; tenant < 700; ++tenant) request(gateway, {.tenant = tenant});
    EXPECT_GE(gateway.adds - before, 90);  // the counter has recovered
}

// A malformed reply or a broken connection shows nothing of the counter's load.
TEST_F(CounterSamplerTest, BrokenRepliesDoNotIndicateCongestion) {
    constexpr int kRequests = 60;
    constexpr int kAnswered = 40;
    EngineFixture gateway = startGateway();
    for (int i = 0; i < kRequests; ++i) {
        const std::uint64_t tenant = kFirstOtherTenant + static_cast<std::uint64_t>(i);
        gateway.counting = tenant % 3 != 0;
        request(gateway, {.tenant = tenant});
        gateway.failHeldAdds(Outcome::reset);
    }
    // Every request calls the counter, and those that get a reply also read the closed slice.
    EXPECT_EQ(gateway.adds, kRequests + kAnswered);
}

// A tenant without a request in the previous slice has no known debt.
TEST_F(CounterSamplerTest, ReadsNoClosedSliceWithoutKnownDebtFromACongestedCounter) {
    EngineFixture gateway = startGateway();
    gateway.counting = false;
    for (std::uint64_t tenant = 100; tenant < 103; ++tenant) {
        request(gateway, {.tenant = tenant});
        gateway.failHeldAdds(Outcome::rejected);
    }
    gateway.counting = true;
    for (std::uint64_t tenant = 200; tenant < 210; ++tenant) request(gateway, {.tenant = tenant});
    for (const auto& [name, sum] : gateway.counts) EXPECT_GT(sum, 0) << name << " was only read";
}

TEST_F(CounterSamplerTest, RefundsToACongestedCounterNeverExceedChargedCost) {
    constexpr int kTenants = 200;
    constexpr int kRequestsPerTenant = 24;  // three times the burst
    EngineFixture gateway = startGateway();
    double minimum = 0;
    for (int i = 0; i < kTenants; ++i) {
        const std::uint64_t tenant = kFirstOtherTenant + static_cast<std::uint64_t>(i);
        for (int j = 0; j < kRequestsPerTenant; ++j) {
            gateway.counting = (tenant + static_cast<std::uint64_t>(j)) % 3 == 0;  // most calls are rejected
            request(gateway, {.tenant = tenant});
            gateway.advance(milliseconds(10));
            gateway.failHeldAdds(Outcome::rejected);
            minimum = std::min(minimum, minCount(gateway));
        }
    }
    EXPECT_GT(gateway.refusals.size(), 1000u);
    EXPECT_GE(minimum, -1e-6);
}

TEST_F(CounterSamplerTest, CallsACongestedCounterMostForTenantsCloseToTheirQuota) {
    constexpr std::uint64_t kFrequentTenant = 7;
    plan().overQuotaPenalty = 1;
    EngineFixture gateway = startGateway();
    int frequentCalls = 0;
    int singleCalls = 0;
    for (std::uint64_t tenant = 100; tenant < 300; ++tenant) {
        gateway.counting = false;
        int before = gateway.adds;
        request(gateway, {.tenant = kFrequentTenant});
        frequentCalls += gateway.adds - before;
        gateway.failHeldAdds(Outcome::rejected);
        gateway.counting = true;
        before = gateway.adds;
        request(gateway, {.tenant = tenant});
        singleCalls += std::min(1, gateway.adds - before);  // without the read of the closed slice
        gateway.advance(milliseconds(50));
    }
    EXPECT_GT(frequentCalls, 3 * singleCalls / 2);
    EXPECT_GT(singleCalls, 0);
}

// A congested counter still works on calls that nobody waits for. Posting them again would exhaust the quota.
TEST_F(CounterSamplerTest, PostsChargesOfTimedOutCallsOnlyOnce) {
    plan().burst = 40;
    EngineFixture gateway = startGateway();
    gateway.counting = false;
    for (int i = 0; i < 24; ++i) {
        request(gateway, {.entryPoints = 1});
        for (const AddToCounter& add : gateway.held) gateway.counts[add.name] += add.amount;
        gateway.failHeldAdds(Outcome::timedOut);
    }
    ASSERT_EQ(gateway.sends.size(), 24u);
    for (const SendAttempt& send : gateway.sends) endSuccessfully(gateway, send);
    gateway.counting = true;
    requestTimes(gateway, 4, {.entryPoints = 1});
    gateway.advance(milliseconds(5000));
    EXPECT_GT(gateway.counted(), 20);
    EXPECT_LE(gateway.counted(), 28 + 1e-6);
}

// A reported total includes no call that was made after the one that it replies to.
TEST_F(CounterSamplerTest, AddsChargesOfCallsInFlightToTheReportedTotal) {
    EngineFixture gateway = startGateway();
    gateway.counting = false;
    const auto requestWithoutReply = [&] {
        request(gateway, {.entryPoints = 1});
        gateway.advance(milliseconds(60));  // decided without the reply
    };
    for (int i = 0; i < 5; ++i) requestWithoutReply();
    ASSERT_EQ(gateway.sends.size(), 5u);
    answerOldestCall(gateway, 1);
    for (int i = 0; i < 10; ++i) requestWithoutReply();
    EXPECT_LE(gateway.sends.size(), 9u);  // the burst of 8 and 2 per second
    EXPECT_GE(gateway.sends.size(), 8u);
}

struct OverQuotaCase {
    const char* label;
    double overQuotaWeight;
    bool isAdmittedBeyondEstimate;

    friend std::ostream& operator<<(std::ostream& out, const OverQuotaCase& row) { return out << row.label; }
};

std::string labelOf(const testing::TestParamInfo<OverQuotaCase>& info) {
    return info.param.label;
}

class RemoteUsageEstimateTest : public QuotaTest, public testing::WithParamInterface<OverQuotaCase> {};

// Where an over-quota request earns more than it costs, no request is rejected for estimated remote usage.
TEST_P(RemoteUsageEstimateTest, RejectsOnlyWhereAnOverQuotaRequestCosts) {
    constexpr int kRequests = 7;
    plan().overQuotaWeight = GetParam().overQuotaWeight;
    EngineFixture gateway = startGateway();
    gateway.counting = false;
    for (int i = 0; i < kRequests; ++i) {
        request(gateway, {.entryPoints = 4});
        gateway.failHeldAdds(Outcome::timedOut);
    }
    EXPECT_EQ(gateway.sends.size() == kRequests, GetParam().isAdmittedBeyondEstimate);
}

INSTANTIATE_TEST_SUITE_P(Plans, RemoteUsageEstimateTest,
                         testing::Values(OverQuotaCase{"EarnsNothing", 0.0, false},
                                         OverQuotaCase{"EarnsMoreThanItCosts", 0.2, true}),
                         labelOf);

TEST_F(CounterSamplerTest, SamplesTenantsWithLowLocalTrafficByTheMeter) {
    constexpr int kRequests = 120;
    constexpr int kWarmUpRequests = 20;
    constexpr std::array<double, 2> kMeterPercents = {100, 5};  // of the two tenants
    settings().gatewayCount = kLargeFleet;
    settings().usageMeterPeriod = milliseconds(1000);
    plan().rate = 20;
    plan().burst = 80;
    EngineFixture gateway = startGateway(kManyEndpoints);
    std::array<int, 2> sampledRequests = {0, 0};
    for (int i = 0; i < kRequests; ++i) {
        const auto which = static_cast<std::size_t>(i % 2);
        const bool isWarmUp = i < kWarmUpRequests;
        gateway.counting = isWarmUp || i % 10 > 1;  // some calls time out: the counter is congested
        const int before = gateway.adds;
        request(gateway, {.tenant = 5 + which, .entryPoints = kLargeFleetEntryPoints});
        if (!isWarmUp && gateway.adds > before) ++sampledRequests[which];
        gateway.failHeldAdds(Outcome::timedOut);
        endLatestWithMeter(gateway, kMeterPercents[which]);
        gateway.advance(milliseconds(50));
    }
    EXPECT_GT(sampledRequests[0], sampledRequests[1] + 10);
}

// The share of admitted requests of a tenant whose requests are forwarded without a reply of the counter, in
// a large fleet whose meter reports that the tenant uses all of its quota.
class MeteredAdmissionTest : public QuotaTest {
protected:
    double admittedShare(double overQuotaPenalty) {
        constexpr int kRequests = 400;
        settings().gatewayCount = kLargeFleet;
        settings().usageMeterPeriod = milliseconds(1000);
        plan().rate = 200;
        plan().burst = 800;
        plan().overQuotaPenalty = overQuotaPenalty;
        EngineFixture gateway = startGateway(kManyEndpoints);
        gateway.counting = false;
        for (int i = 0; i < kRequests; ++i) {
            const std::size_t before = gateway.sends.size();
            request(gateway, {.entryPoints = kLargeFleetEntryPoints});
            gateway.failHeldAdds(Outcome::connectFailed);
            gateway.advance(milliseconds(50));
            if (gateway.sends.size() > before) endLatestWithMeter(gateway, 100);
        }
        return static_cast<double>(gateway.sends.size()) / kRequests;
    }
};

// The meter of a tenant that is held to its quota reads 100% however high its demand is. Over a large fleet,
// all that is admitted without a reply then exceeds the quota.
TEST_F(MeteredAdmissionTest, AdmitsFewerUnsampledRequestsWhereAnOverQuotaRequestCosts) {
    EXPECT_GT(admittedShare(0), 0.95);
    EXPECT_LT(admittedShare(1), 0.45);
    EXPECT_GT(admittedShare(1), 0.2);
}

// Replies of the counter for the tenants of one plan, and then requests of other tenants of that plan without
// replies.
class UnmeteredAdmissionTest : public QuotaTest {
protected:
    static constexpr double kTotalWithinQuota = 2;
    static constexpr double kTotalBeyondQuota = 100;

    // The share of the requests without a reply that are admitted, after replies with that total.
    double admittedShare(double total, double overQuotaPenalty) {
        settings().gatewayCount = kLargeFleet;
        plan().overQuotaPenalty = overQuotaPenalty;
        EngineFixture gateway = startGateway(kManyEndpoints);
        gateway.counting = false;
        for (int i = 0; i < kAnsweredRequests; ++i) {
            playRequest(gateway, i, [&] {
                while (!gateway.held.empty()) answerOldestCall(gateway, total);
            });
        }
        gateway.sends.clear();
        for (int i = 0; i < kUnansweredRequests; ++i) {
            playRequest(gateway, kAnsweredRequests + i,
                        [&] { gateway.failHeldAdds(Outcome::connectFailed); });
        }
        return static_cast<double>(gateway.sends.size()) / kUnansweredRequests;
    }

private:
    static constexpr int kAnsweredRequests = 200;
    static constexpr int kUnansweredRequests = 200;

    // Each request has a tenant of its own.
    template <class CompleteCalls>
    static void playRequest(EngineFixture& gateway, int number, CompleteCalls completeCalls) {
        const std::size_t before = gateway.sends.size();
        const std::uint64_t tenant = 5 + static_cast<std::uint64_t>(number);
        request(gateway, {.tenant = tenant, .entryPoints = kLargeFleetEntryPoints});
        completeCalls();
        if (gateway.sends.size() > before) endSuccessfully(gateway, gateway.sends.back());
        gateway.advance(milliseconds(50));
    }
};

// Without a meter nothing shows the usage of a tenant with low local traffic. What is admitted of such
// tenants exceeds quotas as often as the counter's replies leave no quota for other tenants of their plan.
TEST_F(UnmeteredAdmissionTest, AdmitsUnsampledRequestsByTheRemainingQuotaOfOtherTenants) {
    EXPECT_GT(admittedShare(kTotalWithinQuota, 1), 0.95);
    EXPECT_GT(admittedShare(kTotalBeyondQuota, 0), 0.95);  // an over-quota request costs nothing
    EXPECT_LT(admittedShare(kTotalBeyondQuota, 1), 0.2);
}

TEST_F(CounterSamplerTest, WaitsOnlyBrieflyForAnUnavailableCounter) {
    EngineFixture gateway = startGateway();
    gateway.counting = false;
    gateway.request();
    gateway.advance(milliseconds(60));
    EXPECT_EQ(gateway.sends.size(), 1u);
}

TEST_F(CounterSamplerTest, AdmitsWithinTheQuotaAndCallsLessWhileTheCounterIsUnavailable) {
    constexpr int kRequests = 200;
    constexpr int kTenants = 4;
    EngineFixture gateway = startGateway();
    gateway.counting = false;
    for (int i = 0; i < kRequests; ++i) {
        request(gateway, {.tenant = static_cast<std::uint64_t>(i % kTenants)});
        gateway.advance(milliseconds(5));
        gateway.failHeldAdds(Outcome::connectFailed);
    }
    // Four tenants with a burst of 8 each, of which this gateway admits a share.
    EXPECT_GE(gateway.sends.size(), 8u);
    EXPECT_LE(gateway.sends.size(), 32u);
    EXPECT_LT(gateway.adds, kRequests);
}

TEST_F(CounterSamplerTest, PostsLostCountsAgain) {
    EngineFixture gateway = startGateway();
    requestTimes(gateway, 5);
    gateway.counts.clear();
    requestTimes(gateway, 7);
    EXPECT_EQ(gateway.sends.size(), 8u);
    gateway.advance(milliseconds(500));
    EXPECT_DOUBLE_EQ(gateway.counted(), 8);
}

// Reconciliations of other gateways lower a total too. Posting the difference again would exhaust the quota
// of a tenant that has quota left. This holds for a congested counter as well.
TEST_F(CounterSamplerTest, DoesNotTakeRefundsOfOtherGatewaysForLostCounts) {
    settings().reconciliationEnabled = true;
    EngineFixture gateway = startGateway();
    gateway.request(2);
    gateway.counting = false;
    request(gateway, {.tenant = 9});
    gateway.failHeldAdds(Outcome::connectFailed);
    gateway.counting = true;
    for (auto& [name, value] : gateway.counts)
        if (value > 0) value -= 2;
    requestTimes(gateway, 4);
    gateway.advance(milliseconds(1500));
    double sum = 0;
    for (const auto& [name, value] : gateway.counts)
        if (name.starts_with("q5.")) sum += value;
    EXPECT_EQ(gateway.sends.size(), 6u);
    EXPECT_LE(sum, 4);  // 6 admitted less the refund of 2
}

TEST_F(CounterSamplerTest, AdmitsAShareOfTheQuotaWhenTheCounterIsDisabled) {
    settings().counterEnabled = false;
    EngineFixture gateway = startGateway();
    requestTimes(gateway, 12);
    EXPECT_EQ(gateway.adds, 0);
    EXPECT_GE(gateway.sends.size(), 3u);
    EXPECT_LE(gateway.sends.size(), 5u);
}

TEST_F(CounterSamplerTest, IgnoresEventsForUnknownSlicesTimersAndRequests) {
    EngineFixture gateway = startGateway();
    gateway.feed(CounterReplied{"q99.3", Outcome::ok, 4, {}});
    gateway.feed(CounterReplied{"nonsense", Outcome::ok, 4, {}});
    gateway.feed(TimerFired{TimerId{12345}});
    gateway.feed(ClientDisconnected{RequestId("nobody")});
    AttemptEnded ended;
    ended.request = RequestId("nobody");
    gateway.feed(ended);
    EXPECT_TRUE(gateway.sends.empty() && gateway.refusals.empty() && gateway.fails.empty());
}

}  // namespace
}  // namespace gateway
