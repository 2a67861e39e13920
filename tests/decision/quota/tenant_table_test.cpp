#include "decision/quota/tenant_table.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>

namespace gateway {
namespace {

using std::chrono::seconds;

constexpr TenantId kTenant{5};
constexpr TenantId kOtherTenant{6};
constexpr TenantId kNewTenant{7};
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

// Guards against memory that grows with the number of tenants.
TEST_F(TenantTableTest, EvictsTenantOfOldestRequestAtLimit) {
    tenants = TenantTable(2);
    touch(kTenant, kNow);
    touch(kOtherTenant, kNow);
    touch(kTenant, kNow);
    EXPECT_TRUE(tenants.makeRoomFor(kTenant, kNow));
    EXPECT_NE(tenants.find(kOtherTenant), nullptr);
    EXPECT_TRUE(tenants.makeRoomFor(kNewTenant, kNow));
    EXPECT_EQ(tenants.find(kOtherTenant), nullptr);
    EXPECT_NE(tenants.find(kTenant), nullptr);
}

TEST_F(TenantTableTest, KeepsTenantsWhoseStateIsNeededAtLimit) {
    tenants = TenantTable(4);
    touch(TenantId{1}, kNow).inFlight = 1;
    touch(TenantId{2}, kNow).slices.emplace_back(SliceIndex{7}).beginFlushCall();
    touch(TenantId{3}, kNow).slices.emplace_back(SliceIndex{7}).reconcile(1);
    touch(TenantId{4}, kNow).ceiling.refilledAt = kNow;
    EXPECT_FALSE(tenants.makeRoomFor(kNewTenant, kNow));
    for (const std::uint64_t id : {1, 2, 3, 4}) EXPECT_NE(tenants.find(TenantId{id}), nullptr);
    EXPECT_TRUE(tenants.makeRoomFor(kNewTenant, kNow + kMaxCounterNameLifetime + seconds(1)));
    EXPECT_EQ(tenants.find(TenantId{2}), nullptr);
}

TEST_F(TenantTableTest, KeepsTenantsWithAttemptsInFlight) {
    touch(kTenant, kNow).inFlight = 1;
    sweep(kNow + kIdleTime);
    EXPECT_NE(tenants.find(kTenant), nullptr);
}

}  // namespace
}  // namespace gateway
