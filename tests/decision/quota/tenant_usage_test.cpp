#include "decision/quota/tenant_usage.h"

#include <gtest/gtest.h>

#include <chrono>

namespace gateway {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};

QuotaPlan planWithSlicesOfFourSeconds() {
    QuotaPlan plan;
    plan.rate = 2;
    plan.burst = 8;
    return plan;
}

WindowSlice sliceWithTotal(double localAdmitted, double total) {
    WindowSlice slice(SliceIndex{7});
    slice.reconcile(localAdmitted);
    slice.beginFlushCall();
    slice.applyTotal(slice.endOldestCall(), {.sum = total, .reportedAt = kNow});
    return slice;
}

class TenantUsageTest : public testing::Test {
protected:
    TenantUsage usage;
};

TEST_F(TenantUsageTest, AveragesDemandOverTwoSlices) {
    usage.recordDemand(16, planWithSlicesOfFourSeconds(), kNow);
    EXPECT_DOUBLE_EQ(usage.demand(), 2);
    usage.recordDemand(0, planWithSlicesOfFourSeconds(), kNow + seconds(80));
    EXPECT_NEAR(usage.demand(), 0, 1e-3);
}

TEST_F(TenantUsageTest, HalvesTheWeightOfEarlierClosedSlices) {
    usage.recordClosedSlice(sliceWithTotal(4, 10));
    usage.recordClosedSlice(sliceWithTotal(2, 6));
    EXPECT_DOUBLE_EQ(usage.closedLocalCost(), 4.0 / 2 + 2);
    EXPECT_DOUBLE_EQ(usage.closedTotalCost(), 10.0 / 2 + 6);
}

TEST_F(TenantUsageTest, IgnoresAClosedSliceWithoutATotal) {
    WindowSlice slice(SliceIndex{7});
    slice.reconcile(4);
    usage.recordClosedSlice(slice);
    EXPECT_EQ(usage.closedLocalCost(), 0);
    EXPECT_EQ(usage.closedTotalCost(), 0);
}

TEST_F(TenantUsageTest, CountsAtLeastTheLocalCostInAClosedSlice) {
    usage.recordClosedSlice(sliceWithTotal(4, 1));
    EXPECT_DOUBLE_EQ(usage.closedTotalCost(), 4);
}

TEST_F(TenantUsageTest, ApproachesTheReadingsOfTheMeter) {
    constexpr int kReadings = 100;
    usage.assumeInitialUtilization();
    const double initial = usage.meteredUtilization();
    usage.recordMeter(20);
    EXPECT_LT(usage.meteredUtilization(), initial);
    EXPECT_GT(usage.meteredUtilization(), 0.2);
    for (int i = 0; i < kReadings; ++i) usage.recordMeter(20);
    EXPECT_NEAR(usage.meteredUtilization(), 0.2, 1e-3);
}

TEST_F(TenantUsageTest, ExhaustedQuotaIsInUseAtLeastWhole) {
    usage.assumeInitialUtilization();
    usage.recordExhausted();
    EXPECT_EQ(usage.meteredUtilization(), 1);
    usage.recordMeter(300);
    const double beyond = usage.meteredUtilization();
    usage.recordExhausted();
    EXPECT_EQ(usage.meteredUtilization(), beyond);
}

}  // namespace
}  // namespace gateway
