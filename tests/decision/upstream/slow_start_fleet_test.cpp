// Tests that all gateways together send no more to endpoints that are warming up than the settings allow.
#include "support/slow_start_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>

namespace gateway {
namespace {

class SlowStartFleetTest : public testing::TestWithParam<FleetScenario> {
protected:
    static constexpr double kMinUsedShare = 0.5;  // of the work that the endpoints can serve, at full load

    // Runs the scenario with each of its seeds.
    static OverloadStats runAllSeeds(const FleetScenario& scenario) {
        OverloadStats sum;
        for (int seed = 1; seed <= scenario.seedCount; ++seed)
            sum.add(SlowStartFleet(scenario, static_cast<std::uint64_t>(seed)).run());
        return sum;
    }

    static double ratio(long part, long whole) {
        return static_cast<double>(part) / static_cast<double>(whole);
    }

    static void print(const FleetScenario& scenario, const OverloadStats& stats) {
        std::printf(
            "%-32s %7ld windows, share over bound %.5f (over initial bound %.5f), max work %.2f of "
            "allowance, "
            "%.2f of bound (%.2f of initial bound), received %.3f of possible work, served %.4f of "
            "requests\n",
            scenario.name, stats.windows, ratio(stats.windowsOverBound, stats.windows),
            ratio(stats.windowsOverInitialBound, stats.windows), stats.maxShareOfAllowance,
            stats.maxShareOfBound, stats.maxShareOfInitialBound, stats.receivedWork / stats.possibleWork,
            ratio(stats.served, stats.requested));
    }
};

TEST_P(SlowStartFleetTest, KeepsEveryWindowWithinTheBoundAndUsesEndpointsThatAreWarmingUp) {
    const FleetScenario& scenario = GetParam();
    const OverloadStats stats = runAllSeeds(scenario);
    print(scenario, stats);
    EXPECT_GT(stats.windows, 0);
    EXPECT_EQ(stats.windowsOverBound, 0);
    EXPECT_GE(stats.receivedWork / stats.possibleWork, kMinUsedShare * std::min(scenario.load, 1.0));
}

// The names state the kind of load or change and the number of gateways.
// clang-format off
const FleetScenario kScenarios[] = {
    // High traffic.
    {.name = "HighTraffic20HalfLoad", .gatewayCount = 20, .endpointCount = 12, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.5},
    {.name = "HighTraffic20BusyLoad", .gatewayCount = 20, .endpointCount = 12, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.8},
    {.name = "HighTraffic20Overload", .gatewayCount = 20, .endpointCount = 12, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 1.5},
    {.name = "HighTraffic30FullLoad", .gatewayCount = 30, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.95, .seedCount = 1},
    {.name = "HighTraffic30Overload", .gatewayCount = 30, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 1.5, .seedCount = 1},
    {.name = "HighTraffic300HalfLoad", .gatewayCount = 300, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.5, .seedCount = 1},
    {.name = "HighTraffic300FullLoad", .gatewayCount = 300, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.95, .seedCount = 1},
    {.name = "HighTraffic300Overload", .gatewayCount = 300, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 1.5, .seedCount = 1},
    {.name = "ManyEndpoints300BusyLoad", .gatewayCount = 300, .endpointCount = 200, .coresPerEndpoint = 2,
     .meanWorkSeconds = 0.1, .load = 0.8, .seedCount = 1},
    // Low traffic: each gateway receives less than one request per second.
    {.name = "LowTraffic20", .gatewayCount = 20, .endpointCount = 12, .coresPerEndpoint = 1,
     .meanWorkSeconds = 0.5, .load = 0.66, .seedCount = 12},
    {.name = "LowTraffic30", .gatewayCount = 30, .endpointCount = 12, .coresPerEndpoint = 1,
     .meanWorkSeconds = 0.4, .load = 0.8, .seedCount = 12},
    {.name = "LowTraffic300", .gatewayCount = 300, .endpointCount = 12, .coresPerEndpoint = 2,
     .meanWorkSeconds = 0.08, .load = 0.8, .seedCount = 3},
    {.name = "LowTraffic300LowLoad", .gatewayCount = 300, .endpointCount = 12, .coresPerEndpoint = 2,
     .meanWorkSeconds = 0.08, .load = 0.2, .seedCount = 3},
    {.name = "LowTraffic300ManyEndpoints", .gatewayCount = 300, .endpointCount = 40, .coresPerEndpoint = 1,
     .meanWorkSeconds = 0.2, .load = 0.8, .seedCount = 3},
    {.name = "LowTraffic300Overload", .gatewayCount = 300, .endpointCount = 12, .coresPerEndpoint = 2,
     .meanWorkSeconds = 0.08, .load = 1.5, .seedCount = 3},
    // Few endpoints are warming up.
    {.name = "FewReplaced30LowTraffic", .gatewayCount = 30, .endpointCount = 12, .coresPerEndpoint = 1,
     .meanWorkSeconds = 0.4, .load = 0.9, .replacedShare = 0.1, .drainedShare = 0.17, .seedCount = 16},
    {.name = "FewReplaced300LowTraffic", .gatewayCount = 300, .endpointCount = 12, .coresPerEndpoint = 2,
     .meanWorkSeconds = 0.08, .load = 0.8, .replacedShare = 0.1, .drainedShare = 0.17, .seedCount = 4},
    {.name = "FewReplaced300LowTrafficOverload", .gatewayCount = 300, .endpointCount = 12,
     .coresPerEndpoint = 2, .meanWorkSeconds = 0.08, .load = 1.2, .replacedShare = 0.1,
     .drainedShare = 0.17, .seedCount = 4},
    {.name = "FewReplaced300FullLoad", .gatewayCount = 300, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.9, .replacedShare = 0.1, .seedCount = 1},
    {.name = "LargeEndpoints300LowTraffic", .gatewayCount = 300, .endpointCount = 6, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.08, .load = 0.8, .replacedShare = 0.34, .drainedShare = 0.17, .seedCount = 3},
    // Most endpoints are warming up, or all of them.
    {.name = "MostReplaced20LowTraffic", .gatewayCount = 20, .endpointCount = 12, .coresPerEndpoint = 1,
     .meanWorkSeconds = 0.5, .load = 0.66, .replacedShare = 0.84, .drainedShare = 0.08,
     .restartedShare = 0.25, .seedCount = 12},
    {.name = "MostReplaced30", .gatewayCount = 30, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.8, .replacedShare = 0.9, .restartedShare = 0.25, .seedCount = 1},
    {.name = "MostReplaced300", .gatewayCount = 300, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.8, .replacedShare = 0.9, .restartedShare = 0.25, .seedCount = 1},
    {.name = "MostReplaced300LowTraffic", .gatewayCount = 300, .endpointCount = 12, .coresPerEndpoint = 2,
     .meanWorkSeconds = 0.08, .load = 0.8, .replacedShare = 0.84, .drainedShare = 0.08,
     .restartedShare = 0.25, .seedCount = 3},
    {.name = "AllReplaced20LowTraffic", .gatewayCount = 20, .endpointCount = 12, .coresPerEndpoint = 1,
     .meanWorkSeconds = 0.5, .load = 0.66, .replacedShare = 1, .restartedShare = 0.25, .seedCount = 12},
    {.name = "AllReplaced30", .gatewayCount = 30, .endpointCount = 12, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.8, .replacedShare = 1, .restartedShare = 0.25},
    {.name = "AllReplaced300", .gatewayCount = 300, .endpointCount = 12, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.8, .replacedShare = 1, .restartedShare = 0.25},
    {.name = "AllReplaced300LowTraffic", .gatewayCount = 300, .endpointCount = 12, .coresPerEndpoint = 2,
     .meanWorkSeconds = 0.08, .load = 0.8, .replacedShare = 1, .restartedShare = 0.25, .seedCount = 3},
    {.name = "AllReplaced300LowTrafficOverload", .gatewayCount = 300, .endpointCount = 12,
     .coresPerEndpoint = 2, .meanWorkSeconds = 0.08, .load = 1.5, .replacedShare = 1,
     .restartedShare = 0.25, .seedCount = 3},
    // The load rises from low to an overload once all replacements have begun.
    {.name = "LoadSurge30", .gatewayCount = 30, .endpointCount = 12, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 1.2, .initialLoadShare = 0.2},
    {.name = "LoadSurge300", .gatewayCount = 300, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 1.2, .initialLoadShare = 0.2, .seedCount = 1},
    {.name = "LoadSurge300LowTraffic", .gatewayCount = 300, .endpointCount = 12, .coresPerEndpoint = 2,
     .meanWorkSeconds = 0.08, .load = 1.2, .initialLoadShare = 0.1, .seedCount = 3},
    // A few gateways receive all requests.
    {.name = "FewActiveGateways30", .gatewayCount = 30, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.8, .activeShare = 0.34, .seedCount = 1},
    {.name = "FewActiveGateways300", .gatewayCount = 300, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.8, .activeShare = 0.1, .seedCount = 1},
    // Other settings for slow start.
    {.name = "OtherSettings20BusyLoad", .gatewayCount = 20, .endpointCount = 12, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.8, .hasOtherSettings = true},
    {.name = "OtherSettings30Overload", .gatewayCount = 30, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 1.5, .seedCount = 1, .hasOtherSettings = true},
    {.name = "OtherSettings300BusyLoad", .gatewayCount = 300, .endpointCount = 40, .coresPerEndpoint = 4,
     .meanWorkSeconds = 0.05, .load = 0.8, .seedCount = 1, .hasOtherSettings = true},
    {.name = "OtherSettings300LowTraffic", .gatewayCount = 300, .endpointCount = 12, .coresPerEndpoint = 2,
     .meanWorkSeconds = 0.08, .load = 0.8, .seedCount = 4, .hasOtherSettings = true},
};
// clang-format on

INSTANTIATE_TEST_SUITE_P(Scenarios, SlowStartFleetTest, testing::ValuesIn(kScenarios),
                         [](const auto& row) { return std::string(row.param.name); });

}  // namespace
}  // namespace gateway
