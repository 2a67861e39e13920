// Connections of clients: limits and time limits.
#include <gtest/gtest.h>

#include <list>
#include <memory>

#include "support/gateway_process.h"

namespace gateway::net::test {
namespace {

TEST(ConnectionLimits, IdleClientsGiveWayAtTheMostConnections) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, settings(),
                           [](Json& c) { c["limits"]["sockets"] = 64; });
    std::list<Socket> clients;
    for (int i = 0; i < 100; ++i) {
        clients.push_back(gateway.client());
        clients.back().write("GET /-/ready HTTP/1.1\r\n\r\n");
        EXPECT_EQ(statusOf(clients.back().message()), 200);
    }
    EXPECT_TRUE(clients.front().atEnd());
}

TEST(ConnectionLimits, ARequestThatDoesNotComeWholeEndsItsConnection) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, settings(),
                           [](Json& c) { c["mostPartialMs"] = 100; });
    Socket client = gateway.client();
    client.write("GET /load HTTP/1.1\r\nHost:");
    EXPECT_EQ(statusOf(client.message()), 408);
    EXPECT_TRUE(client.atEnd());
}

TEST(ConnectionLimits, AConnectionThatSaysNothingIsEndedAndAUsedOneIsKept) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, settings(),
                           [](Json& c) { c["mostPartialMs"] = 300; });
    Socket used = gateway.client();
    used.write("GET /-/ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(statusOf(used.message()), 200);
    Socket silent = gateway.client();
    EXPECT_TRUE(silent.atEnd());
    used.write("GET /-/ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(statusOf(used.message()), 200);
}

TEST(ConnectionLimits, ServesOnAfterRunningOutOfDescriptors) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, settings(), {}, 40);
    std::list<Socket> clients;
    for (int i = 0; i < 60; ++i) {  // more than the kernel will let it hold; those idle longest give way
        clients.push_back(gateway.client());
        clients.back().write("GET /-/ready HTTP/1.1\r\n\r\n");
        EXPECT_EQ(statusOf(clients.back().message()), 200);
    }
}

}  // namespace
}  // namespace gateway::net::test
