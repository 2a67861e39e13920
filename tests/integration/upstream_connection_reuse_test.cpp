// Reuse of idle connections to endpoints, and the cases in which the gateway closes them instead.
#include <functional>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

class UpstreamConnectionReuseTest : public GatewayTest {
protected:
    // Sends `request` and expects that it arrives on a new connection.
    void expectServedOnNewConnection(Socket& client, const RequestSpec& request) const {
        const Socket connection = sendToEndpoint(client, request);
        connection.write(okResponse("two"));
        EXPECT_EQ(bodyOf(client.receiveMessage()), "two");
    }

    // Sends a request and ends the idle connection that would carry it, so that the gateway finds both at
    // once, the request first. Expects that the request arrives on a new connection.
    void expectNewConnectionAfter(const std::function<void(Socket&)>& endConnection) {
        startGateway();
        Socket client = connectClient();
        Socket idle = sendToEndpoint(client, safeRequest("r1"));
        idle.write(okResponse("one"));
        EXPECT_EQ(statusOf(client.receiveMessage()), 200);
        gateway().whileStopped([&] {
            client.write(unsafeRequest("r2").text());
            endConnection(idle);
        });
        Socket connection = endpoint.accept();
        EXPECT_TRUE(isRequest(connection.receiveMessage(), "r2"));
        connection.write(okResponse("two"));
        EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    }
};

TEST_F(UpstreamConnectionReuseTest, OpensNewConnectionWhenIdleOneWasClosedButNotYetRead) {
    expectNewConnectionAfter([](Socket& connection) { connection.close(); });
}

TEST_F(UpstreamConnectionReuseTest, OpensNewConnectionWhenIdleOneWasResetButNotYetRead) {
    expectNewConnectionAfter([](Socket& connection) { connection.reset(); });
}

TEST_F(UpstreamConnectionReuseTest, DropsIdleConnectionAfterUnsolicitedResponse) {
    startGateway();
    Socket client = connectClient();
    Socket connection = sendToEndpoint(client, safeRequest("r1"));
    connection.write(okResponse("one"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "one");
    connection.write(okResponse("unsolicited"));
    EXPECT_TRUE(connection.waitForClose());
    expectServedOnNewConnection(client, safeRequest("r2"));
}

// A response that arrives before its request must not answer the next request.
TEST_F(UpstreamConnectionReuseTest, DropsConnectionWhenSecondResponseFollowsAtOnce) {
    startGateway();
    Socket client = connectClient();
    Socket connection = sendToEndpoint(client, safeRequest("r1"));
    connection.write(okResponse("one") + okResponse("one"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "one");
    EXPECT_TRUE(connection.waitForClose());
    expectServedOnNewConnection(client, safeRequest("r2"));
}

// A late second response would answer the next request if that used the same connection.
TEST_F(UpstreamConnectionReuseTest, DoesNotServeLateSecondResponseWithinReuseDelay) {
    GatewayOptions options = optionsWithEndpoint(endpoint);
    options.timing.reuseDelay = std::chrono::hours(1);
    startGateway(options);
    Socket client = connectClient();
    Socket connection = sendToEndpoint(client, safeRequest("r1"));
    connection.write(okResponse("one"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "one");
    const Socket newConnection = sendToEndpoint(client, safeRequest("r2"));
    connection.write(okResponse("one"));
    EXPECT_TRUE(connection.waitForClose());
    newConnection.write(okResponse("two"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "two");
}

// The endpoint's machine is unreachable: it sends nothing, and its connections stay open.
TEST_F(UpstreamConnectionReuseTest, DropsIdleConnectionsOfEndpointThatDoesNotRespond) {
    startGateway();
    Socket clients[] = {connectClient(), connectClient()};
    clients[0].write(safeRequest("r1").text());
    clients[1].write(safeRequest("r2").text());
    Socket connections[] = {endpoint.accept(), endpoint.accept()};
    for (Socket& connection : connections) connection.receiveMessage();
    for (const Socket& connection : connections) connection.write(okResponse("x"));
    for (Socket& client : clients) client.receiveMessage();
    clients[0].write(safeRequest("r3").withTimeout(std::chrono::seconds(1)).text());
    EXPECT_NE(statusOf(clients[0].receiveMessage()), 200);
    for (Socket& connection : connections) {
        connection.receiveMessageOrEnd();  // r3, on one of the connections
        EXPECT_TRUE(connection.waitForClose());
    }
}

}  // namespace
}  // namespace gateway::net::test
