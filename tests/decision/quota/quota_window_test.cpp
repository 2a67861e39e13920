// The sliding window, reconciliation and concurrency limits of quotas, observed through the engine.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "decision/quota/quota_test.h"

namespace gateway {
namespace {

class QuotaWindowTest : public QuotaTest {};

TEST_F(QuotaWindowTest, PostsChargeBeforeForwarding) {
    EngineFixture gateway = startGateway();
    gateway.counting = false;
    gateway.request();
    EXPECT_GE(gateway.held.size(), 1u);
    EXPECT_TRUE(gateway.sends.empty());
    while (!gateway.held.empty())  // the call opens its slice, so a read of the closed slice follows
        for (const AddToCounter& add : std::exchange(gateway.held, {}))
            gateway.feed(CounterReplied{add.name, Outcome::ok, add.amount, {}});
    EXPECT_EQ(gateway.sends.size(), 1u);
}

TEST_F(QuotaWindowTest, RefundsChargeWhenWindowIsExhausted) {
    EngineFixture gateway = startGateway();
    requestTimes(gateway, 12);
    EXPECT_EQ(gateway.sends.size(), 8u);
    EXPECT_EQ(gateway.refusals.size(), 4u);
    EXPECT_GT(gateway.refusals[0].retryAfter, Duration::zero());
    gateway.advance(milliseconds(1000));
    EXPECT_DOUBLE_EQ(gateway.counted(), 8);
}

TEST_F(QuotaWindowTest, CountsRequestsOfOtherGateways) {
    EngineFixture gateway = startGateway();
    gateway.request();
    for (auto& [name, value] : gateway.counts) value += 7;
    gateway.request();
    EXPECT_EQ(gateway.sends.size(), 1u);
    EXPECT_EQ(gateway.refusals.size(), 1u);
}

TEST_F(QuotaWindowTest, AdmitsAtTheRateAfterABurst) {
    constexpr int kSteps = 100;
    constexpr int kBurst = 8;
    constexpr int kRate = 2;
    constexpr int kSeconds = 10;
    constexpr int kSliceSeconds = 4;
    EngineFixture gateway = startGateway();
    for (int i = 0; i < kSteps; ++i) {
        const std::size_t before = gateway.sends.size();
        gateway.request();
        if (gateway.sends.size() > before) endSuccessfully(gateway, gateway.sends.back());
        gateway.advance(milliseconds(100));
    }
    EXPECT_NEAR(static_cast<double>(gateway.sends.size()), kBurst + kSeconds * kRate, 1);
    EXPECT_GE(gateway.adds, static_cast<int>(gateway.sends.size()));
    for (const auto& [name, sum] : gateway.counts)
        EXPECT_LE(sum, kBurst + kSliceSeconds * kRate);  // one slice, including the debt carried into it
}

TEST_F(QuotaWindowTest, OpenerOfASliceCarriesDebtOfTheClosedSliceForward) {
    EngineFixture gateway = startGateway();
    gateway.request();
    EngineFixture other = startGateway();
    other.counts = gateway.counts;
    const std::string closed = other.counts.rbegin()->first;
    other.counts[closed] = 30;
    other.now += milliseconds(4000);  // the next slice, to which no gateway has posted
    other.request();
    EXPECT_EQ(other.sends.size(), 0u);
    EXPECT_EQ(other.refusals.size(), 1u);
    EXPECT_GE(other.counts.rbegin()->second, 30 - 2 * 4);  // the total less the slice's rate
}

// In a large fleet, each gateway sees so little of a tenant that its estimate of remote usage can be many
// times the actual one. Posted as debt, it would exhaust the tenant's quota at all gateways.
TEST_F(QuotaWindowTest, PostsNoEstimatedRemoteUsageAsDebt) {
    settings().gatewayCount = kLargeFleet;
    settings().usageMeterPeriod = milliseconds(1000);
    EngineFixture gateway = startGateway(kManyEndpoints);
    gateway.counting = false;
    request(gateway, {.entryPoints = kLargeFleetEntryPoints});
    gateway.failHeldAdds(Outcome::connectFailed);  // admitted on local knowledge, and pending for the counter
    ASSERT_EQ(gateway.sends.size(), 1u);
    gateway.counting = true;
    gateway.advance(milliseconds(4000));
    // This request opens the next slice and reads the closed one.
    request(gateway, {.entryPoints = kLargeFleetEntryPoints});
    gateway.advance(milliseconds(4000));
    EXPECT_EQ(gateway.sends.size(), 2u);
    EXPECT_LE(gateway.counted(), 4);
}

// The slices of plans differ in length, so the index of a slice has no meaning under another plan.
TEST_F(QuotaWindowTest, AppliesTheQuotaOfTheNewPlanWhenATenantChangesPlan) {
    settings().plans.push_back(plan());
    settings().plans[1].rate = 0.5;  // slices of 16 s
    EngineFixture gateway = startGateway();
    for (const int planIndex : {0, 1, 0, 1}) {
        RequestArrived arrival;
        ++gateway.requests;
        arrival.request = RequestId("p" + std::to_string(gateway.requests));
        arrival.tenant = TenantId{5};
        arrival.plan = QuotaPlanIndex{planIndex};
        arrival.deadline = gateway.now + kClientDeadline;
        gateway.feed(arrival);
    }
    EXPECT_EQ(gateway.sends.size(), 4u);
    EXPECT_TRUE(gateway.refusals.empty());
}

TEST_F(QuotaWindowTest, RefundsInAClosedSliceRestoreQuota) {
    EngineFixture gateway = startGateway();
    gateway.request();
    for (auto& [name, value] : gateway.counts)
        if (value > 0) value += 6;  // rejected requests of another gateway, not yet refunded
    gateway.request();
    for (auto& [name, value] : gateway.counts)
        if (value > 0) value -= 6;
    gateway.advance(milliseconds(2100));
    requestTimes(gateway, 10);
    EXPECT_EQ(gateway.sends.size(), 10u);  // 2 earlier ones, and the burst of 8
}

TEST_F(QuotaWindowTest, AdmitsAgainWhenTheExhaustedSlicesHaveLeftTheWindow) {
    EngineFixture gateway = startGateway();
    requestTimes(gateway, 9);
    ASSERT_EQ(gateway.sends.size(), 8u);
    for (const SendAttempt& send : std::vector(gateway.sends)) endSuccessfully(gateway, send);
    gateway.advance(milliseconds(8000));
    gateway.request();
    EXPECT_EQ(gateway.sends.size(), 9u);
}

class ReconciliationTest : public QuotaTest {
protected:
    void SetUp() override { settings().reconciliationEnabled = true; }
};

TEST_F(ReconciliationTest, CarriesActualCostForwardAsDebtAndRefund) {
    EngineFixture gateway = startGateway();
    gateway.request();
    gateway.end(gateway.sends[0], 0, Outcome::ok, true, 11);  // 3 beyond the burst: a debt of 1.5 s
    gateway.advance(milliseconds(1000));
    EXPECT_DOUBLE_EQ(gateway.counted(), 11);
    gateway.request();
    EXPECT_EQ(gateway.refusals.size(), 1u);

    gateway.advance(milliseconds(1500));
    gateway.request();
    EXPECT_EQ(gateway.sends.size(), 2u);

    EngineFixture refund = startGateway();
    refund.request(2);
    refund.end(refund.sends[0], 0, Outcome::ok, true, 1);
    refund.advance(milliseconds(1000));
    EXPECT_DOUBLE_EQ(refund.counted(), 1);
}

class ConcurrencyQuotaTest : public QuotaTest {};

TEST_F(ConcurrencyQuotaTest, RejectsBeyondItsShareOfAttemptsInFlight) {
    plan() = QuotaPlan{};
    plan().concurrency = 4;  // over two gateways
    EngineFixture gateway = startGateway();
    requestTimes(gateway, 6);
    EXPECT_EQ(gateway.sends.size(), 2u);
    endSuccessfully(gateway, gateway.sends[0]);
    gateway.request();
    EXPECT_EQ(gateway.sends.size(), 3u);
    EXPECT_EQ(gateway.refusals.size(), 4u);
}

}  // namespace
}  // namespace gateway
