// Tests of CeilingBucket, alone and through the engine.
#include "decision/quota/ceiling_bucket.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "decision/quota/quota_test.h"

namespace gateway {
namespace {

class CeilingBucketTest : public QuotaTest {
protected:
    // Sets a ceiling of 10 per second with a burst of 20 and disables the counter.
    void useCeilingWithoutCounter() {
        settings().counterEnabled = false;
        plan().ceilingRate = 10;
        plan().ceilingBurst = 20;
    }
};

TEST_F(CeilingBucketTest, HoldsWithoutCounterAndStartsEmpty) {
    useCeilingWithoutCounter();
    plan().rate = 1000;
    plan().burst = 4000;
    EngineFixture gateway = startGateway();
    gateway.request();
    EXPECT_TRUE(gateway.sends.empty());
    gateway.advance(milliseconds(60'000));
    sendRequests(gateway, 20);
    EXPECT_EQ(gateway.sends.size(), 10u);  // half of the ceiling's burst: two gateways share it
}

// A gateway that receives all requests of a tenant must not be limited to its share of the ceiling while the
// counter confirms that the requests are within the quota.
TEST_F(CeilingBucketTest, ConfirmedRequestsConsumeNoCeilingTokens) {
    plan().rate = 20;
    plan().burst = 30;
    plan().ceilingRate = 35;
    plan().ceilingBurst = 50;
    EngineFixture gateway = startGateway();
    sendRequests(gateway, 40, {.entryPoints = 4});
    EXPECT_GE(gateway.sends.size(), 29u);
    for (const SendAttempt& send : gateway.sends) endSuccessfully(gateway, send);
    gateway.isCounterAnswering = false;
    gateway.advance(milliseconds(1500));
    const std::size_t before = gateway.sends.size();
    for (int i = 0; i < 12; ++i) {
        sendRequest(gateway, {.entryPoints = 4});
        gateway.failUnansweredAdds(Outcome::timedOut);
    }
    // A quarter of the difference of 20 between the bursts of ceiling and quota.
    EXPECT_EQ(gateway.sends.size() - before, 5u);
}

TEST_F(CeilingBucketTest, RefillsAtTheSmallerShareWhenEntryPointsDecrease) {
    useCeilingWithoutCounter();
    plan().rate = 4000;
    plan().burst = 4000;
    EngineFixture gateway = startGateway();
    gateway.advance(milliseconds(60'000));
    sendRequests(gateway, 10, {.entryPoints = 4});
    EXPECT_EQ(gateway.sends.size(), 5u);  // a quarter of the ceiling's burst
    gateway.advance(milliseconds(1000));
    sendRequests(gateway, 20, {.entryPoints = 1});
    EXPECT_EQ(gateway.sends.size(), 7u);  // 2 more: a quarter of the rate over the last second
    gateway.advance(milliseconds(1000));
    sendRequests(gateway, 20, {.entryPoints = 1});
    EXPECT_EQ(gateway.sends.size(), 17u);  // 10 more: the whole rate over the last second
}

struct FailingCounterCase {
    const char* label;
    int answeredGateways;  // number of gateways that the counter replies to

    friend std::ostream& operator<<(std::ostream& out, const FailingCounterCase& row) {
        return out << row.label;
    }
};

std::string labelOf(const testing::TestParamInfo<FailingCounterCase>& info) {
    return info.param.label;
}

// Several gateways share a tenant's ceiling and a counter that replies only to some of them, is periodically
// unavailable and periodically loses its counts. The cost that all of them forward is checked against the
// ceiling's rate, burst and slack.
class CeilingWithFailingCounterTest : public QuotaTest,
                                      public testing::WithParamInterface<FailingCounterCase> {
protected:
    static constexpr int kGateways = 4;
    static constexpr int kSteps = 4000;
    static constexpr Duration kStep = milliseconds(10);
    static constexpr double kStepSeconds = 0.01;
    static constexpr double kRunSeconds = 40;
    static constexpr double kMinForwardedQuotaShare = 0.25;

    void SetUp() override {
        settings().gatewayCount = kGateways;
        settings().maxRequestCost = 4;
        plan().rate = 20;
        plan().burst = 30;
        plan().ceilingRate = 35;
        plan().ceilingBurst = 50;
        plan().ceilingSlack = 5;
        remaining_ = plan().ceilingBurst;
        minRemaining_ = remaining_;
        gateways_.reserve(kGateways);
        for (int i = 0; i < kGateways; ++i) gateways_.push_back(startGateway());
    }

    void runStep(int step) {
        remaining_ = std::min(plan().ceilingBurst, remaining_ + plan().ceilingRate * kStepSeconds);
        for (int i = 0; i < kGateways; ++i) stepGateway(step, i);
    }

    double minRemaining() const { return minRemaining_; }
    double forwardedCost() const { return forwardedCost_; }

private:
    static constexpr int kOutagePeriodSteps = 700;
    static constexpr int kOutageStartStep = 600;
    static constexpr int kLossPeriodSteps = 500;
    static constexpr int kDemandPeriodSteps = 1000;
    static constexpr int kDemandEndStep = 500;  // in each period, demand exceeds the ceiling before this step
    static constexpr int kStepsPerRequest = 4;
    static constexpr int kCosts = 4;

    void stepGateway(int step, int index) {
        EngineFixture& gateway = gateways_[static_cast<std::size_t>(index)];
        gateway.advance(kStep);
        const bool isAvailable = step % kOutagePeriodSteps < kOutageStartStep;
        gateway.isCounterAnswering = index < GetParam().answeredGateways && isAvailable;
        if (step % kLossPeriodSteps == 0) counts_.clear();
        gateway.counts = counts_;
        const bool isIdle = step % kDemandPeriodSteps >= kDemandEndStep;
        if ((step + index) % kStepsPerRequest != 0 || isIdle) return;
        const double cost = 1 + (step / kStepsPerRequest + index) % kCosts;
        const std::size_t before = gateway.sends.size();
        sendRequest(gateway, {.cost = cost, .entryPoints = kGateways});
        gateway.failUnansweredAdds(Outcome::timedOut);
        for (std::size_t i = before; i < gateway.sends.size(); ++i) {
            remaining_ -= cost;
            forwardedCost_ += cost;
            endSuccessfully(gateway, gateway.sends[i]);
        }
        minRemaining_ = std::min(minRemaining_, remaining_);
        counts_ = gateway.counts;
    }

    std::vector<EngineFixture> gateways_;
    std::map<std::string, double> counts_;  // of the counter that the gateways share
    double remaining_ = 0;                  // tokens of the ceiling's bucket for all gateways together
    double minRemaining_ = 0;
    double forwardedCost_ = 0;
};

TEST_P(CeilingWithFailingCounterTest, CeilingHoldsAcrossAllGateways) {
    for (int step = 0; step < kSteps; ++step) runStep(step);
    EXPECT_GE(minRemaining(), -plan().ceilingSlack);
    EXPECT_GE(forwardedCost(), kMinForwardedQuotaShare * plan().rate * kRunSeconds);
}

INSTANTIATE_TEST_SUITE_P(AnsweredGateways, CeilingWithFailingCounterTest,
                         testing::Values(FailingCounterCase{"None", 0}, FailingCounterCase{"One", 1},
                                         FailingCounterCase{"Two", 2}, FailingCounterCase{"All", 4}),
                         labelOf);

// Tests CeilingBucket alone. The gateway's share of the tenant's ceiling is 5 per second, with a burst of 10.
class CeilingTokensTest : public testing::Test {
protected:
    static constexpr TimePoint kStart{milliseconds(100'000)};

    CeilingTokensTest() {
        settings.counterEnabled = false;
        plan.ceilingRate = 10;
        plan.ceilingBurst = 20;
        tenant.entryPoints = 2;
    }

    bool tryConsume(double cost, Duration sinceStart) {
        return bucket.tryConsume(tenant, plan, cost, kStart + sinceStart, kStart);
    }

    Settings settings;
    QuotaPlan plan;
    Tenant tenant;
    CeilingBucket bucket{settings};
};

TEST_F(CeilingTokensTest, ConsumesNothingWithTooFewTokens) {
    EXPECT_FALSE(tryConsume(6, milliseconds(1000)));
    EXPECT_DOUBLE_EQ(tenant.ceiling.tokens, 5);
    EXPECT_TRUE(tryConsume(5, milliseconds(1000)));
    EXPECT_DOUBLE_EQ(tenant.ceiling.tokens, 0);
}

TEST_F(CeilingTokensTest, RefillsUpToItsCapacity) {
    EXPECT_TRUE(tryConsume(0, milliseconds(60'000)));
    EXPECT_DOUBLE_EQ(tenant.ceiling.tokens, 10);
}

TEST_F(CeilingTokensTest, RefundsConfirmedCostUpToItsCapacity) {
    EXPECT_TRUE(tryConsume(4, milliseconds(60'000)));
    bucket.refundConfirmed(tenant, plan, 3);
    EXPECT_DOUBLE_EQ(tenant.ceiling.tokens, 9);
    bucket.refundConfirmed(tenant, plan, 3);
    EXPECT_DOUBLE_EQ(tenant.ceiling.tokens, 10);
}

TEST_F(CeilingTokensTest, RefundsTheCostOfAnUnsentRequest) {
    EXPECT_TRUE(tryConsume(4, milliseconds(60'000)));
    CeilingBucket::refundUnsent(tenant, 4);
    EXPECT_DOUBLE_EQ(tenant.ceiling.tokens, 10);
}

}  // namespace
}  // namespace gateway
