#include "decision/upstream/latency_stats.h"

#include <gtest/gtest.h>

#include "support/engine_fixture.h"

namespace gateway {
namespace {

class LatencyStatsTest : public testing::Test {
protected:
    static constexpr RequestClassIndex kLight{0};
    static constexpr RequestClassIndex kHeavy{1};

    static Settings makeSettings() {
        Settings settings = plainSettings();  // the latency objective is 600 ms, the deadline 2.5 s
        settings.classes.push_back(settings.classes[0]);
        return settings;
    }

    AttemptSample observe(RequestClassIndex requestClass, Outcome outcome, Duration elapsed) {
        Request request;
        request.arrival.requestClass = requestClass;
        AttemptEnded ended;
        ended.outcome = outcome;
        ended.elapsed = elapsed;
        return latency.observe(request, ended);
    }

    Settings settings = makeSettings();
    LatencyStats latency{settings};
};

TEST_F(LatencyStatsTest, ExpectsAShareOfTheObjectiveBeforeTheFirstResponse) {
    EXPECT_DOUBLE_EQ(latency.expectedSeconds(kLight), 0.075);
    EXPECT_EQ(latency.relativeWork(kLight), 1);
}

TEST_F(LatencyStatsTest, MeansCountOnlyServedAttempts) {
    observe(kLight, Outcome::ok, milliseconds(100));
    observe(kLight, Outcome::timedOut, milliseconds(600));
    observe(kLight, Outcome::rejected, milliseconds(1));
    EXPECT_DOUBLE_EQ(latency.expectedSeconds(kLight), 0.1);
}

TEST_F(LatencyStatsTest, RelativeWorkComparesTheClassWithTheMeanRequest) {
    observe(kLight, Outcome::ok, milliseconds(100));
    observe(kHeavy, Outcome::ok, milliseconds(300));
    EXPECT_DOUBLE_EQ(latency.relativeWork(kLight), 0.5);
    EXPECT_DOUBLE_EQ(latency.relativeWork(kHeavy), 1.5);
}

TEST_F(LatencyStatsTest, SampleDistinguishesSlowFromFastResponses) {
    EXPECT_FALSE(observe(kLight, Outcome::ok, milliseconds(360)).slow);
    const AttemptSample slow = observe(kLight, Outcome::ok, milliseconds(361));
    EXPECT_TRUE(slow.slow);
    EXPECT_TRUE(slow.indicatesOverload);
    const AttemptSample rejected = observe(kLight, Outcome::rejected, milliseconds(1));
    EXPECT_FALSE(rejected.slow);
    EXPECT_TRUE(rejected.indicatesOverload);
}

TEST_F(LatencyStatsTest, TimeLeftEndsAtTheObjectiveUnlessLateResponsesEarnWeight) {
    const TimePoint now{std::chrono::seconds(100)};
    Request request;
    request.arrivedAt = now;
    request.arrival.deadline = now + milliseconds(2500);
    EXPECT_EQ(latency.timeLeft(request, now), milliseconds(600));
    settings.classes[0].lateWeight = 0.5;
    EXPECT_EQ(latency.timeLeft(request, now), milliseconds(2500));
}

TEST_F(LatencyStatsTest, ObjectiveGrowsWithExpectedResponseTimeUpToDeadline) {
    settings.classes[0].latencyObjectiveStretch = 2;
    EXPECT_EQ(latency.latencyObjective(kLight), milliseconds(750));
    settings.classes[0].latencyObjectiveStretch = 1000;
    EXPECT_EQ(latency.latencyObjective(kLight), milliseconds(2500));
}

}  // namespace
}  // namespace gateway
