// Clients that disconnect before their request is forwarded.
#include <utility>

#include "integration/client_disconnect_fixture.h"

namespace gateway::net::test {
namespace {

class ClientDisconnectTest : public ClientDisconnectFixture, public testing::WithParamInterface<Disconnect> {
protected:
    void startGatewayWithCounter(const SettingsSpec& settings = withLongDeadlines()) {
        GatewayOptions options = optionsWithEndpoint(endpoint, withCounter(settings, Seconds(20)));
        options.counter = counter.address();
        startGateway(options);
    }
    void startGatewayWithoutCounter() { startGateway(withLongDeadlines()); }

    RequestSpec countedRequest(const std::string& id) const {
        return unsafeRequest(id).withTenant(tenant).withTimeout(kLongTimeout);
    }
    static RequestSpec largeRequest(const std::string& id) {
        return uncountedRequest(id).withBody(std::string(30'000, 'x'));
    }

    // Sends `request` and returns the connection on which the counter is called for it.
    Socket sendAndAcceptCounterCall(const Socket& client, const RequestSpec& request) const {
        client.write(request.text());
        Socket call = counter.accept();
        EXPECT_TRUE(contains(call.receiveMessage(), "?add=1&"));
        return call;
    }
    static void expectRefund(Socket& call) { EXPECT_TRUE(contains(call.receiveMessage(), "?add=-1&")); }

    Server counter;
    const std::string tenant = tenantAtStartOfSlice();
};

INSTANTIATE_TEST_SUITE_P(Ways, ClientDisconnectTest,
                         testing::Values(Disconnect::close, Disconnect::reset, Disconnect::halfClose),
                         testing::PrintToStringParamName());

// ---- Disconnects during a counter call ------------------------------------------------------------------

TEST_P(ClientDisconnectTest, RefundsAndDoesNotForwardWhenClientClosesDuringCounterCall) {
    startGatewayWithCounter();
    Socket client = connectClient();
    Socket call = sendAndAcceptCounterCall(client, countedRequest("gone"));
    disconnect(client, GetParam());
    expectRefund(call);
    call.write(okResponse("2") + okResponse("1"));
    expectOnlyNextRequestForwarded({&endpoint});
}

// The gateway finds the counter's reply and the disconnect at once.
TEST_P(ClientDisconnectTest, RefundsAndDoesNotForwardWhenClientClosesBeforeCounterReply) {
    startGatewayWithCounter();
    Socket idle = openIdleConnection();
    Socket client = connectClient();
    Socket call = sendAndAcceptCounterCall(client, countedRequest("gone"));
    gateway().whileStopped([&] {
        call.write(okResponse("2"));
        disconnect(client, GetParam());
    });
    expectRefund(call);  // as part of the next reconciliation
    expectOnlyNextRequestForwarded({&endpoint}, {&idle});
}

// The counter does not reply, and a timer ends the wait. If that happens before the gateway is stopped, which
// a slow machine can cause, the test starts again with a longer wait.
TEST_P(ClientDisconnectTest, DoesNotForwardWhenClientClosesAsCounterWaitExpires) {
    for (double waitSeconds = 1;; waitSeconds *= 3) {
        ASSERT_LT(waitSeconds, 30);
        SettingsSpec settings = withLongDeadlines();
        settings.latencyObjective = Seconds(10 * waitSeconds);
        counter = Server();  // a new one, without connections of the previous gateway
        startGatewayWithCounter(settings);
        Socket idle = openIdleConnection();
        Socket client = connectClient();
        const Socket call = sendAndAcceptCounterCall(client, countedRequest("gone"));
        bool forwardedEarly = false;
        gateway().whileStopped([&] {
            forwardedEarly = idle.waitReadable(0);
            if (!forwardedEarly) pause(std::chrono::milliseconds(static_cast<int>(waitSeconds * 1000) + 100));
            disconnect(client, GetParam());
        });
        if (forwardedEarly) continue;
        expectOnlyNextRequestForwarded({&endpoint}, {&idle});
        return;
    }
}

// ---- Disconnects when the request arrives ---------------------------------------------------------------

TEST_P(ClientDisconnectTest, DoesNotForwardRequestThatArrivesWithDisconnect) {
    startGatewayWithoutCounter();
    Socket idle = openIdleConnection();
    Socket client = connectClient();
    waitUntilHandled(gateway());  // the gateway has accepted the client
    gateway().whileStopped([&] {
        client.write(uncountedRequest("gone").text());
        disconnect(client, GetParam());
    });
    expectOnlyNextRequestForwarded({&endpoint}, {&idle});
}

// Pipelined bytes that the gateway has not read yet precede the end of the connection.
TEST_P(ClientDisconnectTest, DoesNotForwardRequestThatArrivesWithOthersAndDisconnect) {
    startGatewayWithoutCounter();
    Socket idle = openIdleConnection();
    Socket client = connectClient();
    waitUntilHandled(gateway());
    gateway().whileStopped([&] {
        client.write(uncountedRequest("gone").text() + largeRequest("behind").text());
        disconnect(client, GetParam());
    });
    expectOnlyNextRequestForwarded({&endpoint}, {&idle});
}

// ---- Pipelined requests after one that was forwarded ----------------------------------------------------

TEST_P(ClientDisconnectTest, DoesNotForwardNextRequestWhenClientClosesDuringAttempt) {
    startGatewayWithoutCounter();
    Socket client = connectClient();
    client.write(uncountedRequest("r1").text() + uncountedRequest("r2").text());
    Socket connection = endpoint.accept();
    EXPECT_TRUE(isRequest(connection.receiveMessage(), "r1"));
    disconnect(client, GetParam());
    EXPECT_TRUE(connection.waitForClose());  // the attempt of r1 is cancelled
    expectOnlyNextRequestForwarded({&endpoint});
}

TEST_P(ClientDisconnectTest, DoesNotForwardNextRequestWhenClientClosesAsResponseArrives) {
    startGatewayWithoutCounter();
    Socket client = connectClient();
    client.write(uncountedRequest("r1").text() + uncountedRequest("r2").text());
    Socket connection = endpoint.accept();
    EXPECT_TRUE(isRequest(connection.receiveMessage(), "r1"));
    gateway().whileStopped([&] {
        connection.write(okResponse("x"));
        disconnect(client, GetParam());
    });
    expectOnlyNextRequestForwarded({&endpoint}, {&connection});
}

// ---- Disconnects behind more pipelined bytes than the gateway reads -------------------------------------

class PipelinedDisconnectTest : public ClientDisconnectTest {};

INSTANTIATE_TEST_SUITE_P(Ways, PipelinedDisconnectTest,
                         testing::Values(Disconnect::close, Disconnect::reset, Disconnect::halfClose),
                         testing::PrintToStringParamName());

TEST_P(PipelinedDisconnectTest, RefundsAndDoesNotForwardWhenClientClosesDuringCounterCall) {
    startGatewayWithCounter();
    Socket client = connectClient();
    const auto counted = [this](const char* id) {
        return safeRequest(id).withTenant(tenant).withTimeout(kLongTimeout);
    };
    Socket call = sendAndAcceptCounterCall(client, counted("r1"));
    // More than the gateway reads while a request is in flight, and less than the kernel's buffers hold.
    for (int i = 0; i < 3; ++i) client.write(largeRequest("ahead").text());
    disconnect(client, GetParam());
    expectRefund(call);
    call.write(okResponse("1") + okResponse("0"));
    Socket other = connectClient();
    other.write(counted("r2").text());
    EXPECT_TRUE(contains(call.receiveMessage(), "?add=1&"));
    // Not the first call for this slice, so the gateway does not also read the closed slice before it.
    call.write(okResponse("2"));
    Socket connection = endpoint.accept();
    EXPECT_TRUE(isRequest(connection.receiveMessage(), "r2"));
    connection.write(okResponse("served"));
    EXPECT_EQ(statusOf(other.receiveMessage()), 200);
    EXPECT_FALSE(endpoint.waitReadable(0));
}

}  // namespace
}  // namespace gateway::net::test
