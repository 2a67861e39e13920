#include "decision/upstream/endpoint_subset.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "support/engine_fixture.h"

namespace gateway {
namespace {

constexpr TimePoint kStart{milliseconds(100'000)};

// Tests the subset alone.
class EndpointSubsetTest : public testing::Test {
protected:
    static Settings settingsOf(int gatewayCount) {
        Settings settings = plainSettings();
        settings.gatewayCount = gatewayCount;
        return settings;
    }

    static std::vector<Endpoint> makeEndpoints(int count) {
        std::vector<Endpoint> endpoints;
        for (int i = 0; i < count; ++i) {
            endpoints.emplace_back(1.0);
            endpoints.back().applyEntry(EngineFixture::entry("w" + std::to_string(i)), 1.0);
        }
        return endpoints;
    }

    // Pointers to the endpoints from position `first` up to `end`.
    static std::vector<Endpoint*> ringOf(std::vector<Endpoint>& endpoints, std::size_t first,
                                         std::size_t end) {
        std::vector<Endpoint*> ring;
        for (std::size_t i = first; i < end; ++i) ring.push_back(&endpoints[i]);
        return ring;
    }
};

TEST_F(EndpointSubsetTest, ContainsEveryEndpointInASmallFleet) {
    std::vector<Endpoint> endpoints = makeEndpoints(40);
    EndpointSubset subset(settingsOf(10));
    subset.select(endpoints, ringOf(endpoints, 0, 40), {}, kStart);
    for (const Endpoint& endpoint : endpoints) EXPECT_EQ(endpoint.subsetShare(), 1);
}

TEST_F(EndpointSubsetTest, ContainsItsShareOfWarmEndpointsAndOfThoseWarmingUp) {
    std::vector<Endpoint> endpoints = makeEndpoints(40);
    EndpointSubset subset(settingsOf(100));
    subset.select(endpoints, ringOf(endpoints, 0, 30), ringOf(endpoints, 30, 40), kStart);
    std::size_t warm = 0;
    std::size_t warmingUp = 0;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        if (!endpoints[i].isInSubset()) continue;
        EXPECT_DOUBLE_EQ(endpoints[i].subsetShare(), 0.2);
        if (i < 30)
            ++warm;
        else
            ++warmingUp;
    }
    EXPECT_EQ(warm, 6u);
    EXPECT_EQ(warmingUp, 2u);
}

TEST_F(EndpointSubsetTest, LeavesOutUnusableEndpoints) {
    std::vector<Endpoint> endpoints = makeEndpoints(3);
    EndpointSubset subset(settingsOf(100));
    subset.select(endpoints, ringOf(endpoints, 0, 2), {}, kStart);
    EXPECT_TRUE(endpoints[0].isInSubset());
    EXPECT_FALSE(endpoints[2].isInSubset());
    subset.select(endpoints, {}, {}, kStart);
    EXPECT_FALSE(endpoints[0].isInSubset());
}

TEST_F(EndpointSubsetTest, IsStaleASecondAfterTheLatestSelection) {
    std::vector<Endpoint> endpoints = makeEndpoints(1);
    EndpointSubset subset(settingsOf(100));
    EXPECT_TRUE(subset.isStale(kStart));
    subset.select(endpoints, ringOf(endpoints, 0, 1), {}, kStart);
    EXPECT_FALSE(subset.isStale(kStart + milliseconds(1000)));
    EXPECT_TRUE(subset.isStale(kStart + milliseconds(1001)));
}

// The decision engines of a fleet with a hundred gateways and sixty endpoints.
class EndpointSubsetFleetTest : public testing::Test {
protected:
    static constexpr int kGateways = 100;
    static constexpr int kEndpoints = 60;
    static constexpr int kRequests = 100;

    // Returns the endpoints to which one gateway sends attempts if every attempt ends with `outcome`.
    static std::set<EndpointId> endpointsUsed(int gatewayIndex, Outcome outcome) {
        DecisionEngine engine = startEngine(gatewayIndex);
        std::set<EndpointId> used;
        for (int i = 0; i < kRequests; ++i) {
            RequestArrived arrival;
            arrival.request = RequestId("r" + std::to_string(i));
            arrival.tenant = TenantId{static_cast<std::uint64_t>(i)};
            const TimePoint arrivedAt = kStart + i * milliseconds(20);
            arrival.deadline = arrivedAt + milliseconds(2500);
            Actions actions;
            engine.handle(arrivedAt, arrival, actions);
            endAttempts(engine, arrivedAt + milliseconds(20), outcome, actions, used);
        }
        return used;
    }

private:
    static DecisionEngine startEngine(int gatewayIndex) {
        Settings settings = plainSettings();
        settings.gatewayCount = kGateways;
        settings.gatewayIndex = gatewayIndex;
        settings.counterEnabled = false;
        DecisionEngine engine(settings, static_cast<std::uint64_t>(gatewayIndex) + 1);
        EndpointUpdate list;
        list.kind = UpdateKind::cached;
        for (int i = 0; i < kEndpoints; ++i)
            list.entries.push_back(EngineFixture::entry("w" + std::to_string(i)));
        Actions actions;
        engine.handle(kStart, list, actions);
        return engine;
    }

    // Ends every attempt among the actions, and every attempt that results from that, and adds their
    // endpoints to `used`.
    static void endAttempts(DecisionEngine& engine, TimePoint now, Outcome outcome, Actions& actions,
                            std::set<EndpointId>& used) {
        int attempt = 0;
        for (std::size_t i = 0; i < actions.size(); ++i) {
            const auto* send = std::get_if<SendAttempt>(&actions[i]);
            if (send == nullptr) continue;
            AttemptEnded ended;
            ended.request = send->request;
            ended.attempt = attempt;
            ended.endpoint = send->endpoint;
            ended.outcome = outcome;
            ended.elapsed = milliseconds(20);
            ended.requestClosed = outcome == Outcome::ok;
            ++attempt;
            used.insert(ended.endpoint);
            engine.handle(now, ended, actions);
        }
    }
};

TEST_F(EndpointSubsetFleetTest, EachGatewayUsesAFewEndpointsAndEachEndpointHasSimilarlyManyGateways) {
    std::map<EndpointId, int> gatewaysByEndpoint;
    for (int gateway = 0; gateway < kGateways; ++gateway) {
        const std::set<EndpointId> used = endpointsUsed(gateway, Outcome::ok);
        EXPECT_LE(used.size(), 8u);
        for (const EndpointId& endpoint : used) ++gatewaysByEndpoint[endpoint];
    }
    EXPECT_EQ(gatewaysByEndpoint.size(), 60u);
    for (const auto& [endpoint, gateways] : gatewaysByEndpoint) {
        EXPECT_GE(gateways, 11) << endpoint.value();
        EXPECT_LE(gateways, 16) << endpoint.value();
    }
}

TEST_F(EndpointSubsetFleetTest, UsesOtherEndpointsWhenNoneInsideTheSubsetIsReachable) {
    EXPECT_GT(endpointsUsed(0, Outcome::connectFailed).size(), 8u);
}

}  // namespace
}  // namespace gateway
