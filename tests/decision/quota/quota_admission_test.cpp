// Tests of QuotaAdmission through the engine, with and without counter replies.
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
        sendRequest(gateway, {.tenant = static_cast<std::uint64_t>(i % kTenants)});
        gateway.advance(milliseconds(5));
        gateway.failUnansweredAdds(Outcome::connectFailed);
    }
    // The four tenants have a burst of 8 each, and this gateway admits a share of it.
    EXPECT_GE(gateway.sends.size(), 8u);
    EXPECT_LE(gateway.sends.size(), 32u);
    EXPECT_LT(gateway.addCount, kRequests);
}

TEST_F(QuotaAdmissionTest, AdmitsAShareOfTheQuotaWhenTheCounterIsDisabled) {
    settings().counterEnabled = false;
    EngineFixture gateway = startGateway();
    sendRequests(gateway, 12);
    EXPECT_EQ(gateway.addCount, 0);
    EXPECT_GE(gateway.sends.size(), 3u);
    EXPECT_LE(gateway.sends.size(), 5u);
}

TEST_F(QuotaAdmissionTest, RejectsBeyondItsShareOfTheConcurrencyLimit) {
    plan() = QuotaPlan{};
    plan().concurrency = 4;  // for two gateways together
    EngineFixture gateway = startGateway();
    sendRequests(gateway, 6);
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

// If an over-quota request earns more than it costs, no request is rejected because of estimated remote
// usage.
TEST_P(RemoteUsageEstimateTest, RejectsForRemoteUsageOnlyIfOverQuotaRequestsCost) {
    constexpr int kRequests = 7;
    plan().overQuotaWeight = GetParam().overQuotaWeight;
    EngineFixture gateway = startGateway();
    gateway.isCounterAnswering = false;
    for (int i = 0; i < kRequests; ++i) {
        sendRequest(gateway, {.entryPoints = 4});
        gateway.failUnansweredAdds(Outcome::timedOut);
    }
    EXPECT_EQ(gateway.sends.size() == kRequests, GetParam().isAdmittedBeyondEstimate);
}

INSTANTIATE_TEST_SUITE_P(Plans, RemoteUsageEstimateTest,
                         testing::Values(OverQuotaCase{"EarnsNothing", 0.0, false},
                                         OverQuotaCase{"EarnsMoreThanItCosts", 0.2, true}),
                         labelOf);

// One gateway of a large fleet, without counter replies. The usage meter reports that the tenant uses all of
// its quota.
class MeteredAdmissionTest : public QuotaTest {
protected:
    // Returns the share of the tenant's requests that are admitted.
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
            sendRequest(gateway, {.entryPoints = kLargeFleetEntryPoints});
            gateway.failUnansweredAdds(Outcome::connectFailed);
            gateway.advance(milliseconds(50));
            if (gateway.sends.size() > before) endLatestWithMeter(gateway, 100);
        }
        return static_cast<double>(gateway.sends.size()) / kRequests;
    }
};

// The meter of a tenant that is limited to its quota reads 100% however high the demand is. If every gateway
// of a large fleet admitted all requests without a reply, they would exceed the quota.
TEST_F(MeteredAdmissionTest, AdmitsFewerUnconfirmedRequestsIfOverQuotaRequestsCost) {
    EXPECT_GT(admittedShare(0), 0.95);
    EXPECT_LT(admittedShare(1), 0.45);
    EXPECT_GT(admittedShare(1), 0.2);
}

// The counter replies to requests of some tenants of a plan, and then fails for other tenants of that plan.
class UnmeteredAdmissionTest : public QuotaTest {
protected:
    static constexpr double kTotalWithinQuota = 2;
    static constexpr double kTotalBeyondQuota = 100;

    // Returns the share of the requests without a reply that are admitted after replies with that total.
    double admittedShare(double total, double overQuotaPenalty) {
        settings().gatewayCount = kLargeFleet;
        plan().overQuotaPenalty = overQuotaPenalty;
        EngineFixture gateway = startGateway(kManyEndpoints);
        gateway.isCounterAnswering = false;
        for (int i = 0; i < kAnsweredRequests; ++i) {
            runRequest(gateway, i, [&] {
                while (!gateway.unansweredAdds.empty()) answerOldestCall(gateway, total);
            });
        }
        gateway.sends.clear();
        for (int i = 0; i < kUnansweredRequests; ++i) {
            runRequest(gateway, kAnsweredRequests + i,
                       [&] { gateway.failUnansweredAdds(Outcome::connectFailed); });
        }
        return static_cast<double>(gateway.sends.size()) / kUnansweredRequests;
    }

private:
    static constexpr int kAnsweredRequests = 200;
    static constexpr int kUnansweredRequests = 200;

    // Sends a request of a new tenant, completes its calls to the counter and ends its attempt.
    template <class CompleteCalls>
    static void runRequest(EngineFixture& gateway, int number, CompleteCalls completeCalls) {
        const std::size_t before = gateway.sends.size();
        const std::uint64_t tenant = 5 + static_cast<std::uint64_t>(number);
        sendRequest(gateway, {.tenant = tenant, .entryPoints = kLargeFleetEntryPoints});
        completeCalls();
        if (gateway.sends.size() > before) endSuccessfully(gateway, gateway.sends.back());
        gateway.advance(milliseconds(50));
    }
};

// Without a meter, the usage of a tenant with low local traffic is unknown. The probability that its request
// exceeds the quota is estimated from the counter replies for other tenants of the plan.
TEST_F(UnmeteredAdmissionTest, AdmitsUnconfirmedRequestsByTheQuotaLeftToOtherTenants) {
    EXPECT_GT(admittedShare(kTotalWithinQuota, 1), 0.95);
    EXPECT_GT(admittedShare(kTotalBeyondQuota, 0), 0.95);  // an over-quota request costs nothing
    EXPECT_LT(admittedShare(kTotalBeyondQuota, 1), 0.2);
}

}  // namespace
}  // namespace gateway
