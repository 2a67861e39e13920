// Tests of QuotaWindow, alone and through the engine.
#include "decision/quota/quota_window.h"

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
    gateway.isCounterAnswering = false;
    gateway.request();
    EXPECT_GE(gateway.unansweredAdds.size(), 1u);
    EXPECT_TRUE(gateway.sends.empty());
    while (!gateway.unansweredAdds.empty())  // the first call opens its slice, so it is followed by a read
        for (const AddToCounter& add : std::exchange(gateway.unansweredAdds, {}))
            gateway.handle(CounterReplied{add.name, Outcome::ok, add.amount, {}});
    EXPECT_EQ(gateway.sends.size(), 1u);
}

TEST_F(QuotaWindowTest, RefundsChargeWhenWindowIsExhausted) {
    EngineFixture gateway = startGateway();
    sendRequests(gateway, 12);
    EXPECT_EQ(gateway.sends.size(), 8u);
    EXPECT_EQ(gateway.rejections.size(), 4u);
    EXPECT_GT(gateway.rejections[0].retryAfter, Duration::zero());
    gateway.advance(milliseconds(1000));
    EXPECT_DOUBLE_EQ(gateway.counterTotal(), 8);
}

TEST_F(QuotaWindowTest, CountsRequestsOfOtherGateways) {
    EngineFixture gateway = startGateway();
    gateway.request();
    for (auto& [name, value] : gateway.counts) value += 7;
    gateway.request();
    EXPECT_EQ(gateway.sends.size(), 1u);
    EXPECT_EQ(gateway.rejections.size(), 1u);
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
    EXPECT_GE(gateway.addCount, static_cast<int>(gateway.sends.size()));
    for (const auto& [name, sum] : gateway.counts)
        EXPECT_LE(sum, kBurst + kSliceSeconds * kRate);  // includes the debt carried into the slice
}

// The slices of different plans differ in length, so the index of a slice has no meaning under another plan.
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
        gateway.handle(arrival);
    }
    EXPECT_EQ(gateway.sends.size(), 4u);
    EXPECT_TRUE(gateway.rejections.empty());
}

TEST_F(QuotaWindowTest, RefundsInAClosedSliceRestoreQuota) {
    EngineFixture gateway = startGateway();
    gateway.request();
    for (auto& [name, value] : gateway.counts)
        if (value > 0) value += 6;  // charges of another gateway's rejected requests, not yet refunded
    gateway.request();
    for (auto& [name, value] : gateway.counts)
        if (value > 0) value -= 6;
    gateway.advance(milliseconds(2100));
    sendRequests(gateway, 10);
    EXPECT_EQ(gateway.sends.size(), 10u);  // the 2 requests before, and the burst of 8
}

TEST_F(QuotaWindowTest, AdmitsAgainWhenTheExhaustedSlicesHaveLeftTheWindow) {
    EngineFixture gateway = startGateway();
    sendRequests(gateway, 9);
    ASSERT_EQ(gateway.sends.size(), 8u);
    for (const SendAttempt& send : std::vector(gateway.sends)) endSuccessfully(gateway, send);
    gateway.advance(milliseconds(8000));
    gateway.request();
    EXPECT_EQ(gateway.sends.size(), 9u);
}

// Tests QuotaWindow alone, with one tenant whose current slice has a reported total of 0.
class QuotaWindowQueryTest : public testing::Test {
protected:
    static constexpr TimePoint kNow{milliseconds(100'000)};

    QuotaWindowQueryTest() {
        tenant.id = TenantId{5};
        WindowSlice& current = window.advance(tenant, kNow);
        current.beginFlushCall();
        current.applyTotal(current.endOldestCall(), {.sum = 0, .reportedAt = kNow});
    }

    WindowSlice& current() { return tenant.slices.back(); }
    double remaining(double total) const {
        return window.remainingQuota(tenant, tenant.slices.back(), total, kNow).cost;
    }

    Settings settings = plainSettings();
    UsageEstimator usage{settings};
    QuotaWindow window{settings, usage};
    Tenant tenant;
};

TEST_F(QuotaWindowQueryTest, KeepsThePreviousAndTheCurrentSlice) {
    ASSERT_EQ(tenant.slices.size(), 2u);
    const SliceIndex index = current().index();
    EXPECT_EQ(tenant.slices.front().index(), previousSlice(index));
    window.advance(tenant, kNow + milliseconds(4000));
    ASSERT_EQ(tenant.slices.size(), 2u);
    EXPECT_EQ(tenant.slices.front().index(), index);
    EXPECT_EQ(findSlice(tenant, previousSlice(index)), nullptr);
}

TEST_F(QuotaWindowQueryTest, QueriesChangeNothing) {
    const double before = remaining(0);
    window.timeUntilQuota(tenant, 100, kNow);
    window.quotaUtilization(tenant, current(), kNow);
    window.isWithinQuota(tenant, current(), kNow);
    EXPECT_EQ(remaining(0), before);
    EXPECT_EQ(current().expiredQuota(), 0);
}

TEST_F(QuotaWindowQueryTest, ExpiresUnusedQuotaBeyondTheBurst) {
    EXPECT_GT(remaining(0), 8);
    window.expireCurrentSliceQuota(tenant, kNow);
    EXPECT_DOUBLE_EQ(remaining(0), 8);
    EXPECT_DOUBLE_EQ(remaining(3), 5);
}

TEST_F(QuotaWindowQueryTest, TimeUntilQuotaIsTheMissingCostDividedByTheRate) {
    window.expireCurrentSliceQuota(tenant, kNow);
    EXPECT_EQ(window.timeUntilQuota(tenant, 8, kNow), Duration::zero());
    EXPECT_EQ(window.timeUntilQuota(tenant, 10, kNow), milliseconds(1000));
}

TEST_F(QuotaWindowQueryTest, OpensTheNextSliceWithTheDebtOfTheCurrentOne) {
    current().carryDebt(11);
    const WindowSlice& next = window.advance(tenant, kNow + milliseconds(4000));
    EXPECT_DOUBLE_EQ(next.total(), 11 - 2 * 4);
}

TEST(RemainingQuotaTest, CoversCostUpToRounding) {
    EXPECT_TRUE(RemainingQuota{2}.covers(2));
    EXPECT_TRUE(RemainingQuota{2 - 1e-9}.covers(2));
    EXPECT_FALSE(RemainingQuota{1.9}.covers(2));
}

}  // namespace
}  // namespace gateway
