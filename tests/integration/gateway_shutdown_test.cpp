// Graceful shutdown after SIGTERM: the requests that a gateway still serves, and how it exits.
#include <gtest/gtest.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

class GatewayShutdownTest : public GatewayTest {
protected:
    // Starts a gateway that after SIGTERM keeps listening, and closes idle connections at once.
    void startGatewayThatKeepsListening(const SettingsSpec& settings = {}) {
        GatewayOptions options = optionsWithEndpoint(endpoint, settings);
        options.timing.listenGracePeriod = std::chrono::hours(1);
        options.timing.idleGracePeriod = std::chrono::milliseconds(1);
        startGateway(options);
    }

    // Starts a gateway that after SIGTERM stops listening at once, and closes no idle connections.
    void startGatewayThatStopsListening(const SettingsSpec& settings = withLongDeadlines()) {
        GatewayOptions options = optionsWithEndpoint(endpoint, settings);
        options.timing.listenGracePeriod = std::chrono::milliseconds(1);
        options.timing.idleGracePeriod = std::chrono::hours(1);
        startGateway(options);
    }

    // Sends SIGTERM, and returns when it is too late for further requests.
    void terminateAndPassLastRequest() {
        gateway().terminate();
        EXPECT_THROW(for (;;) connectClient(), std::runtime_error);  // until the gateway stops listening
        pause(std::chrono::milliseconds(300));                       // more than new connections are given
    }

    static void expectFinalResponse(Socket& client) {
        const std::string response = client.receiveMessage();
        EXPECT_EQ(statusOf(response), 200);
        EXPECT_TRUE(contains(response, "Connection: close"));
    }
};

TEST_F(GatewayShutdownTest, AnswersAcceptedRequestsAndExitsWithZero) {
    startGateway();
    Socket client = connectClient();
    Socket idle = connectClient();
    EXPECT_EQ(requestReadiness(idle), 200);
    const Socket connection = sendToEndpoint(client, safeRequest("r1"));
    gateway().terminate();
    int status = 200;
    while (status == 200) {  // until the gateway has handled the signal
        Socket probe = connectClient();
        status = requestReadiness(probe);
    }
    EXPECT_EQ(status, 503);
    Socket late = connectClient();  // the gateway is still listening
    const Socket lateConnection = sendToEndpoint(late, safeRequest("r2"));
    EXPECT_TRUE(idle.waitForClose());
    lateConnection.write(okResponse("two"));
    connection.write(okResponse("one"));
    for (Socket* served : {&client, &late}) {
        expectFinalResponse(*served);
        served->close();
    }
    EXPECT_EQ(gateway().waitForExit(), 0);
}

// A client may send a request just when the gateway closes its idle connection. It then repeats the request
// on a new connection, which the gateway must accept.
TEST_F(GatewayShutdownTest, ClosesIdleConnectionsWhileItStillListens) {
    startGatewayThatKeepsListening();
    Socket idle = connectClient();
    EXPECT_EQ(requestReadiness(idle), 200);
    gateway().terminate();
    EXPECT_TRUE(idle.waitForClose());
    Socket again = connectClient();
    sendToEndpoint(again, unsafeRequest("r")).write(okResponse("served"));
    expectFinalResponse(again);
}

// The gateway finds a request and SIGTERM at once. It does not forward a request that arrives after it has
// closed its sending side, be it after a final response or of an idle connection.
TEST_F(GatewayShutdownTest, AnswersRequestThatArrivesWithSignalAndDiscardsLaterOnes) {
    const auto longRequest = [](const char* id) { return unsafeRequest(id).withTimeout(kLongTimeout); };
    startGatewayThatKeepsListening(withLongDeadlines());
    Socket used = connectClient();
    Socket idle = connectClient();
    EXPECT_EQ(requestReadiness(used), 200);
    EXPECT_EQ(requestReadiness(idle), 200);
    gateway().whileStopped([&] {
        used.write(longRequest("with").text());
        gateway().terminate();
    });
    Socket connection = endpoint.accept();
    EXPECT_TRUE(isRequest(connection.receiveMessage(), "with"));
    EXPECT_TRUE(idle.waitForClose());
    connection.write(okResponse("served"));
    expectFinalResponse(used);
    EXPECT_TRUE(used.waitForClose());
    for (const Socket* late : {&used, &idle}) {
        try {
            late->write(longRequest("late").text());
        } catch (const std::runtime_error&) {  // the gateway has closed both directions
        }
    }
    Socket other = connectClient();
    other.write(longRequest("other").text());
    EXPECT_TRUE(isRequest(connection.receiveMessage(), "other"));
    connection.write(okResponse("served"));
    EXPECT_EQ(statusOf(other.receiveMessage()), 200);
    EXPECT_FALSE(endpoint.waitReadable(0));
}

// Guards against a request that is still in flight when SIGKILL comes.
TEST_F(GatewayShutdownTest, RejectsRequestThatArrivesAfterItStoppedListening) {
    startGatewayThatStopsListening();
    Socket client = connectClient();
    EXPECT_EQ(requestReadiness(client), 200);
    terminateAndPassLastRequest();
    client.write(unsafeRequest("late").withTimeout(kLongTimeout).text());
    const std::string response = client.receiveMessage();
    EXPECT_EQ(statusOf(response), 503);
    EXPECT_TRUE(contains(response, "Connection: close"));
    EXPECT_FALSE(endpoint.waitReadable(0));
}

// Guards against requests that are read and dropped: those behind a request that is rejected as too late.
TEST_F(GatewayShutdownTest, AnswersEveryRequestSentAtOnceAfterItStoppedListening) {
    startGatewayThatStopsListening();
    Socket client = connectClient();
    const auto late = [](const std::string& id) { return unsafeRequest(id).withTimeout(kLongTimeout); };
    Socket connection = sendToEndpoint(client, late("in flight"));
    terminateAndPassLastRequest();
    // The third one is left in the kernel while the first one is in flight.
    client.write(late("2").text() + late("3").withBody(std::string(30'000, 'x')).text() + late("4").text());
    connection.write(okResponse("served"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    for (const bool isLast : {false, false, true}) {
        const std::string response = client.receiveMessage();
        EXPECT_EQ(statusOf(response), 503);
        EXPECT_EQ(contains(response, "Connection: close"), isLast);
    }
    EXPECT_TRUE(client.waitForClose());
    EXPECT_FALSE(endpoint.waitReadable(0));
}

// Guards against a client that sends without end, so that the process never exits.
TEST_F(GatewayShutdownTest, EndsConnectionOfClientThatSendsWithoutEnd) {
    SettingsSpec settings;
    settings.deadline = Seconds(0.1);
    startGatewayThatStopsListening(settings);
    Socket client = connectClient();
    const std::string request = "GET /-/ready HTTP/1.1\r\n\r\n";
    std::string requests;
    for (int i = 0; i < 1000; ++i) requests += request;
    client.write(request);
    client.receiveMessage();
    gateway().terminate();
    const std::jthread sender([&] {
        try {
            for (;;) client.write(requests);
        } catch (const std::runtime_error&) {  // the gateway has closed the connection
        }
    });
    std::string response;
    while (!contains(response, "Connection: close")) response = client.receiveMessage();
    EXPECT_EQ(gateway().waitForExit(), 0);
}

// A reload during shutdown changes the addresses as usual, and requests in flight are still answered.
TEST_F(GatewayShutdownTest, IgnoresInvalidReloadAndAppliesValidOneWhileDraining) {
    const Server newDiscovery;
    startGateway();
    Socket watch = gateway().discovery().accept();
    watch.receiveMessage();
    Socket client = connectClient();
    Socket probe = connectClient();
    const Socket connection = sendToEndpoint(client, unsafeRequest("r"));
    gateway().terminate();
    waitUntilNotReady(probe);
    gateway().reload("{\"discovery\": 7");
    gateway().reload(newDiscovery);
    EXPECT_TRUE(contains(newDiscovery.accept().receiveMessage(), "GET /api/targets HTTP/1.1"));
    EXPECT_TRUE(watch.waitForClose());
    connection.write(okResponse("served"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    client.close();
    EXPECT_EQ(gateway().waitForExit(), 0);
}

// The gateway sends a reconciliation some time after the response that causes it. By then no client is
// connected.
TEST_F(GatewayShutdownTest, SendsReconciliationOfLastResponseBeforeExit) {
    const Server counter;
    SettingsSpec settings = withCounter(withLongDeadlines(), Seconds(20));
    settings.reconciliationEnabled = true;
    settings.quotaRate = 8;  // slices of half a second
    settings.quotaBurst = 4;
    GatewayOptions options = optionsWithEndpoint(endpoint, settings);
    options.counter = counter.address();
    options.timing.listenGracePeriod = std::chrono::milliseconds(1);
    options.timing.idleGracePeriod = std::chrono::milliseconds(1);
    startGateway(options);
    Socket client = connectClient();
    client.write(safeRequest("r").withTimeout(kLongTimeout).text());
    Socket call = counter.accept();
    EXPECT_TRUE(contains(call.receiveMessage(), "?add=1&"));
    call.write(okResponse("2"));
    const Socket connection = acceptAttempt(endpoint);
    gateway().terminate();
    EXPECT_THROW(for (;;) connectClient(), std::runtime_error);  // until the gateway stops listening
    connection.write(okResponse("served", "X-Settled: 3\r\n"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    client.close();
    // A new slice has begun by now. Its name differs, and calls for it may use another connection.
    std::optional<std::string> reconciliation;
    while (!reconciliation) {
        if (waitForReadable({&call, &counter}).back() == &counter) call = counter.accept();
        reconciliation = call.receiveMessageOrEnd();
        if (!reconciliation) call.close();
    }
    EXPECT_TRUE(contains(*reconciliation, "?add=2&")) << *reconciliation;
    call.write(okResponse("2"));
    EXPECT_EQ(gateway().waitForExit(), 0);
}

}  // namespace
}  // namespace gateway::net::test
