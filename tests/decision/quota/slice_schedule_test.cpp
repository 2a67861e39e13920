#include "decision/quota/slice_schedule.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <ostream>
#include <set>
#include <string>

namespace gateway {
namespace {

using std::chrono::milliseconds;

constexpr TenantId kTenant{5};
constexpr TimePoint kNow{milliseconds(100'000)};

QuotaPlan makePlan(double rate, double burst) {
    QuotaPlan plan;
    plan.rate = rate;
    plan.burst = burst;
    return plan;
}

struct SliceLengthCase {
    const char* label;
    double rate;
    double burst;
    double seconds;

    friend std::ostream& operator<<(std::ostream& out, const SliceLengthCase& row) {
        return out << row.label;
    }
};

std::string labelOf(const testing::TestParamInfo<SliceLengthCase>& info) {
    return info.param.label;
}

class SliceLengthTest : public testing::TestWithParam<SliceLengthCase> {};

TEST_P(SliceLengthTest, IsBurstOverRateWithinBounds) {
    EXPECT_DOUBLE_EQ(sliceSeconds(makePlan(GetParam().rate, GetParam().burst)), GetParam().seconds);
}

INSTANTIATE_TEST_SUITE_P(Plans, SliceLengthTest,
                         testing::Values(SliceLengthCase{"Ordinary", 2, 8, 4},
                                         SliceLengthCase{"TinyBurst", 100, 1, 0.1},
                                         SliceLengthCase{"LargeBurst", 1, 1000, 20},
                                         SliceLengthCase{"NoRate", 0, 8, 20}),
                         labelOf);

TEST(CounterNameLifetimeTest, CoversSeveralSlicesUpToTheMaximum) {
    EXPECT_EQ(counterNameLifetime(makePlan(2, 8)), milliseconds(12'000));
    EXPECT_EQ(counterNameLifetime(makePlan(1, 1000)), kMaxCounterNameLifetime);
}

TEST(SliceScheduleTest, CurrentSliceContainsNow) {
    const QuotaPlan plan = makePlan(2, 8);
    for (std::uint64_t id = 0; id < 100; ++id) {
        const TenantId tenant{id};
        const SliceIndex current = sliceIndexAt(tenant, plan, kNow);
        EXPECT_GE(sliceAgeSeconds(tenant, plan, current, kNow), 0);
        EXPECT_LT(sliceAgeSeconds(tenant, plan, nextSlice(current), kNow), 0);
    }
}

TEST(SliceScheduleTest, ConsecutiveSlicesStartOneLengthApart) {
    const QuotaPlan plan = makePlan(2, 8);
    const SliceIndex current = sliceIndexAt(kTenant, plan, kNow);
    const double start = sliceStartSeconds(kTenant, plan, current);
    EXPECT_DOUBLE_EQ(sliceStartSeconds(kTenant, plan, nextSlice(current)) - start, sliceSeconds(plan));
    EXPECT_DOUBLE_EQ(start - sliceStartSeconds(kTenant, plan, previousSlice(current)), sliceSeconds(plan));
}

TEST(SliceScheduleTest, SpreadsConsecutiveTenantsOverTheSlice) {
    std::set<double> phases;
    for (std::uint64_t id = 0; id < 100; ++id) {
        const double phase = slicePhase(TenantId{id});
        EXPECT_GE(phase, 0);
        EXPECT_LT(phase, 1);
        phases.insert(phase);
    }
    EXPECT_EQ(phases.size(), 100u);
}

}  // namespace
}  // namespace gateway
