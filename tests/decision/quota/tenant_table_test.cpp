#include "decision/quota/tenant_table.h"

#include <gtest/gtest.h>

#include <chrono>

namespace gateway {
namespace {

using std::chrono::seconds;

constexpr TenantId kTenant{5};
constexpr TenantId kOtherTenant{6};
constexpr TimePoint kNow{seconds(1000)};
constexpr Duration kIdleTime = 2 * kMaxCounterNameLifetime + seconds(1);
constexpr int kManyRequests = 6000;  // enough to trigger a sweep of the table

class TenantTableTest : public testing::Test {
protected:
    Tenant& touch(TenantId tenant, TimePoint now, int plan = 0) {
        RequestArrived arrival;
        arrival.tenant = tenant;
        arrival.plan = QuotaPlanIndex{plan};
        arrival.entryPoints = entryPoints;
        return tenants.touch(arrival, now);
    }

    void sweep(TimePoint now) {
        for (int i = 0; i < kManyRequests; ++i) touch(kOtherTenant, now);
    }

    TenantTable tenants;
    int entryPoints = 2;
};

TEST_F(TenantTableTest, FindsOnlyTenantsWithRequests) {
    EXPECT_EQ(tenants.find(kTenant), nullptr);
    const Tenant& tenant = touch(kTenant, kNow);
    EXPECT_EQ(tenants.find(kTenant), &tenant);
    EXPECT_EQ(tenants.find(kOtherTenant), nullptr);
    EXPECT_EQ(tenant.lastRequestAt, kNow);
}

TEST_F(TenantTableTest, KeepsStateUnderTheSamePlan) {
    touch(kTenant, kNow).slices.emplace_back(SliceIndex{7});
    EXPECT_EQ(touch(kTenant, kNow).slices.size(), 1u);
}

TEST_F(TenantTableTest, PlanChangeResetsAllStateButAttemptsInFlight) {
    Tenant& tenant = touch(kTenant, kNow);
    tenant.slices.emplace_back(SliceIndex{7});
    tenant.inFlight = 3;
    touch(kTenant, kNow, 1);
    EXPECT_TRUE(tenant.slices.empty());
    EXPECT_EQ(tenant.inFlight, 3);
    EXPECT_EQ(tenant.plan, QuotaPlanIndex{1});
}

TEST_F(TenantTableTest, CountsAtLeastOneEntryPoint) {
    entryPoints = 0;
    EXPECT_EQ(touch(kTenant, kNow).entryPoints, 1);
}

TEST_F(TenantTableTest, EvictsIdleTenants) {
    touch(kTenant, kNow);
    sweep(kNow + kIdleTime);
    EXPECT_EQ(tenants.find(kTenant), nullptr);
    EXPECT_NE(tenants.find(kOtherTenant), nullptr);
}

TEST_F(TenantTableTest, KeepsTenantsWithAttemptsInFlight) {
    touch(kTenant, kNow).inFlight = 1;
    sweep(kNow + kIdleTime);
    EXPECT_NE(tenants.find(kTenant), nullptr);
}

}  // namespace
}  // namespace gateway
