// Limits of a gateway process on the number of client connections and on the time that requests take to
// arrive.
#include <gtest/gtest.h>

#include <list>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

class ClientLimitsTest : public testing::Test {
protected:
    static void expectReady(Socket& client) { EXPECT_EQ(requestReadiness(client), 200); }

    Server endpoint;
    GatewayOptions options = optionsWithEndpoint(endpoint);
};

TEST_F(ClientLimitsTest, ClosesLongestIdleClientAtMaxConnections) {
    options.maxSockets = 64;
    const GatewayProcess gateway(options);
    std::list<Socket> clients;
    for (int i = 0; i < 100; ++i) {
        clients.push_back(gateway.connectClient());
        expectReady(clients.back());
    }
    EXPECT_TRUE(clients.front().waitForClose());
}

// Guards against a new connection that is closed, although its request was read, since all others are busy.
TEST_F(ClientLimitsTest, AnswersRequestOnLastConnectionWhileOthersAreBusy) {
    constexpr int kMaxClients = 32;
    options.maxSockets = 2 * kMaxClients;
    options.timing.requestReadTimeout = std::chrono::hours(1);  // keeps clients that send half a request
    const GatewayProcess gateway(options);
    std::list<Socket> busyClients;
    for (int i = 0; i < kMaxClients - 1; ++i) {
        busyClients.push_back(gateway.connectClient());
        expectReady(busyClients.back());
        busyClients.back().write("GET /load HTTP/1.1\r\nHost:");
    }
    Socket client;
    gateway.whileStopped([&] {
        client = gateway.connectClient();
        client.write(safeRequest("r").withoutQuota().text());
    });
    Socket connection = endpoint.accept();
    EXPECT_TRUE(isRequest(connection.receiveMessage(), "r"));
    connection.write(okResponse("served"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "served");
}

// Guards against clients that are not served because others hold all connections with half a request.
TEST_F(ClientLimitsTest, RejectsStalledRequestsForWaitingClient) {
    constexpr int kMaxClients = 32;
    options.maxSockets = 2 * kMaxClients;
    options.timing.requestReadTimeout = std::chrono::hours(1);
    const GatewayProcess gateway(options);
    std::list<Socket> stalled;
    for (int i = 0; i < kMaxClients; ++i) {
        stalled.push_back(gateway.connectClient());
        stalled.back().write("GET /load HTTP/1.1\r\nHost:");
    }
    Socket client = gateway.connectClient();
    expectReady(client);
    EXPECT_EQ(statusOf(stalled.front().receiveMessage()), 503);
    EXPECT_TRUE(stalled.front().waitForClose());
}

TEST_F(ClientLimitsTest, AnswersIncompleteRequestWith408AndCloses) {
    options.timing.requestReadTimeout = std::chrono::milliseconds(100);
    const GatewayProcess gateway(options);
    Socket client = gateway.connectClient();
    client.write("GET /load HTTP/1.1\r\nHost:");
    EXPECT_EQ(statusOf(client.receiveMessage()), 408);
    EXPECT_TRUE(client.waitForClose());
}

TEST_F(ClientLimitsTest, ClosesConnectionWithoutRequestAndKeepsUsedOne) {
    options.timing.requestReadTimeout = std::chrono::milliseconds(300);
    const GatewayProcess gateway(options);
    Socket used = gateway.connectClient();
    expectReady(used);
    Socket unused = gateway.connectClient();
    EXPECT_TRUE(unused.waitForClose());
    expectReady(used);
}

TEST_F(ClientLimitsTest, KeepsServingAfterRunningOutOfDescriptors) {
    options.maxDescriptors = 40;
    const GatewayProcess gateway(options);
    std::list<Socket> clients;
    for (int i = 0; i < 60; ++i) {  // more than the limit: the gateway closes the longest idle ones
        clients.push_back(gateway.connectClient());
        expectReady(clients.back());
    }
}

}  // namespace
}  // namespace gateway::net::test
