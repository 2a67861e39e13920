#include "decision/quota/usage_estimator.h"

#include <gtest/gtest.h>

#include <chrono>

namespace gateway {
namespace {

class UsageEstimatorTest : public testing::Test {
protected:
    void SetUp() override {
        QuotaPlan plan;
        plan.rate = 2;
        plan.burst = 8;
        settings.plans = {plan};
        settings.counterEnabled = true;
    }

    void recordClosedSlice(double localAdmitted, double total) {
        WindowSlice slice(SliceIndex{7});
        slice.reconcile(localAdmitted);
        slice.beginFlushCall();
        slice.applyTotal(slice.endOldestCall(), {.sum = total});
        tenant.usage.recordClosedSlice(slice);
    }

    Settings settings;
    Tenant tenant;
    UsageEstimator estimator{settings};
};

TEST_F(UsageEstimatorTest, AssumesAnEvenShareBeforeAnySliceHasClosed) {
    tenant.entryPoints = 4;
    EXPECT_DOUBLE_EQ(estimator.trafficShare(tenant), 0.25);
}

TEST_F(UsageEstimatorTest, ApproachesTheShareOfTheClosedSlices) {
    tenant.entryPoints = 4;
    recordClosedSlice(900, 1000);
    EXPECT_NEAR(estimator.trafficShare(tenant), 0.9, 0.01);
}

TEST_F(UsageEstimatorTest, AssumesAtLeastHalfOfAnEvenShare) {
    tenant.entryPoints = 4;
    recordClosedSlice(0, 1000);
    EXPECT_DOUBLE_EQ(estimator.trafficShare(tenant), 0.125);
}

TEST_F(UsageEstimatorTest, ReliesOnAMeterOnlyWithLowLocalTraffic) {
    settings.usageMeterPeriod = std::chrono::seconds(1);
    EXPECT_FALSE(estimator.reliesOnMeter(tenant));
    tenant.entryPoints = 75;
    EXPECT_TRUE(estimator.hasLowLocalTraffic(tenant));
    EXPECT_TRUE(estimator.reliesOnMeter(tenant));
    settings.usageMeterPeriod = {};
    EXPECT_FALSE(estimator.reliesOnMeter(tenant));
}

TEST_F(UsageEstimatorTest, EstimatesRemoteUsageByTheTrafficShare) {
    tenant.entryPoints = 4;
    EXPECT_DOUBLE_EQ(estimator.estimatedRemoteUsage(tenant, 2), 6);
}

TEST_F(UsageEstimatorTest, EstimatesNoRemoteUsageWhereOverQuotaRequestsEarn) {
    tenant.entryPoints = 4;
    settings.plans[0].overQuotaWeight = 0.2;
    EXPECT_DOUBLE_EQ(estimator.estimatedRemoteUsage(tenant, 2), 0);
    settings.counterEnabled = false;
    EXPECT_DOUBLE_EQ(estimator.estimatedRemoteUsage(tenant, 2), 6);
}

}  // namespace
}  // namespace gateway
