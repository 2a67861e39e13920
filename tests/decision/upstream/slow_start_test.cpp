#include "decision/upstream/slow_start.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "decision/upstream/upstream_engine_test.h"

namespace gateway {
namespace {

using std::chrono::seconds;

// Tests slow start alone, with an endpoint that starts at kStart.
class SlowStartTest : public testing::Test {
protected:
    static constexpr TimePoint kStart{seconds(100)};
    static constexpr double kInitialLimit = 16;

    SlowStartTest() { endpoint.applyEntry(entryStartedAt(kStart), kInitialLimit); }

    static EndpointEntry entryStartedAt(TimePoint startedAt) {
        EndpointEntry entry;
        entry.id = EndpointId("w0");
        entry.startedAt = startedAt;
        return entry;
    }

    // Capacity of a warm endpoint and one that has just started.
    static TotalCapacity totalCapacity() {
        TotalCapacity total;
        total.add(1, 1);
        total.add(1, kInitialShare);
        return total;
    }

    static constexpr double kInitialShare = 0.25;

    Settings settings = plainSettings();  // warm after 16 s
    EndpointStats stats;
    SlowStart slowStart{settings, stats};
    Endpoint endpoint{kInitialLimit};
    Endpoint warmEndpoint{kInitialLimit};
};

TEST_F(SlowStartTest, CapacityShareRisesLinearlyFromTheInitialShareToOne) {
    const EndpointEntry entry = entryStartedAt(kStart);
    EXPECT_EQ(slowStart.capacityShare(entry, kStart - seconds(1)), kInitialShare);
    EXPECT_EQ(slowStart.capacityShare(entry, kStart), kInitialShare);
    EXPECT_EQ(slowStart.capacityShare(entry, kStart + seconds(8)), 0.625);
    EXPECT_TRUE(slowStart.isWarmingUp(entry, kStart + seconds(15)));
    EXPECT_FALSE(slowStart.isWarmingUp(entry, kStart + seconds(16)));
}

TEST_F(SlowStartTest, EndpointWithoutStartTimeIsWarm) {
    EXPECT_FALSE(slowStart.isWarmingUp(entryStartedAt(TimePoint{}), kStart));
}

TEST_F(SlowStartTest, WarmEndpointMayReceiveAttemptsWithoutTokens) {
    EXPECT_TRUE(SlowStart::mayReceiveAttempt(endpoint, 1));
    EXPECT_FALSE(SlowStart::mayReceiveAttempt(endpoint, kInitialShare));
}

TEST_F(SlowStartTest, TokensAccrueFromWorkThatUsableEndpointsServe) {
    slowStart.recordServed(warmEndpoint, 100, kStart);  // this endpoint is not listed, so it is not usable
    slowStart.accrueTokens(endpoint, kInitialShare, totalCapacity());
    EXPECT_EQ(endpoint.slowStartTokens().tokens(), 0);
    slowStart.recordServed(endpoint, 2.5, kStart);
    slowStart.accrueTokens(endpoint, kInitialShare, totalCapacity());
    EXPECT_DOUBLE_EQ(endpoint.slowStartTokens().tokens(), 0.5);  // its share of the capacity is 0.25 of 1.25
}

TEST_F(SlowStartTest, MayReceiveAttemptChangesNothing) {
    slowStart.recordServed(endpoint, 100, kStart);
    EXPECT_FALSE(SlowStart::mayReceiveAttempt(endpoint, kInitialShare));
    EXPECT_EQ(endpoint.slowStartTokens().tokens(), 0);
    slowStart.accrueTokens(endpoint, kInitialShare, totalCapacity());
    EXPECT_TRUE(SlowStart::mayReceiveAttempt(endpoint, kInitialShare));
}

TEST_F(SlowStartTest, EndpointOutsideTheSubsetAccruesNoTokens) {
    slowStart.recordServed(endpoint, 100, kStart);
    endpoint.setSubsetShare(0);
    slowStart.accrueTokens(endpoint, kInitialShare, totalCapacity());
    endpoint.setSubsetShare(1);
    slowStart.accrueTokens(endpoint, kInitialShare, totalCapacity());
    EXPECT_EQ(endpoint.slowStartTokens().tokens(), 0);
}

TEST_F(SlowStartTest, CreditsHalfOfUnservedWorkAfterATimeWithoutServedRequest) {
    slowStart.recordServed(warmEndpoint, 1, kStart);
    slowStart.recordUnserved(2, kStart + milliseconds(125));  // an eighth of the overload window
    slowStart.accrueTokens(endpoint, kInitialShare, totalCapacity());
    EXPECT_EQ(endpoint.slowStartTokens().tokens(), 0);
    slowStart.recordUnserved(2, kStart + milliseconds(126));
    slowStart.accrueTokens(endpoint, kInitialShare, totalCapacity());
    EXPECT_DOUBLE_EQ(endpoint.slowStartTokens().tokens(), 0.2);
}

// Tests slow start within the decision engine.
class SlowStartEngineTest : public UpstreamEngineTest {};

TEST_F(SlowStartEngineTest, SendsFewAttemptsToAnEndpointThatIsWarmingUp) {
    constexpr std::size_t kAttemptsInFlight = 8;
    start(plainSettings(), 4);
    advance(milliseconds(1000));
    EndpointEntry warmingUp = entry("w3", Availability::up, CellId{1});
    warmingUp.startedAt = now();
    changeEndpoints({warmingUp});
    int sentToWarmingUp = 0;
    for (std::uint64_t i = 0; i < 40; ++i) {
        const std::optional<SendAttempt> attempt = sendRequest(i);
        ASSERT_TRUE(attempt.has_value());
        if (attempt->endpoint.value() == "w3") ++sentToWarmingUp;
        if (attempts().size() > kAttemptsInFlight)
            endAttempt(attempts()[attempts().size() - kAttemptsInFlight - 1], 0);
        advance(milliseconds(20));
    }
    EXPECT_GE(sentToWarmingUp, 1);
    EXPECT_LE(sentToWarmingUp, 6);
}

// A fleet of many gateways, each with its own decision engine.
class SlowStartManyGatewaysTest : public testing::Test {
protected:
    static constexpr int kGateways = 2000;
    static constexpr int kEndpoints = 60;
    static constexpr int kWarmingUp = 36;
    static constexpr int kRequests = 12;
    static constexpr int kFastRequests = 8;  // the first ones, to which every endpoint responds fast
    static constexpr Duration kFast = milliseconds(100);
    static constexpr TimePoint kFirstRequestAt{milliseconds(60'000)};
    static constexpr TimePoint kWarmUpStart{milliseconds(100'000)};

    // Returns the number of gateways that send their last request to an endpoint that is warming up. Each
    // gateway has low local traffic. Warm endpoints respond to the requests after the first kFastRequests in
    // `warmResponseTime`.
    static int countSentToWarmingUp(Duration warmResponseTime) {
        int count = 0;
        for (int gateway = 0; gateway < kGateways; ++gateway)
            if (sendsLastRequestToWarmingUp(gateway, warmResponseTime)) ++count;
        return count;
    }

private:
    static bool isWarmingUp(const EndpointId& endpoint) { return endpoint.value().starts_with("cold"); }

    static DecisionEngine startEngine(int gatewayIndex) {
        Settings settings = plainSettings();
        settings.gatewayCount = kGateways;
        settings.gatewayIndex = gatewayIndex;
        settings.counterEnabled = false;
        DecisionEngine engine(settings, static_cast<std::uint64_t>(gatewayIndex) + 1);
        EndpointUpdate list;
        list.kind = UpdateKind::cached;
        for (int i = 0; i < kEndpoints; ++i) {
            const bool isCold = i < kWarmingUp;
            list.entries.push_back(EngineFixture::entry((isCold ? "cold" : "warm") + std::to_string(i)));
            if (isCold) list.entries.back().startedAt = kWarmUpStart;
        }
        Actions actions;
        engine.handle(kFirstRequestAt, list, actions);
        return engine;
    }

    static bool sendsLastRequestToWarmingUp(int gatewayIndex, Duration warmResponseTime) {
        DecisionEngine engine = startEngine(gatewayIndex);
        bool lastWasWarmingUp = false;
        for (int i = 0; i < kRequests; ++i) {
            const TimePoint now = kFirstRequestAt + i * milliseconds(3000);
            const std::optional<SendAttempt> attempt = sendRequest(engine, gatewayIndex, i, now);
            lastWasWarmingUp = attempt && isWarmingUp(attempt->endpoint);
            if (!attempt) continue;  // rejected, since slow responses lower the concurrency limit
            const bool isFast = lastWasWarmingUp || i < kFastRequests;
            serve(engine, *attempt, isFast ? kFast : warmResponseTime, now);
        }
        return lastWasWarmingUp;
    }

    static std::optional<SendAttempt> sendRequest(DecisionEngine& engine, int gatewayIndex, int number,
                                                  TimePoint now) {
        RequestArrived arrival;
        arrival.request = RequestId("r" + std::to_string(number));
        arrival.tenant = TenantId{static_cast<std::uint64_t>(gatewayIndex)};
        arrival.deadline = now + milliseconds(2500);
        Actions actions;
        engine.handle(now, arrival, actions);
        const auto* send = std::get_if<SendAttempt>(&actions.back());
        if (send == nullptr) return std::nullopt;
        return *send;
    }

    static void serve(DecisionEngine& engine, const SendAttempt& attempt, Duration elapsed, TimePoint now) {
        AttemptEnded ended;
        ended.request = attempt.request;
        ended.endpoint = attempt.endpoint;
        ended.elapsed = elapsed;
        ended.requestClosed = true;
        Actions actions;
        engine.handle(now + elapsed, ended, actions);
    }
};

// Guards against attempts that queue at endpoints that are warming up while warm ones have capacity left.
TEST_F(SlowStartManyGatewaysTest, UsesNoMoreThanTheCapacityShareWhileWarmEndpointsAreFast) {
    const int sent = countSentToWarmingUp(milliseconds(100));
    EXPECT_GE(sent, 2000 * 11 / 100);  // the capacity share is 0.25 x 36 / 60, so 15 in 100
    EXPECT_LE(sent, 2000 * 18 / 100);
}

// Guards against an overload of the few warm endpoints while most endpoints are warming up and could serve
// more, up to the overload multiple.
TEST_F(SlowStartManyGatewaysTest, UsesMoreThanTheCapacityShareWhileWarmEndpointsAreSlow) {
    const int sent = countSentToWarmingUp(plainSettings().classes[0].latencyObjective * 9 / 10);
    EXPECT_GE(sent, 2000 * 22 / 100);
    EXPECT_LE(sent, 2000 * 30 / 100);  // the overload multiple of 2 allows 30 in 100
}

// A fleet of 200 gateways, with one request each, and 40 endpoints, one of which is warming up.
class SlowStartFirstRequestTest : public testing::Test {
protected:
    static constexpr int kGateways = 200;
    static constexpr int kEndpoints = 40;
    static constexpr TimePoint kStart{milliseconds(100'000)};

    static bool sendsFirstRequestToWarmingUp(int gatewayIndex) {
        Settings settings = plainSettings();
        settings.gatewayCount = kGateways;
        settings.gatewayIndex = gatewayIndex;
        DecisionEngine engine(settings, static_cast<std::uint64_t>(gatewayIndex) + 1);
        Actions actions;
        engine.handle(kStart, endpointList(), actions);
        RequestArrived arrival;
        arrival.request = RequestId("r");
        arrival.tenant = TenantId{static_cast<std::uint64_t>(gatewayIndex)};
        arrival.deadline = kStart + milliseconds(2500);
        engine.handle(kStart + milliseconds(100), arrival, actions);
        answerCounterCalls(engine, kStart + milliseconds(101), actions);
        return std::any_of(actions.begin(), actions.end(), [](const Action& action) {
            const auto* send = std::get_if<SendAttempt>(&action);
            return send != nullptr && send->endpoint.value() == "w0";
        });
    }

private:
    static EndpointUpdate endpointList() {
        EndpointUpdate list;
        list.kind = UpdateKind::cached;
        for (int i = 0; i < kEndpoints; ++i)
            list.entries.push_back(EngineFixture::entry("w" + std::to_string(i)));
        list.entries[0].startedAt = kStart;
        list.entries[0].weight = 8;  // so that it has the lowest score even while warming up
        return list;
    }

    static void answerCounterCalls(DecisionEngine& engine, TimePoint now, Actions& actions) {
        for (std::size_t i = 0; i < actions.size(); ++i) {
            const auto* add = std::get_if<AddToCounter>(&actions[i]);
            if (add == nullptr) continue;
            const CounterReplied reply{add->name, Outcome::ok, add->amount, {}};
            engine.handle(now, reply, actions);
        }
    }
};

TEST_F(SlowStartFirstRequestTest, KeepsTheSumOverManyGatewaysNearTheCapacityShare) {
    int sent = 0;
    for (int gateway = 0; gateway < kGateways; ++gateway)
        if (sendsFirstRequestToWarmingUp(gateway)) ++sent;
    EXPECT_LE(sent, 20);  // the endpoint's share by weight and capacity is about 9 of the 200
}

}  // namespace
}  // namespace gateway
