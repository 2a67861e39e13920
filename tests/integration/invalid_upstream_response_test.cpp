// Responses of endpoints that are invalid, incomplete or too large.
#include <gtest/gtest.h>

#include <ostream>
#include <stdexcept>
#include <string>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

class InvalidUpstreamResponseTest : public GatewayTest {};

// Beast 1.74 does not apply its body limit if the body begins in the same read as the head.
TEST_F(InvalidUpstreamResponseTest, RejectsOversizedContentLengthAtOnceAndRetries) {
    startGateway();
    Socket client = connectClient();
    Socket connection = sendToEndpoint(client, safeRequest("r"));
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(3000, 'x'));
    EXPECT_FALSE(connection.readSome());
    acceptAttempt(endpoint).write(okResponse("well"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "well");
}

TEST_F(InvalidUpstreamResponseTest, TimesOutOnIncompleteHeadOrBodyInTimeForRetry) {
    startGateway();
    Socket client = connectClient();
    client.write(safeRequest("r").text());
    for (const char* incomplete :
         {"HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"}) {
        Socket connection = acceptAttempt(endpoint);
        connection.write(incomplete);
        EXPECT_TRUE(connection.waitForClose());
    }
    acceptAttempt(endpoint).write("HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse("well"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "well");
}

TEST_F(InvalidUpstreamResponseTest, SkipsInterimResponsesAndInvalidLoadReports) {
    startGateway();
    Socket client = connectClient();
    Socket connection = sendToEndpoint(client, safeRequest("r1"));
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    connection.write(interim + interim + okResponse("well", "Server-Load: rif=nan\r\n"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "well");
    client.write(safeRequest("r2").text());
    connection.receiveMessage();
    connection.write(okResponse("two", "Server-Load: rif=-1e300,rif=3x,rif=inf\r\n"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "two");
}

// The endpoint keeps sending, without a long pause: the time limit is on the whole response.
TEST_F(InvalidUpstreamResponseTest, TimesOutOnUnterminatedBody) {
    startGateway(withLongDeadlines());
    Socket client = connectClient();
    const Socket connection = sendToEndpoint(client, safeRequest("r").withTimeout(kLongTimeout));
    connection.write(kChunkedHead);
    try {
        while (!connection.waitReadable(10)) connection.write("1\r\nx\r\n");
    } catch (const std::runtime_error&) {  // the gateway has closed the connection
    }
    acceptAttempt(endpoint).write(okResponse("whole"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "whole");
}

// ---- Responses truncated by a reset ---------------------------------------------------------------------

struct TruncatedResponse {
    std::string name;
    std::string text;
};
std::ostream& operator<<(std::ostream& out, const TruncatedResponse& response) {
    return out << response.name;
}

class TruncatedResponseTest : public GatewayTest, public testing::WithParamInterface<TruncatedResponse> {
protected:
    void SetUp() override { startGateway(withLongDeadlines()); }

    // Sends the response and a reset, so that the gateway finds both at once.
    void sendTruncatedResponse(Socket& connection) {
        gateway().whileStopped([&] {
            connection.write(GetParam().text);
            connection.reset();
        });
    }
};

INSTANTIATE_TEST_SUITE_P(
    Framings, TruncatedResponseTest,
    testing::Values(TruncatedResponse{"WithoutLength", "HTTP/1.1 200 OK\r\n\r\nhalf"},
                    TruncatedResponse{"OfHttp10", "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n"},
                    TruncatedResponse{"InChunks",
                                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
                    TruncatedResponse{"WithLength", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"}),
    [](const auto& parameter) { return parameter.param.name; });

TEST_P(TruncatedResponseTest, IsNotServedAfterReset) {
    {
        Socket client = connectClient();
        Socket connection = sendToEndpoint(client, safeRequest("r").withTimeout(kLongTimeout));
        sendTruncatedResponse(connection);
        acceptAttempt(endpoint).write(okResponseAndClose("whole"));
        EXPECT_EQ(bodyOf(client.receiveMessage()), "whole");
    }
    Socket client = connectClient();
    Socket connection = sendToEndpoint(client, unsafeRequest("r").withTimeout(kLongTimeout));
    sendTruncatedResponse(connection);
    EXPECT_EQ(statusOf(client.receiveMessage()), 502);
}

}  // namespace
}  // namespace gateway::net::test
