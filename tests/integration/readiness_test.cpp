// The conditions under which a new gateway process answers GET /-/ready with 200.
#include <gtest/gtest.h>

#include <list>
#include <string>
#include <vector>

#include "net/config/config.h"
#include "net/discovery/discovery_schedule.h"
#include "support/failing_discovery.h"
#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

constexpr std::chrono::milliseconds kInitialUpdateWait{500};

// ---- The first list of a discovery agent in push mode ---------------------------------------------------

class InitialUpdateTest : public GatewayTest {
protected:
    void startGatewayThatWaits(std::chrono::milliseconds initialUpdateWait) {
        GatewayOptions options = optionsWithEndpoint(endpoint);
        options.timing.initialUpdateWait = initialUpdateWait;
        startGateway(options);
    }
};

TEST_F(InitialUpdateTest, IsReadyOnceAgentHasSentItsList) {
    startGatewayThatWaits(std::chrono::hours(1));
    Socket watch = gateway().discovery().accept();
    watch.receiveMessage();
    Socket client = connectClient();
    EXPECT_EQ(requestReadiness(client), 503);
    watch.write(kChunkedHead + deltaChunk(kKnownIndex, {}));
    expectReady(gateway());
}

// An agent sends nothing while discovery is down.
TEST_F(InitialUpdateTest, IsReadyAfterInitialUpdateWaitWithoutList) {
    startGatewayThatWaits(std::chrono::milliseconds(1));
    expectReady(gateway());
}

// ---- Failed calls to discovery --------------------------------------------------------------------------

class StartupReadinessTest : public testing::TestWithParam<std::string> {
protected:
    static SettingsSpec settings() { return withDiscovery(GetParam(), std::chrono::hours(1)); }
};

INSTANTIATE_TEST_SUITE_P(Modes, StartupReadinessTest, testing::Values(kPolledDiscovery, kPushedDiscovery),
                         [](const auto& parameter) {
                             return parameter.param == kPushedDiscovery ? "Push" : "Poll";
                         });

TEST_P(StartupReadinessTest, IsReadyAfterAnyFailureOfCallToDiscovery) {
    for (const CallFailure failure : kCallFailures) {
        SCOPED_TRACE(failure);
        FailingDiscovery discovery(failure);
        const Server endpoint;
        GatewayOptions options = optionsWithEndpoint(endpoint, settings());
        options.discovery = discovery.server().address();
        options.timing.initialUpdateWait = kInitialUpdateWait;
        const GatewayProcess gateway(options);
        if (discovery.acceptsConnections()) discovery.failCall("since=41 ");
        expectReady(gateway);
    }
}

// Many gateways of a fleet restart at once, while discovery does not answer or rejects all calls.
TEST_P(StartupReadinessTest, AllGatewaysThatStartTogetherBecomeReady) {
    constexpr int kGateways = 12;
    for (const bool rejects : {false, true}) {
        SCOPED_TRACE(rejects ? "discovery rejects" : "discovery does not answer");
        const Server endpoint;
        const Server discovery;
        std::list<GatewayProcess> gateways;
        for (int i = 0; i < kGateways; ++i) {
            GatewayOptions options = optionsWithEndpoint(endpoint, settings());
            options.settings.gatewayCount = kGateways;
            options.settings.gatewayIndex = i;
            options.discovery = discovery.address();
            options.timing.initialUpdateWait = kInitialUpdateWait;
            gateways.emplace_back(options);
        }
        std::vector<Socket> calls;
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            calls.push_back(discovery.accept());
            if (rejects) calls.back().write(kUnavailableResponse);
        }
        for (const GatewayProcess& gateway : gateways) expectReady(gateway);
    }
}

// ---- An empty list --------------------------------------------------------------------------------------

TEST_P(StartupReadinessTest, WaitsForEndpointsAfterEmptyList) {
    GatewayOptions options;
    options.settings = settings();
    options.timing.emptyListWait = std::chrono::hours(1);
    GatewayProcess gateway(options);
    Socket call = gateway.discovery().accept();
    call.receiveMessage();
    Socket client = gateway.connectClient();
    EXPECT_EQ(requestReadiness(client), 503);
    const Server endpoint;
    call.write(kChunkedHead + deltaChunk(42, {listedEndpoint("w", endpoint)}));
    expectReady(gateway);
}

TEST_P(StartupReadinessTest, IsReadyAfterEmptyListWaitWithoutEndpoints) {
    GatewayOptions options;
    options.settings = settings();
    options.timing.emptyListWait = std::chrono::milliseconds(1);
    GatewayProcess gateway(options);
    Socket call = gateway.discovery().accept();
    call.receiveMessage();
    expectReady(gateway);
}

// A gateway must have discovery's current list by the update deadline, so it must not wait longer for
// endpoints.
TEST(EmptyListWaitTest, EndsBeforeUpdateDeadline) {
    GatewayOptions options;
    options.discovery = "127.0.0.1:1";
    EXPECT_LT(readConfig(configDocument(options)).timing.emptyListWait, kUpdateDeadline);
}

}  // namespace
}  // namespace gateway::net::test
