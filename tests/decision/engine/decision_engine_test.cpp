// Tests the complete engine: it answers every request, enforces ceilings and makes reproducible decisions.
#include "gateway/decision_engine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <string>

#include "support/engine_fixture.h"

namespace gateway {
namespace {

struct FleetCase {
    int gatewayCount;
    int entryPoints;  // as the requests state; may be 0, and more than there are gateways
    bool counterEnabled;
};

std::string describe(const FleetCase& row) {
    return "Gateways" + std::to_string(row.gatewayCount) + "EntryPoints" + std::to_string(row.entryPoints) +
           (row.counterEnabled ? "WithCounter" : "WithoutCounter");
}

void PrintTo(const FleetCase& row, std::ostream* out) {
    *out << describe(row);
}

class DecisionEngineFleetTest : public testing::TestWithParam<FleetCase> {
protected:
    static constexpr int kRequests = 200;
    static constexpr Duration kInterval = milliseconds(100);
    static constexpr double kCeilingRate = 4;  // cost per second
    static constexpr double kCeilingBurst = 16;

    static Settings settingsFor(const FleetCase& row) {
        Settings settings = plainSettings();
        settings.gatewayCount = row.gatewayCount;
        settings.counterEnabled = row.counterEnabled;
        settings.plans[0].ceilingRate = kCeilingRate;
        settings.plans[0].ceilingBurst = kCeilingBurst;
        return settings;
    }

    // Sends one request and ends its attempts with success. Returns how many attempts there were.
    static std::size_t requestOnce(EngineFixture& engine, int entryPoints) {
        const std::size_t before = engine.sends.size();
        engine.request(1, 5, milliseconds(2500), entryPoints);
        for (std::size_t i = before; i < engine.sends.size(); ++i)
            engine.endAttempt(engine.sends[i], static_cast<int>(i - before), Outcome::ok, true);
        return engine.sends.size() - before;
    }
};

TEST_P(DecisionEngineFleetTest, AnswersEveryRequestAndKeepsCeiling) {
    const FleetCase& row = GetParam();
    EngineFixture engine(settingsFor(row));
    engine.advance(milliseconds(5000));
    double forwarded = 0;
    for (int i = 0; i < kRequests; ++i) {
        forwarded += static_cast<double>(requestOnce(engine, row.entryPoints));
        engine.advance(kInterval);
    }
    EXPECT_EQ(engine.sends.size() + engine.rejections.size() + engine.failures.size(),
              static_cast<std::size_t>(kRequests));

    // With the counter, one gateway may admit all that the ceiling allows; without it, only its own part.
    constexpr double kSeconds = 20;
    const double parts = row.counterEnabled ? 1 : std::max(1, row.entryPoints);
    EXPECT_LE(forwarded, (kCeilingBurst + kCeilingRate * kSeconds) / parts);
    if (row.entryPoints < 2) {
        EXPECT_GE(forwarded, 20);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, DecisionEngineFleetTest,
    testing::Values(FleetCase{1, 0, false}, FleetCase{1, 0, true}, FleetCase{1, 1, false},
                    FleetCase{1, 1, true}, FleetCase{1, 40, false}, FleetCase{1, 40, true},
                    FleetCase{1, 9000, false}, FleetCase{1, 9000, true}, FleetCase{3, 0, false},
                    FleetCase{3, 0, true}, FleetCase{3, 1, false}, FleetCase{3, 1, true},
                    FleetCase{3, 40, false}, FleetCase{3, 40, true}, FleetCase{3, 9000, false},
                    FleetCase{3, 9000, true}, FleetCase{5000, 0, false}, FleetCase{5000, 0, true},
                    FleetCase{5000, 1, false}, FleetCase{5000, 1, true}, FleetCase{5000, 40, false},
                    FleetCase{5000, 40, true}, FleetCase{5000, 9000, false}, FleetCase{5000, 9000, true}),
    [](const auto& row) { return describe(row.param); });

TEST(DecisionEngineTest, DecidesAlikeForSameSeedAndEvents) {
    constexpr std::uint64_t kTenants = 30;
    EngineFixture first(plainSettings());
    EngineFixture second(plainSettings());
    for (std::uint64_t tenant = 0; tenant < kTenants; ++tenant) {
        first.request(1, tenant);
        second.request(1, tenant);
    }
    ASSERT_EQ(first.sends.size(), second.sends.size());
    for (std::size_t i = 0; i < first.sends.size(); ++i)
        EXPECT_EQ(first.sends[i].endpoint, second.sends[i].endpoint);
}

}  // namespace
}  // namespace gateway
