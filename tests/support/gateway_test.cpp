#include "support/gateway_test.h"

#include <utility>

namespace gateway::net::test {

int requestReadiness(Socket& client) {
    client.write("GET /-/ready HTTP/1.1\r\n\r\n");
    return statusOf(client.receiveMessage());
}

void expectReady(const GatewayProcess& gateway) {
    constexpr int kPollIntervalMs = 10;
    Socket client = gateway.connectClient();
    for (int i = 0; i < kTestTimeoutMs / kPollIntervalMs; ++i) {
        if (requestReadiness(client) == 200) return;
        pause(std::chrono::milliseconds(kPollIntervalMs));
    }
    ADD_FAILURE() << "the gateway did not become ready within " << kTestTimeoutMs << " ms";
}

void waitUntilNotReady(Socket& client) {
    while (requestReadiness(client) == 200) {
    }
}

void waitUntilHandled(const GatewayProcess& gateway) {
    Socket probe = gateway.connectClient();
    requestReadiness(probe);
}

Socket acceptAttempt(const Server& endpoint) {
    Socket connection = endpoint.accept();
    connection.receiveMessage();
    return connection;
}

AttemptAtOneOfTwo acceptAttemptAtEither(const Server& first, const Server& second) {
    const bool isFirst = waitForReadable({&first, &second}).front() == &first;
    const Server& endpoint = isFirst ? first : second;
    return {acceptAttempt(endpoint), endpoint, isFirst ? second : first};
}

void expectServedBy(const GatewayProcess& gateway, const Server& endpoint, int count) {
    for (int i = 0; i < count; ++i) {
        Socket client = gateway.connectClient();
        client.write(unsafeRequest("r" + std::to_string(i)).text());
        acceptAttempt(endpoint).write(okResponseAndClose());
        EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    }
}

GatewayProcess& GatewayTest::startGateway(GatewayOptions options) {
    return gateway_.emplace(std::move(options));
}

GatewayProcess& GatewayTest::startGateway(const SettingsSpec& settings) {
    return startGateway(optionsWithEndpoint(endpoint, settings));
}

Socket GatewayTest::sendToEndpoint(const Socket& client, const RequestSpec& request) const {
    client.write(request.text());
    return acceptAttempt(endpoint);
}

Socket GatewayTest::openIdleConnection() const {
    Socket client = connectClient();
    Socket connection = sendToEndpoint(client, safeRequest("first").withoutQuota().withTimeout(kLongTimeout));
    connection.write(okResponse("x"));
    client.receiveMessage();
    return connection;
}

}  // namespace gateway::net::test
