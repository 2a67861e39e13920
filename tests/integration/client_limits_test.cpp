// Limits on client connections, in number and in time, of a whole gateway process.
#include <gtest/gtest.h>

#include <list>

#include "support/gateway_process.h"

namespace gateway::net::test {
namespace {

class ClientLimitsTest : public testing::Test {
protected:
    static std::function<void(Json&)> set(const char* key, const Json& value) {
        return [=](Json& config) { config[key] = value; };
    }

    static void expectReady(Socket& client) {
        client.write("GET /-/ready HTTP/1.1\r\n\r\n");
        EXPECT_EQ(statusOf(client.message()), 200);
    }

    Server endpoint;
    Targets targets{target("w", endpoint)};
};

TEST_F(ClientLimitsTest, ClosesLongestIdleClientAtMaxConnections) {
    const GatewayProcess gateway(targets, settings(), set("limits", {{"sockets", 64}}));
    std::list<Socket> clients;
    for (int i = 0; i < 100; ++i) {
        clients.push_back(gateway.client());
        expectReady(clients.back());
    }
    EXPECT_TRUE(clients.front().atEnd());
}

TEST_F(ClientLimitsTest, AnswersIncompleteRequestWith408AndCloses) {
    const GatewayProcess gateway(targets, settings(), set("mostPartialMs", 100));
    Socket client = gateway.client();
    client.write("GET /load HTTP/1.1\r\nHost:");
    EXPECT_EQ(statusOf(client.message()), 408);
    EXPECT_TRUE(client.atEnd());
}

TEST_F(ClientLimitsTest, ClosesConnectionWithoutRequestAndKeepsUsedOne) {
    const GatewayProcess gateway(targets, settings(), set("mostPartialMs", 300));
    Socket used = gateway.client();
    expectReady(used);
    Socket unused = gateway.client();
    EXPECT_TRUE(unused.atEnd());
    expectReady(used);
}

TEST_F(ClientLimitsTest, KeepsServingAfterRunningOutOfDescriptors) {
    const GatewayProcess gateway(targets, settings(), {}, 40);
    std::list<Socket> clients;
    for (int i = 0; i < 60; ++i) {  // more than the process may hold: the longest idle ones are closed
        clients.push_back(gateway.client());
        expectReady(clients.back());
    }
}

}  // namespace
}  // namespace gateway::net::test
