// A gateway whose idle clients hold all descriptors closes some of them to reach discovery, the counter and
// endpoints.
#include <gtest/gtest.h>

#include <list>
#include <ostream>
#include <string>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

struct DescriptorLimits {
    int configured;  // "limits.sockets"
    rlim_t system;   // RLIMIT_NOFILE
    std::string discovery;
};
std::ostream& operator<<(std::ostream& out, const DescriptorLimits& limits) {
    return out << (limits.discovery == kPushedDiscovery ? "Push" : "Poll") << limits.configured << "Of"
               << limits.system;
}

class DescriptorReclaimTest : public GatewayTest, public testing::WithParamInterface<DescriptorLimits> {
protected:
    void SetUp() override {
        const SettingsSpec settings = withDiscovery(GetParam().discovery, Seconds(10));
        GatewayOptions options = optionsWithEndpoint(endpoint, withCounter(settings, Seconds(20)));
        options.maxSockets = GetParam().configured;
        options.maxDescriptors = GetParam().system;
        options.timing.requestReadTimeout = std::chrono::hours(1);  // keeps clients that send nothing
        options.counter = counter.address();
        options.discovery = discovery.address();
        startGateway(options);
        connectMoreClientsThanDescriptors();
    }

    // Each client receives one response and is idle from then on. The last ones stay in the accept queue.
    void connectMoreClientsThanDescriptors() {
        constexpr int kQueuedClients = 200;
        for (rlim_t i = 0; i < GetParam().system; ++i) {
            idleClients.push_back(connectClient());
            EXPECT_EQ(requestReadiness(idleClients.back()), 200);
        }
        for (int i = 0; i < kQueuedClients; ++i) idleClients.push_back(connectClient());
    }

    Server counter;
    Server discovery{Server::kRefusing};
    std::list<Socket> idleClients;
};

INSTANTIATE_TEST_SUITE_P(Limits, DescriptorReclaimTest,
                         testing::Values(DescriptorLimits{256, 256, kPushedDiscovery},
                                         DescriptorLimits{256, 256, kPolledDiscovery},
                                         DescriptorLimits{1024, 256, kPushedDiscovery},
                                         DescriptorLimits{1024, 256, kPolledDiscovery},
                                         DescriptorLimits{4096, 1024, kPushedDiscovery},
                                         DescriptorLimits{4096, 1024, kPolledDiscovery}),
                         testing::PrintToStringParamName());

// The test measures the time with a request's timeout: on a slow machine the gateway is late with both.
TEST_P(DescriptorReclaimTest, CallsDiscoveryInTime) {
    Socket client = connectClient();
    client.write(safeRequest("clock").withoutQuota().withTimeout(std::chrono::milliseconds(5900)).text());
    ASSERT_TRUE(endpoint.waitReadable());  // the endpoint does not answer: the request times out
    discovery.listen();
    EXPECT_NE(statusOf(client.receiveMessage()), 200);
    ASSERT_TRUE(discovery.waitReadable(0));
    Socket call = discovery.accept();
    EXPECT_TRUE(contains(call.receiveMessage(), "since=41 "));
}

TEST_P(DescriptorReclaimTest, ConnectsToCounterAndEndpointAndAnswersNewClients) {
    constexpr int kFurtherClients = 20;
    Socket client = connectClient();
    EXPECT_EQ(requestReadiness(client), 200);
    client.write(safeRequest("r").withTenant(tenantWithYoungSlice()).text());
    Socket call = counter.accept();
    EXPECT_TRUE(contains(call.receiveMessage(), "?add=1&"));
    call.write(okResponse("2"));
    Socket connection = endpoint.accept();
    EXPECT_TRUE(isRequest(connection.receiveMessage(), "r"));
    connection.write(okResponse("served"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    for (int i = 0; i < kFurtherClients; ++i) {
        Socket further = connectClient();
        EXPECT_EQ(requestReadiness(further), 200);
    }
}

TEST_P(DescriptorReclaimTest, ReadsNewConfigurationAndCallsItsDiscovery) {
    const Server newDiscovery;
    gateway().reload(newDiscovery);
    Socket call = newDiscovery.accept();
    EXPECT_TRUE(contains(call.receiveMessage(), "GET /api/targets HTTP/1.1\r\n"));
    call.write(okResponse(snapshotDocument(3, {})));
    EXPECT_TRUE(contains(call.receiveMessage(), "since=3 "));
}

}  // namespace
}  // namespace gateway::net::test
