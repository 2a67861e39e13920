// What all gateways send to endpoints that are warming up stays within the settings.
#include "support/slow_start_fleet.h"

#include <gtest/gtest.h>

namespace gateway {
namespace {

class SlowStartFleet : public testing::TestWithParam<Scenario> {};

TEST_P(SlowStartFleet, StaysWithinWhatTheSettingsAllow) {
    const Scenario& sc = GetParam();
    Tally sum;
    for (int seed = 1; seed <= sc.seeds; ++seed) sum.add(StandIn(sc, static_cast<std::uint64_t>(seed)).run());
    std::printf(
        "%-26s windows %7ld over %.5f (by begin %.5f) fullest %.2f N, %.2f of bound (%.2f) "
        "warming took %.3f of capacity, served %.4f\n",
        sc.name, sum.windows, static_cast<double>(sum.over) / static_cast<double>(sum.windows),
        static_cast<double>(sum.overByBegin) / static_cast<double>(sum.windows), sum.fullest,
        sum.fullestOfBound, sum.fullestByBegin, sum.taken / sum.couldDo,
        static_cast<double>(sum.served) / static_cast<double>(sum.polled));
    EXPECT_GT(sum.windows, 0);
    EXPECT_EQ(sum.over, 0);
    EXPECT_GE(sum.taken / sum.couldDo, 0.5 * std::min(sc.load, 1.0));  // nor does one starve
}

// clang-format off
const Scenario kScenarios[] = {
    // Thick traffic.
    {.name = "Thick20Half", .gatewayCount = 20, .servers = 12, .cores = 4, .meanWork = 0.05, .load = 0.5},
    {.name = "Thick20Busy", .gatewayCount = 20, .servers = 12, .cores = 4, .meanWork = 0.05, .load = 0.8},
    {.name = "Thick20Over", .gatewayCount = 20, .servers = 12, .cores = 4, .meanWork = 0.05, .load = 1.5},
    {.name = "Thick30Full", .gatewayCount = 30, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 0.95,
     .seeds = 1},
    {.name = "Thick30Over", .gatewayCount = 30, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 1.5,
     .seeds = 1},
    {.name = "Thick300Half", .gatewayCount = 300, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 0.5,
     .seeds = 1},
    {.name = "Thick300Full", .gatewayCount = 300, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 0.95,
     .seeds = 1},
    {.name = "Thick300Over", .gatewayCount = 300, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 1.5,
     .seeds = 1},
    {.name = "Wide300Busy", .gatewayCount = 300, .servers = 200, .cores = 2, .meanWork = 0.1, .load = 0.8,
     .seeds = 1},
    // Thin traffic: each gateway gets less than one request a second.
    {.name = "Thin20", .gatewayCount = 20, .servers = 12, .cores = 1, .meanWork = 0.5, .load = 0.66,
     .seeds = 12},
    {.name = "Thin30", .gatewayCount = 30, .servers = 12, .cores = 1, .meanWork = 0.4, .load = 0.8,
     .seeds = 12},
    {.name = "Thin300", .gatewayCount = 300, .servers = 12, .cores = 2, .meanWork = 0.08, .load = 0.8,
     .seeds = 3},
    {.name = "Thin300Quiet", .gatewayCount = 300, .servers = 12, .cores = 2, .meanWork = 0.08, .load = 0.2,
     .seeds = 3},
    {.name = "Thin300Wide", .gatewayCount = 300, .servers = 40, .cores = 1, .meanWork = 0.2, .load = 0.8,
     .seeds = 3},
    {.name = "Thin300Over", .gatewayCount = 300, .servers = 12, .cores = 2, .meanWork = 0.08, .load = 1.5,
     .seeds = 3},
    // Few are warming.
    {.name = "Few30Thin", .gatewayCount = 30, .servers = 12, .cores = 1, .meanWork = 0.4, .load = 0.9,
     .replaced = 0.1, .drained = 0.17, .seeds = 16},
    {.name = "Few300Thin", .gatewayCount = 300, .servers = 12, .cores = 2, .meanWork = 0.08, .load = 0.8,
     .replaced = 0.1, .drained = 0.17, .seeds = 4},
    {.name = "Few300ThinOver", .gatewayCount = 300, .servers = 12, .cores = 2, .meanWork = 0.08, .load = 1.2,
     .replaced = 0.1, .drained = 0.17, .seeds = 4},
    {.name = "Few300Full", .gatewayCount = 300, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 0.9,
     .replaced = 0.1, .seeds = 1},
    {.name = "Large300Thin", .gatewayCount = 300, .servers = 6, .cores = 4, .meanWork = 0.08, .load = 0.8,
     .replaced = 0.34, .drained = 0.17, .seeds = 3},
    // All but a few are warming, or all.
    {.name = "Most20Thin", .gatewayCount = 20, .servers = 12, .cores = 1, .meanWork = 0.5, .load = 0.66,
     .replaced = 0.84, .drained = 0.08, .restarted = 0.25, .seeds = 12},
    {.name = "Most30", .gatewayCount = 30, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 0.8,
     .replaced = 0.9, .restarted = 0.25, .seeds = 1},
    {.name = "Most300", .gatewayCount = 300, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 0.8,
     .replaced = 0.9, .restarted = 0.25, .seeds = 1},
    {.name = "Most300Thin", .gatewayCount = 300, .servers = 12, .cores = 2, .meanWork = 0.08, .load = 0.8,
     .replaced = 0.84, .drained = 0.08, .restarted = 0.25, .seeds = 3},
    {.name = "All20Thin", .gatewayCount = 20, .servers = 12, .cores = 1, .meanWork = 0.5, .load = 0.66,
     .replaced = 1, .restarted = 0.25, .seeds = 12},
    {.name = "All30", .gatewayCount = 30, .servers = 12, .cores = 4, .meanWork = 0.05, .load = 0.8,
     .replaced = 1, .restarted = 0.25},
    {.name = "All300", .gatewayCount = 300, .servers = 12, .cores = 4, .meanWork = 0.05, .load = 0.8,
     .replaced = 1, .restarted = 0.25},
    {.name = "All300Thin", .gatewayCount = 300, .servers = 12, .cores = 2, .meanWork = 0.08, .load = 0.8,
     .replaced = 1, .restarted = 0.25, .seeds = 3},
    {.name = "All300ThinOver", .gatewayCount = 300, .servers = 12, .cores = 2, .meanWork = 0.08, .load = 1.5,
     .replaced = 1, .restarted = 0.25, .seeds = 3},
    // Traffic rises from little to too much when the last one was replaced.
    {.name = "Surge30", .gatewayCount = 30, .servers = 12, .cores = 4, .meanWork = 0.05, .load = 1.2,
     .quiet = 0.2},
    {.name = "Surge300", .gatewayCount = 300, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 1.2,
     .quiet = 0.2, .seeds = 1},
    {.name = "Surge300Thin", .gatewayCount = 300, .servers = 12, .cores = 2, .meanWork = 0.08, .load = 1.2,
     .quiet = 0.1, .seeds = 3},
    // All requests come through some of the gateways.
    {.name = "Hot30", .gatewayCount = 30, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 0.8,
     .hot = 0.34, .seeds = 1},
    {.name = "Hot300", .gatewayCount = 300, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 0.8,
     .hot = 0.1, .seeds = 1},
    // Other settings.
    {.name = "Other20Busy", .gatewayCount = 20, .servers = 12, .cores = 4, .meanWork = 0.05, .load = 0.8,
     .otherRules = true},
    {.name = "Other30Over", .gatewayCount = 30, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 1.5,
     .seeds = 1, .otherRules = true},
    {.name = "Other300Busy", .gatewayCount = 300, .servers = 40, .cores = 4, .meanWork = 0.05, .load = 0.8,
     .seeds = 1, .otherRules = true},
    {.name = "Other300Thin", .gatewayCount = 300, .servers = 12, .cores = 2, .meanWork = 0.08, .load = 0.8,
     .seeds = 4, .otherRules = true},
};
// clang-format on

INSTANTIATE_TEST_SUITE_P(All, SlowStartFleet, testing::ValuesIn(kScenarios),
                         [](const auto& each) { return std::string(each.param.name); });

}  // namespace
}  // namespace gateway
