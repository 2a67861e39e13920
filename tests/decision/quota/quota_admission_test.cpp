// Admission with and without replies of the counter, observed through the engine.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>

#include "decision/quota/quota_test.h"

namespace gateway {
namespace {

class QuotaAdmissionTest : public QuotaTest {};

TEST_F(QuotaAdmissionTest, WaitsOnlyBrieflyForAnUnavailableCounter) {
    EngineFixture gateway = startGateway();
    gateway.isCounterAnswering = false;
    gateway.request();
    gateway.advance(milliseconds(60));
    EXPECT_EQ(gateway.sends.size(), 1u);
}

TEST_F(QuotaAdmissionTest, AdmitsWithinTheQuotaAndCallsLessWhileTheCounterIsUnavailable) {
    constexpr int kRequests = 200;
    constexpr int kTenants = 4;
    EngineFixture gateway = startGateway();
    gateway.isCounterAnswering = false;
    for (int i = 0; i < kRequests; ++i) {
        request(gateway, {.tenant = static_cast<std::uint64_t>(i % kTenants)});
        gateway.advance(milliseconds(5));
        gateway.failUnansweredAdds(Outcome::connectFailed);
    }
    // Four tenants with a burst of 8 each, of which this gateway admits a share.
    EXPECT_GE(gateway.sends.size(), 8u);
    EXPECT_LE(gateway.sends.size(), 32u);
    EXPECT_LT(gateway.addCount, kRequests);
}

TEST_F(QuotaAdmissionTest, AdmitsAShareOfTheQuotaWhenTheCounterIsDisabled) {
    settings().counterEnabled = false;
    EngineFixture gateway = startGateway();
    requestTimes(gateway, 12);
    EXPECT_EQ(gateway.addCount, 0);
    EXPECT_GE(gateway.sends.size(), 3u);
    EXPECT_LE(gateway.sends.size(), 5u);
}

TEST_F(QuotaAdmissionTest, RejectsBeyondItsShareOfAttemptsInFlight) {
    plan() = QuotaPlan{};
    plan().concurrency = 4;  // over two gateways
    EngineFixture gateway = startGateway();
    requestTimes(gateway, 6);
    EXPECT_EQ(gateway.sends.size(), 2u);
    endSuccessfully(gateway, gateway.sends[0]);
    gateway.request();
    EXPECT_EQ(gateway.sends.size(), 3u);
    EXPECT_EQ(gateway.rejections.size(), 4u);
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
    gateway.isCounterAnswering = false;
    for (int i = 0; i < kRequests; ++i) {
        request(gateway, {.entryPoints = 4});
        gateway.failUnansweredAdds(Outcome::timedOut);
    }
    EXPECT_EQ(gateway.sends.size() == kRequests, GetParam().isAdmittedBeyondEstimate);
}

INSTANTIATE_TEST_SUITE_P(Plans, RemoteUsageEstimateTest,
                         testing::Values(OverQuotaCase{"EarnsNothing", 0.0, false},
                                         OverQuotaCase{"EarnsMoreThanItCosts", 0.2, true}),
                         labelOf);

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
        gateway.isCounterAnswering = false;
        for (int i = 0; i < kRequests; ++i) {
            const std::size_t before = gateway.sends.size();
            request(gateway, {.entryPoints = kLargeFleetEntryPoints});
            gateway.failUnansweredAdds(Outcome::connectFailed);
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
        gateway.isCounterAnswering = false;
        for (int i = 0; i < kAnsweredRequests; ++i) {
            playRequest(gateway, i, [&] {
                while (!gateway.unansweredAdds.empty()) answerOldestCall(gateway, total);
            });
        }
        gateway.sends.clear();
        for (int i = 0; i < kUnansweredRequests; ++i) {
            playRequest(gateway, kAnsweredRequests + i,
                        [&] { gateway.failUnansweredAdds(Outcome::connectFailed); });
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

}  // namespace
}  // namespace gateway
