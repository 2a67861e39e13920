// Tests of CounterLedger through the engine: charges, refunds, reconciliations and lost counts.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>

#include "decision/quota/quota_test.h"

namespace gateway {
namespace {

class CounterLedgerTest : public QuotaTest {
protected:
    static double minCount(const EngineFixture& gateway) {
        double minimum = 0;
        for (const auto& [name, sum] : gateway.counts) minimum = std::min(minimum, sum);
        return minimum;
    }
};

TEST_F(CounterLedgerTest, FirstCallOfASliceCarriesDebtOfTheClosedSliceForward) {
    EngineFixture gateway = startGateway();
    gateway.request();
    EngineFixture otherGateway = startGateway();
    otherGateway.counts = gateway.counts;
    const std::string closedSliceName = otherGateway.counts.rbegin()->first;
    otherGateway.counts[closedSliceName] = 30;
    otherGateway.now += milliseconds(4000);  // the next slice, to which no gateway has posted
    otherGateway.request();
    EXPECT_EQ(otherGateway.sends.size(), 0u);
    EXPECT_EQ(otherGateway.rejections.size(), 1u);
    EXPECT_GE(otherGateway.counts.rbegin()->second, 30 - 2 * 4);  // less 4 s at the rate
}

// Each gateway of a large fleet sees so few requests of a tenant that it may overestimate remote usage many
// times over. If it posted that estimate as debt, the tenant's quota would be exhausted at all gateways.
TEST_F(CounterLedgerTest, PostsNoEstimatedRemoteUsageAsDebt) {
    settings().gatewayCount = kLargeFleet;
    settings().usageMeterPeriod = milliseconds(1000);
    EngineFixture gateway = startGateway(kManyEndpoints);
    gateway.isCounterAnswering = false;
    sendRequest(gateway, {.entryPoints = kLargeFleetEntryPoints});
    gateway.failUnansweredAdds(
        Outcome::connectFailed);  // the request is admitted without a reply and its cost is pending
    ASSERT_EQ(gateway.sends.size(), 1u);
    gateway.isCounterAnswering = true;
    gateway.advance(milliseconds(4000));
    // This request opens the next slice and reads the closed one.
    sendRequest(gateway, {.entryPoints = kLargeFleetEntryPoints});
    gateway.advance(milliseconds(4000));
    EXPECT_EQ(gateway.sends.size(), 2u);
    EXPECT_LE(gateway.counterTotal(), 4);
}

// The tenants have no request in the previous slice, so no debt is known for it.
TEST_F(CounterLedgerTest, ReadsNoClosedSliceWithoutKnownDebtFromACongestedCounter) {
    EngineFixture gateway = startGateway();
    gateway.isCounterAnswering = false;
    for (std::uint64_t tenant = 100; tenant < 103; ++tenant) {
        sendRequest(gateway, {.tenant = tenant});
        gateway.failUnansweredAdds(Outcome::rejected);
    }
    gateway.isCounterAnswering = true;
    for (std::uint64_t tenant = 200; tenant < 210; ++tenant) sendRequest(gateway, {.tenant = tenant});
    for (const auto& [name, sum] : gateway.counts) EXPECT_GT(sum, 0) << name << " was only read";
}

TEST_F(CounterLedgerTest, RefundsToACongestedCounterNeverExceedChargedCost) {
    constexpr int kTenants = 200;
    constexpr int kRequestsPerTenant = 24;  // three times the burst
    EngineFixture gateway = startGateway();
    double minimum = 0;
    for (int i = 0; i < kTenants; ++i) {
        const std::uint64_t tenant = kFirstOtherTenant + static_cast<std::uint64_t>(i);
        for (int j = 0; j < kRequestsPerTenant; ++j) {
            gateway.isCounterAnswering =
                (tenant + static_cast<std::uint64_t>(j)) % 3 == 0;  // most calls are rejected
            sendRequest(gateway, {.tenant = tenant});
            gateway.advance(milliseconds(10));
            gateway.failUnansweredAdds(Outcome::rejected);
            minimum = std::min(minimum, minCount(gateway));
        }
    }
    EXPECT_GT(gateway.rejections.size(), 1000u);
    EXPECT_GE(minimum, -1e-6);
}

// A congested counter still processes calls that have timed out. Posting them again would exhaust the quota.
TEST_F(CounterLedgerTest, PostsChargesOfTimedOutCallsOnlyOnce) {
    plan().burst = 40;
    EngineFixture gateway = startGateway();
    gateway.isCounterAnswering = false;
    for (int i = 0; i < 24; ++i) {
        sendRequest(gateway, {.entryPoints = 1});
        for (const AddToCounter& add : gateway.unansweredAdds) gateway.counts[add.name] += add.amount;
        gateway.failUnansweredAdds(Outcome::timedOut);
    }
    ASSERT_EQ(gateway.sends.size(), 24u);
    for (const SendAttempt& send : gateway.sends) endSuccessfully(gateway, send);
    gateway.isCounterAnswering = true;
    sendRequests(gateway, 4, {.entryPoints = 1});
    gateway.advance(milliseconds(5000));
    EXPECT_GT(gateway.counterTotal(), 20);
    EXPECT_LE(gateway.counterTotal(), 28 + 1e-6);
}

// A reported total does not include calls that were made after the call that it replies to.
TEST_F(CounterLedgerTest, AddsChargesOfCallsInFlightToTheReportedTotal) {
    EngineFixture gateway = startGateway();
    gateway.isCounterAnswering = false;
    const auto requestWithoutReply = [&] {
        sendRequest(gateway, {.entryPoints = 1});
        gateway.advance(milliseconds(60));  // decided without the reply
    };
    for (int i = 0; i < 5; ++i) requestWithoutReply();
    ASSERT_EQ(gateway.sends.size(), 5u);
    answerOldestCall(gateway, 1);
    for (int i = 0; i < 10; ++i) requestWithoutReply();
    EXPECT_LE(gateway.sends.size(), 9u);  // the burst of 8 and 2 per second
    EXPECT_GE(gateway.sends.size(), 8u);
}

TEST_F(CounterLedgerTest, PostsLostCountsAgain) {
    EngineFixture gateway = startGateway();
    sendRequests(gateway, 5);
    gateway.counts.clear();
    sendRequests(gateway, 7);
    EXPECT_EQ(gateway.sends.size(), 8u);
    gateway.advance(milliseconds(500));
    EXPECT_DOUBLE_EQ(gateway.counterTotal(), 8);
}

// Reconciliations by other gateways lower a total too. Posting the difference again would exhaust the quota
// of a tenant that has quota left. One failed call makes the counter congested.
TEST_F(CounterLedgerTest, DoesNotTakeRefundsOfOtherGatewaysForLostCounts) {
    settings().reconciliationEnabled = true;
    EngineFixture gateway = startGateway();
    gateway.request(2);
    gateway.isCounterAnswering = false;
    sendRequest(gateway, {.tenant = 9});
    gateway.failUnansweredAdds(Outcome::connectFailed);
    gateway.isCounterAnswering = true;
    for (auto& [name, value] : gateway.counts)
        if (value > 0) value -= 2;
    sendRequests(gateway, 4);
    gateway.advance(milliseconds(1500));
    double sum = 0;
    for (const auto& [name, value] : gateway.counts)
        if (name.starts_with("q5.")) sum += value;
    EXPECT_EQ(gateway.sends.size(), 6u);
    EXPECT_LE(sum, 4);  // 6 admitted less the refund of 2
}

TEST_F(CounterLedgerTest, IgnoresEventsForUnknownSlicesTimersAndRequests) {
    EngineFixture gateway = startGateway();
    gateway.handle(CounterReplied{"q99.3", Outcome::ok, 4, {}});
    gateway.handle(CounterReplied{"nonsense", Outcome::ok, 4, {}});
    gateway.handle(TimerFired{TimerId{12345}});
    gateway.handle(ClientDisconnected{RequestId("nobody")});
    AttemptEnded ended;
    ended.request = RequestId("nobody");
    gateway.handle(ended);
    EXPECT_TRUE(gateway.sends.empty() && gateway.rejections.empty() && gateway.failures.empty());
}

class ReconciliationTest : public QuotaTest {
protected:
    void SetUp() override { settings().reconciliationEnabled = true; }
};

TEST_F(ReconciliationTest, CarriesActualCostForwardAsDebtAndRefund) {
    EngineFixture gateway = startGateway();
    gateway.request();
    gateway.endAttempt(gateway.sends[0], 0, Outcome::ok, true, 11);  // 3 beyond the burst: 1.5 s at the rate
    gateway.advance(milliseconds(1000));
    EXPECT_DOUBLE_EQ(gateway.counterTotal(), 11);
    gateway.request();
    EXPECT_EQ(gateway.rejections.size(), 1u);

    gateway.advance(milliseconds(1500));
    gateway.request();
    EXPECT_EQ(gateway.sends.size(), 2u);

    EngineFixture refundGateway = startGateway();
    refundGateway.request(2);
    refundGateway.endAttempt(refundGateway.sends[0], 0, Outcome::ok, true, 1);
    refundGateway.advance(milliseconds(1000));
    EXPECT_DOUBLE_EQ(refundGateway.counterTotal(), 1);
}

}  // namespace
}  // namespace gateway
