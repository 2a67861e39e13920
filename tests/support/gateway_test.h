// The base of tests that run a gateway process, and the steps that they share.
#pragma once

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "support/gateway_options.h"
#include "support/gateway_process.h"
#include "support/http_messages.h"
#include "support/loopback_socket.h"
#include "support/request_spec.h"

namespace gateway::net::test {

// Sends GET /-/ready and returns the status.
int requestReadiness(Socket& client);
// Sends GET /-/ready until it is answered 200, or for kTestTimeoutMs; then the test fails.
void expectReady(const GatewayProcess& gateway);
// Sends GET /-/ready until it is not answered 200, as after SIGTERM.
void waitUntilNotReady(Socket& client);
// Returns once the gateway has handled all that arrived there before.
void waitUntilHandled(const GatewayProcess& gateway);

// Accepts the connection of an attempt and reads its request.
Socket acceptAttempt(const Server& endpoint);
// The same at whichever endpoint it comes to.
struct AttemptAtOneOfTwo {
    Socket connection;
    const Server& endpoint;
    const Server& otherEndpoint;
};
AttemptAtOneOfTwo acceptAttemptAtEither(const Server& first, const Server& second);

// Sends `count` requests one after the other, and expects that each reaches `endpoint` on a connection of its
// own and is served.
void expectServedBy(const GatewayProcess& gateway, const Server& endpoint, int count);

// A test with one gateway, which it starts itself, and one endpoint.
class GatewayTest : public testing::Test {
protected:
    GatewayProcess& startGateway(GatewayOptions options);
    // In front of `endpoint` alone.
    GatewayProcess& startGateway(const SettingsSpec& settings = {});

    GatewayProcess& gateway() { return *gateway_; }
    Socket connectClient() const { return gateway_->connectClient(); }

    // Sends the request and returns the connection to `endpoint` on which it arrived, with the request read.
    Socket sendToEndpoint(const Socket& client, const RequestSpec& request) const;
    // Serves one request and returns the connection to `endpoint`, which is idle now.
    Socket openIdleConnection() const;

    Server endpoint;

private:
    std::optional<GatewayProcess> gateway_;
};

}  // namespace gateway::net::test
