// The fixture of tests that run one gateway process, and steps that tests of gateway processes share.
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

// Sends GET /-/ready and returns the status of the response.
int requestReadiness(Socket& client);
// Repeats GET /-/ready until the response is 200. The test fails if that takes longer than kTestTimeoutMs.
void expectReady(const GatewayProcess& gateway);
// Repeats GET /-/ready until the response is not 200, as after SIGTERM.
void waitUntilNotReady(Socket& client);
// Returns once the gateway has handled all input that arrived before the call.
void waitUntilHandled(const GatewayProcess& gateway);

// Accepts the connection of an attempt and reads its request.
Socket acceptAttempt(const Server& endpoint);
// An attempt that reached one of two endpoints.
struct AttemptAtOneOfTwo {
    Socket connection;
    const Server& endpoint;
    const Server& otherEndpoint;
};
AttemptAtOneOfTwo acceptAttemptAtEither(const Server& first, const Server& second);

// Sends `count` requests one after the other. Expects that each reaches `endpoint` on a connection of its
// own, and that its client receives the response.
void expectServedBy(const GatewayProcess& gateway, const Server& endpoint, int count);

// A test with one endpoint, and with one gateway, which the test starts.
class GatewayTest : public testing::Test {
protected:
    GatewayProcess& startGateway(GatewayOptions options);
    // Starts a gateway whose only endpoint is `endpoint`.
    GatewayProcess& startGateway(const SettingsSpec& settings = {});

    GatewayProcess& gateway() { return *gateway_; }
    Socket connectClient() const { return gateway_->connectClient(); }

    // Sends the request and returns the connection to `endpoint` on which it arrived, with the request read.
    Socket sendToEndpoint(const Socket& client, const RequestSpec& request) const;
    // Serves one request and returns the connection to `endpoint`, which is idle from then on.
    Socket openIdleConnection() const;

    Server endpoint;

private:
    std::optional<GatewayProcess> gateway_;
};

}  // namespace gateway::net::test
