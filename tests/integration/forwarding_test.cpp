// Forwarding of requests to endpoints, and retries of failed attempts.
#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

class ForwardingTest : public GatewayTest {
protected:
    void startGatewayWithTwoEndpoints() {
        GatewayOptions options;
        options.knownEndpoints = {listedEndpoint("a", endpoint), listedEndpoint("b", otherEndpoint)};
        startGateway(options);
    }

    Server otherEndpoint;
};

TEST_F(ForwardingTest, ForwardsRequestUnchangedAndReturnsEndpointBody) {
    startGateway();
    Socket client = connectClient();
    client.write(keyedRequest("r1").withBody("gold=5").text());
    Socket connection = endpoint.accept();
    const std::string forwarded = connection.receiveMessage();
    EXPECT_TRUE(contains(forwarded, "POST /change?slot=7 HTTP/1.1\r\n")) << forwarded;
    EXPECT_TRUE(isRequest(forwarded, "r1")) << forwarded;
    EXPECT_TRUE(contains(forwarded, "Idempotency-Key: k-r1\r\n")) << forwarded;
    EXPECT_EQ(bodyOf(forwarded), "gold=5");
    connection.write(okResponse("done \r\n\r\n1"));
    const std::string response = client.receiveMessage();
    EXPECT_EQ(statusOf(response), 200);
    EXPECT_EQ(bodyOf(response), "done \r\n\r\n1");

    // Both connections stay open and carry the next request.
    client.write(safeRequest("r2").text());
    EXPECT_TRUE(contains(connection.receiveMessage(), "GET /load?slot=7 HTTP/1.1\r\n"));
    connection.write(okResponse("two"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "two");
}

// Guards against a 502 for a request that ran and whose response ends with its connection.
TEST_F(ForwardingTest, ReturnsResponseWithoutLengthOnceItsConnectionIsClosed) {
    startGateway();
    Socket client = connectClient();
    for (const std::string version : {"1.1", "1.0"}) {
        Socket connection = sendToEndpoint(client, unsafeRequest("r" + version));
        connection.write("HTTP/" + version + " 200 OK\r\nContent-Type: text/plain\r\n\r\nbegun, ");
        connection.write("finished");
        connection.close();
        const std::string response = client.receiveMessage();
        EXPECT_EQ(statusOf(response), 200);
        EXPECT_TRUE(contains(response, "Content-Type: text/plain\r\n")) << response;
        EXPECT_EQ(bodyOf(response), "begun, finished");
    }
}

TEST_F(ForwardingTest, RetriesUnsafeRequestAfterRefusedConnection) {
    GatewayOptions options;
    const ListedEndpoint refusing =
        listedEndpoint("dead", Server());  // its server is closed before the gateway starts
    options.knownEndpoints = {refusing, listedEndpoint("w", endpoint)};
    startGateway(options);
    // Whichever endpoint the gateway tries first, the reachable one receives every request, once.
    Socket connection;
    for (const std::string id : {"r0", "r1", "r2", "r3"}) {
        Socket client = connectClient();
        client.write(unsafeRequest(id).text());
        if (connection.fd() < 0) connection = endpoint.accept();
        EXPECT_TRUE(isRequest(connection.receiveMessage(), id));
        connection.write(okResponse("served"));
        EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    }
}

TEST_F(ForwardingTest, RetriesRejectedAttemptOnAnotherEndpoint) {
    startGatewayWithTwoEndpoints();
    Socket client = connectClient();
    client.write(unsafeRequest("r").text());
    const auto rejected = acceptAttemptAtEither(endpoint, otherEndpoint);
    rejected.connection.write(kNotStartedResponse);
    const Socket retry = acceptAttempt(rejected.otherEndpoint);
    retry.write(okResponse("yes"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "yes");
}

// The endpoint may have run the request.
TEST_F(ForwardingTest, DoesNotRetrySentUnsafeRequestAfterConnectionFailure) {
    startGatewayWithTwoEndpoints();
    const std::string withoutLength = "HTTP/1.1 200 OK\r\n\r\nno length";
    for (const std::string received :
         {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", withoutLength.c_str(), "garbage\r\n\r\n"}) {
        SCOPED_TRACE("response: " + received);
        Socket client = connectClient();
        client.write(unsafeRequest("r" + std::to_string(received.size())).text());
        auto attempt = acceptAttemptAtEither(endpoint, otherEndpoint);
        if (!received.empty()) attempt.connection.write(received);
        if (received == withoutLength)
            attempt.connection.reset();  // a close in order would complete this response
        else
            attempt.connection.close();
        const int status = statusOf(client.receiveMessage());
        EXPECT_NE(status, 200);
        EXPECT_NE(status, 429);  // 429 and 503 mean that the request did not run
        EXPECT_NE(status, 503);
        EXPECT_TRUE(readableNow({&endpoint, &otherEndpoint}).empty());
    }
}

// The endpoint may have run the request, so the response is a failure (502), not a rejection (429).
TEST_F(ForwardingTest, FailsUnsafeRequestAtDeadlineOfSilentEndpoint) {
    startGateway();
    Socket client = connectClient();
    Socket connection =
        sendToEndpoint(client, unsafeRequest("r").withTimeout(std::chrono::milliseconds(1500)));
    EXPECT_EQ(statusOf(client.receiveMessage()), 502);
    EXPECT_TRUE(connection.waitForClose());  // the connection is not reused
}

}  // namespace
}  // namespace gateway::net::test
