// Connections to endpoints that complete late or not at all.
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

// ---- Retries whose connection completes late ------------------------------------------------------------

// A gateway, an endpoint at which a first attempt fails, and a server to which the retry connects late.
class LateRetry {
public:
    explicit LateRetry(const SettingsSpec& settings)
        : gateway_(optionsWithEndpoint(endpoint_, settings)), watch_(gateway_.discovery().accept()) {
        watch_.receiveMessage();
    }

    // Sends `request`, makes the saturated server the only endpoint, and calls `fail` with the connection of
    // the first attempt to make it fail. Returns false if the gateway answers the request without a retry.
    bool beginRetry(const RequestSpec& request, const std::function<void(Socket&)>& fail) {
        client.write(request.text());
        Socket connection = acceptAttempt(endpoint_);
        watch_.write(kChunkedHead + snapshotChunk(42, {listedEndpoint("full", saturated_)}));
        watch_.close();
        watch_ = gateway_.discovery().accept();  // the gateway has applied the list
        fail(connection);
        waitUntilHandled(gateway_);
        return !client.waitReadable(0);
    }

    Socket completeConnection() const { return saturated_.acceptPending(); }

private:
    Server endpoint_;
    SaturatedServer saturated_;
    GatewayProcess gateway_;
    Socket watch_;

public:
    Socket client = gateway_.connectClient();
};

class LateRetryTest : public testing::Test {};

TEST_F(LateRetryTest, ForwardsRemainingTimeoutWhenConnectionCompletes) {
    LateRetry retry(withLongDeadlines());
    ASSERT_TRUE(retry.beginRetry(unsafeRequest("r").withTimeout(kLongTimeout),
                                 [](Socket& connection) { connection.write(kNotStartedResponse); }));
    pause(std::chrono::milliseconds(500));
    Socket connection = retry.completeConnection();
    EXPECT_LE(announcedTimeout(connection.receiveMessage()), kLongTimeout - std::chrono::milliseconds(500));
    connection.write(okResponse("served"));
    EXPECT_EQ(statusOf(retry.client.receiveMessage()), 200);
}

TEST_F(LateRetryTest, SendsKeyedRetryWithinIdempotencyWindow) {
    SettingsSpec settings = withLongDeadlines();
    settings.idempotencyWindow = Seconds(400);
    LateRetry retry(settings);
    ASSERT_TRUE(retry.beginRetry(keyedRequest("r").withTimeout(kLongTimeout),
                                 [](Socket& connection) { connection.reset(); }));
    Socket connection = retry.completeConnection();
    EXPECT_TRUE(contains(connection.receiveMessage(), "Idempotency-Key: k-r\r\n"));
    connection.write(okResponse("served"));
    EXPECT_EQ(statusOf(retry.client.receiveMessage()), 200);
}

// The parameter is the value of the setting "group", the deduplication scope.
class LateRetryWithKeyTest : public testing::TestWithParam<std::string> {};

INSTANTIATE_TEST_SUITE_P(DeduplicationScopes, LateRetryWithKeyTest, testing::Values("all", "zone", "cell"),
                         [](const auto& parameter) { return parameter.param; });

TEST_P(LateRetryWithKeyTest, IsNotSentAfterIdempotencyWindow) {
    // If the window ends before the retry begins, as it can on a slow machine, the test starts again with a
    // longer one.
    for (double windowSeconds = 1;; windowSeconds *= 3) {
        ASSERT_LT(windowSeconds, 30);
        SettingsSpec settings = withLongDeadlines();
        settings.idempotencyWindow = Seconds(windowSeconds);
        settings.deduplicationScope = GetParam();
        LateRetry retry(settings);
        if (!retry.beginRetry(keyedRequest("r").withTimeout(kLongTimeout),
                              [](Socket& connection) { connection.reset(); }))
            continue;
        pause(std::chrono::milliseconds(static_cast<int>(windowSeconds * 1000)));
        Socket connection = retry.completeConnection();
        EXPECT_TRUE(connection.waitForClose());
        // The first attempt may have run. A rejection would tell the client that it did not.
        const int status = statusOf(retry.client.receiveMessage());
        EXPECT_NE(status, 200);
        EXPECT_NE(status, 429);
        EXPECT_NE(status, 503);
        return;
    }
}

// ---- First attempts -------------------------------------------------------------------------------------

class UpstreamConnectTest : public GatewayTest {
protected:
    SaturatedServer saturated;
};

// Whichever endpoint the gateway tries first, every request is served: an attempt whose connection does not
// complete in time is retried.
TEST_F(UpstreamConnectTest, RetriesOnAnotherEndpointAfterConnectTimeout) {
    GatewayOptions options;
    options.knownEndpoints = {listedEndpoint("full", saturated), listedEndpoint("w", endpoint)};
    options.settings = withLongDeadlines();
    options.settings.connectTimeout = Seconds(0.2);
    startGateway(options);
    Socket connection;
    for (const std::string id : {"r0", "r1", "r2", "r3"}) {
        Socket client = connectClient();
        client.write(unsafeRequest(id).withoutQuota().withTimeout(kLongTimeout).text());
        if (connection.fd() < 0) connection = endpoint.accept();
        EXPECT_TRUE(isRequest(connection.receiveMessage(), id));
        connection.write(okResponse("served"));
        EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    }
}

TEST_F(UpstreamConnectTest, DoesNotSendToEndpointThatStartedDrainingWhileConnecting) {
    startGateway(optionsWithEndpoint(saturated));
    Socket watch = gateway().discovery().accept();
    watch.receiveMessage();
    watch.write(kChunkedHead);
    Socket client = connectClient();
    client.write(unsafeRequest("r").text());
    waitUntilHandled(gateway());
    watch.write(deltaChunk(60, {listedEndpoint("w", saturated, "terminating")}));
    Socket connection = saturated.acceptPending();  // after the drain grace period has ended
    EXPECT_TRUE(connection.waitForClose());
    EXPECT_EQ(statusOf(client.receiveMessage()), 429);  // the request did not run
}

}  // namespace
}  // namespace gateway::net::test
