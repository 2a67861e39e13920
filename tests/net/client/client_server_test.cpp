// Connections of clients: limits and time limits.
#include <gtest/gtest.h>

#include <list>
#include <memory>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

TEST(ConnectionLimits, IdleClientsGiveWayAtTheMostConnections) {
    Server endpoint;
    GatewayOptions options = optionsWithEndpoint(endpoint);
    options.maxSockets = 64;
    const GatewayProcess gateway(options);
    std::list<Socket> clients;
    for (int i = 0; i < 100; ++i) {
        clients.push_back(gateway.connectClient());
        clients.back().write("GET /-/ready HTTP/1.1\r\n\r\n");
        EXPECT_EQ(statusOf(clients.back().receiveMessage()), 200);
    }
    EXPECT_TRUE(clients.front().waitForClose());
}

TEST(ConnectionLimits, ARequestThatDoesNotComeWholeEndsItsConnection) {
    Server endpoint;
    GatewayOptions options = optionsWithEndpoint(endpoint);
    options.timing.maxPartialTime = std::chrono::milliseconds(100);
    const GatewayProcess gateway(options);
    Socket client = gateway.connectClient();
    client.write("GET /load HTTP/1.1\r\nHost:");
    EXPECT_EQ(statusOf(client.receiveMessage()), 408);
    EXPECT_TRUE(client.waitForClose());
}

TEST(ConnectionLimits, AConnectionThatSaysNothingIsEndedAndAUsedOneIsKept) {
    Server endpoint;
    GatewayOptions options = optionsWithEndpoint(endpoint);
    options.timing.maxPartialTime = std::chrono::milliseconds(300);
    const GatewayProcess gateway(options);
    Socket used = gateway.connectClient();
    used.write("GET /-/ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(statusOf(used.receiveMessage()), 200);
    Socket silent = gateway.connectClient();
    EXPECT_TRUE(silent.waitForClose());
    used.write("GET /-/ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(statusOf(used.receiveMessage()), 200);
}

TEST(ConnectionLimits, ServesOnAfterRunningOutOfDescriptors) {
    Server endpoint;
    GatewayOptions options = optionsWithEndpoint(endpoint);
    options.maxDescriptors = 40;
    const GatewayProcess gateway(options);
    std::list<Socket> clients;
    for (int i = 0; i < 60; ++i) {  // more than the kernel will let it hold; those idle longest give way
        clients.push_back(gateway.connectClient());
        clients.back().write("GET /-/ready HTTP/1.1\r\n\r\n");
        EXPECT_EQ(statusOf(clients.back().receiveMessage()), 200);
    }
}

}  // namespace
}  // namespace gateway::net::test
