// Clients that disconnect while an attempt of their request is being made.
#include <fstream>
#include <iomanip>
#include <sstream>
#include <string>
#include <tuple>

#include "integration/client_disconnect_fixture.h"

namespace gateway::net::test {
namespace {

// How the client disconnects, and whether attempts may be cancelled.
using DisconnectAndCancellation = std::tuple<Disconnect, bool>;

std::string nameOf(const testing::TestParamInfo<DisconnectAndCancellation>& info) {
    const auto [disconnect, isCancellationAllowed] = info.param;
    return testing::PrintToString(disconnect) +
           (isCancellationAllowed ? "WithCancellation" : "WithoutCancellation");
}

class DisconnectWhileConnectingTest : public ClientDisconnectFixture,
                                      public testing::WithParamInterface<DisconnectAndCancellation> {
protected:
    static SettingsSpec settings() {
        SettingsSpec settings = withLongDeadlines();
        settings.cancellationAllowed = std::get<bool>(GetParam());
        return settings;
    }
    static void disconnectClient(Socket& client) { disconnect(client, std::get<Disconnect>(GetParam())); }

    SaturatedServer saturated;
    Server counter;
    const std::string tenant = tenantAtStartOfSlice();
};

INSTANTIATE_TEST_SUITE_P(Ways, DisconnectWhileConnectingTest,
                         testing::Combine(testing::Values(Disconnect::close, Disconnect::reset,
                                                          Disconnect::halfClose),
                                          testing::Bool()),
                         nameOf);

TEST_P(DisconnectWhileConnectingTest, DoesNotSendWhenClientClosesAsConnectionCompletes) {
    startGateway(optionsWithEndpoint(saturated, settings()));
    Socket client = connectClient();
    client.write(uncountedRequest("gone").text());
    waitUntilHandled(gateway());  // the gateway has started to connect to the endpoint
    Socket connection;
    gateway().whileStopped([&] {
        connection = saturated.acceptPending();
        disconnectClient(client);
    });
    EXPECT_TRUE(connection.waitForClose());
    expectOnlyNextRequestForwarded({&saturated});
}

// A request that was not written to an endpoint is refunded, even if attempts may not be cancelled.
TEST_P(DisconnectWhileConnectingTest, RefundsAndDoesNotSendWhenClientClosesDuringConnect) {
    GatewayOptions options = optionsWithEndpoint(saturated, withCounter(settings(), Seconds(20)));
    options.counter = counter.address();
    startGateway(options);
    Socket client = connectClient();
    client.write(unsafeRequest("r1").withTenant(tenant).withTimeout(kLongTimeout).text());
    Socket call = counter.accept();
    EXPECT_TRUE(contains(call.receiveMessage(), "?add=1&"));
    call.write(okResponse("2"));
    waitUntilHandled(gateway());  // the gateway has started to connect to the endpoint
    disconnectClient(client);
    EXPECT_TRUE(contains(call.receiveMessage(), "?add=-1&"));
    saturated.accept();
    call.write(okResponse("1"));
    Socket other = connectClient();
    other.write(uncountedRequest("r2").text());
    Socket connection = saturated.accept();
    EXPECT_TRUE(isRequest(connection.receiveMessage(), "r2"));
    connection.write(okResponse("served"));
    EXPECT_EQ(statusOf(other.receiveMessage()), 200);
    EXPECT_FALSE(saturated.waitReadable(1500));  // the kernel repeats a SYN after 1 s
}

// ---- Disconnects when an attempt fails ------------------------------------------------------------------

enum class AttemptFailure { notStarted, serverError, invalidResponse, closed, reset };
std::ostream& operator<<(std::ostream& out, AttemptFailure failure) {
    constexpr const char* kNames[] = {"NotStarted", "ServerError", "InvalidResponse", "Closed", "Reset"};
    return out << kNames[static_cast<std::size_t>(failure)];
}

// Returns false if the connection to the endpoint stays open.
bool endsConnection(AttemptFailure failure) {
    return failure != AttemptFailure::notStarted && failure != AttemptFailure::serverError;
}

void failAttempt(Socket& connection, AttemptFailure failure) {
    switch (failure) {
        case AttemptFailure::notStarted:
            return connection.write(kNotStartedResponse);
        case AttemptFailure::serverError:
            return connection.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
        case AttemptFailure::invalidResponse:
            return connection.write("garbage\r\n\r\n");
        case AttemptFailure::closed:
            return connection.close();
        case AttemptFailure::reset:
            return connection.reset();
    }
}

using DisconnectAndFailure = std::tuple<Disconnect, AttemptFailure>;

std::string nameOfFailure(const testing::TestParamInfo<DisconnectAndFailure>& info) {
    const auto [disconnect, failure] = info.param;
    return testing::PrintToString(disconnect) + "After" + testing::PrintToString(failure);
}

class DisconnectBeforeRetryTest : public ClientDisconnectFixture,
                                  public testing::WithParamInterface<DisconnectAndFailure> {
protected:
    void startGatewayWithTwoEndpoints(const SettingsSpec& settings) {
        GatewayOptions options;
        options.knownEndpoints = {listedEndpoint("a", endpoint), listedEndpoint("b", otherEndpoint)};
        options.settings = settings;
        startGateway(options);
    }
    AttemptAtOneOfTwo sendSafeRequest(const Socket& client) const {
        client.write(safeRequest("gone").withoutQuota().withTimeout(kLongTimeout).text());
        return acceptAttemptAtEither(endpoint, otherEndpoint);
    }
    // Expects no retry on a new connection, nor on the attempt's `connection` if that stays open.
    void expectNoRetry(Socket& connection) const {
        std::vector<Socket*> open;
        if (!endsConnection(failure())) open.push_back(&connection);
        expectOnlyNextRequestForwarded({&endpoint, &otherEndpoint}, open);
    }

    static void disconnectClient(Socket& client) { disconnect(client, std::get<Disconnect>(GetParam())); }
    static AttemptFailure failure() { return std::get<AttemptFailure>(GetParam()); }

    Server otherEndpoint;
};

INSTANTIATE_TEST_SUITE_P(
    Ways, DisconnectBeforeRetryTest,
    testing::Combine(testing::Values(Disconnect::close, Disconnect::reset, Disconnect::halfClose),
                     testing::Values(AttemptFailure::notStarted, AttemptFailure::serverError,
                                     AttemptFailure::invalidResponse, AttemptFailure::closed,
                                     AttemptFailure::reset)),
    nameOfFailure);

TEST_P(DisconnectBeforeRetryTest, DoesNotRetryWhenClientClosesAsAttemptFails) {
    startGatewayWithTwoEndpoints(withLongDeadlines());
    Socket client = connectClient();
    auto attempt = sendSafeRequest(client);
    gateway().whileStopped([&] {
        failAttempt(attempt.connection, failure());
        disconnectClient(client);
    });
    expectNoRetry(attempt.connection);
}

TEST_P(DisconnectBeforeRetryTest, DoesNotRetryUncancellableAttemptThatFailsAfterDisconnect) {
    startGatewayWithTwoEndpoints(withoutCancellation(withLongDeadlines()));
    Socket client = connectClient();
    auto attempt = sendSafeRequest(client);
    disconnectClient(client);
    waitUntilHandled(gateway());
    EXPECT_FALSE(attempt.connection.waitReadable(0));  // the attempt is not cancelled
    failAttempt(attempt.connection, failure());
    expectNoRetry(attempt.connection);
}

// ---- Disconnects when the connection is refused ---------------------------------------------------------

// Returns true if a connection to `port` on loopback has not been established yet.
bool isConnectingTo(unsigned short port) {
    constexpr const char* kSynSent = "02";
    std::ostringstream peer;
    peer << "0100007F:" << std::uppercase << std::hex << std::setw(4) << std::setfill('0') << port;
    std::ifstream connections("/proc/net/tcp");
    for (std::string line; std::getline(connections, line);) {
        std::istringstream fields(line);
        std::string number;
        std::string localAddress;
        std::string peerAddress;
        std::string state;
        fields >> number >> localAddress >> peerAddress >> state;
        if (peerAddress == peer.str() && state == kSynSent) return true;
    }
    return false;
}

class DisconnectAsConnectionIsRefusedTest : public ClientDisconnectFixture,
                                            public testing::WithParamInterface<Disconnect> {
protected:
    void SetUp() override {
        GatewayOptions options;
        options.settings = withLongDeadlines();
        startGateway(options);
        watch = gateway().discovery().accept();
        watch.receiveMessage();
    }
    // Sends the endpoint in a delta, and returns once the gateway has applied it.
    void announce(int index, const ListedEndpoint& listed) {
        watch.write(kChunkedHead + deltaChunk(index, {listed}));
        watch.close();
        watch = gateway().discovery().accept();
        EXPECT_TRUE(contains(watch.receiveMessage(), "since=" + std::to_string(index) + " "));
    }

    Socket watch;
};

INSTANTIATE_TEST_SUITE_P(Ways, DisconnectAsConnectionIsRefusedTest,
                         testing::Values(Disconnect::close, Disconnect::reset, Disconnect::halfClose),
                         testing::PrintToStringParamName());

TEST_P(DisconnectAsConnectionIsRefusedTest, DoesNotRetry) {
    // Created after the gateway's process was forked, so that the process holds no copy of its descriptor.
    SaturatedServer refusing;
    announce(42, listedEndpoint("w", refusing));
    Socket client = connectClient();
    client.write(uncountedRequest("gone").text());
    waitUntilHandled(gateway());
    ASSERT_TRUE(isConnectingTo(refusing.port()));
    announce(43, listedEndpoint("v", endpoint));  // an endpoint for a retry
    gateway().whileStopped([&] {
        refusing.close();
        // The connection is refused when the kernel repeats the SYN, after about 1 s.
        while (isConnectingTo(refusing.port())) pause(std::chrono::milliseconds(1));
        disconnect(client, GetParam());
    });
    expectOnlyNextRequestForwarded({&endpoint});
}

// ---- Disconnects before the response is complete --------------------------------------------------------

class DisconnectDuringAttemptTest : public GatewayTest {};

TEST_F(DisconnectDuringAttemptTest, CancelsAttemptWhenClientCloses) {
    startGateway();
    Socket client = connectClient();
    Socket connection = sendToEndpoint(client, safeRequest("r"));
    client.close();
    EXPECT_TRUE(connection.waitForClose());
}

// Part of a response, or all of it, arrives when the gateway closes the connection to the endpoint.
TEST_F(DisconnectDuringAttemptTest, DiscardsResponseToCancelledAttempt) {
    for (const std::string& response : {std::string("HTTP/1.1 200 O"), okResponse("late")}) {
        SCOPED_TRACE(response);
        startGateway(withLongDeadlines());
        Socket client = connectClient();
        Socket connection = sendToEndpoint(client, unsafeRequest("gone").withTimeout(kLongTimeout));
        waitUntilHandled(gateway());  // else the endpoint's socket may be reported first, as it was writable
        gateway().whileStopped([&] {
            client.close();
            connection.write(response);
        });
        while (connection.readSome()) {
        }
        Socket other = connectClient();
        other.write(unsafeRequest("other").withTimeout(kLongTimeout).text());
        Socket next = endpoint.accept();
        EXPECT_TRUE(isRequest(next.receiveMessage(), "other"));
        next.write(okResponse("its own"));
        EXPECT_EQ(bodyOf(other.receiveMessage()), "its own");
    }
}

}  // namespace
}  // namespace gateway::net::test
