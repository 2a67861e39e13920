// Invalid requests, which the gateway answers with a 4xx status and does not forward.
#include <string>
#include <vector>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

struct InvalidRequest {
    std::string name;
    std::string text;
    int status;
};

class RequestValidationTest : public GatewayTest {
protected:
    void SetUp() override { startGateway(); }

    // Sends each request on a connection of its own. The gateway closes the connection, except after 404 and
    // 405, where it has read the whole request and knows where the next one begins.
    void expectAnsweredWithoutForwarding(const std::vector<InvalidRequest>& requests) const {
        for (const InvalidRequest& request : requests) {
            SCOPED_TRACE(request.name);
            Socket client = connectClient();
            client.write(request.text);
            EXPECT_EQ(statusOf(client.receiveMessage()), request.status);
            const bool endsConnection = request.status != 404 && request.status != 405;
            if (endsConnection) {
                EXPECT_TRUE(client.waitForClose());
            }
        }
        EXPECT_FALSE(endpoint.waitReadable(0));
    }
};

TEST_F(RequestValidationTest, AnswersMalformedRequests) {
    const std::string valid = safeRequest("r").text();
    expectAnsweredWithoutForwarding({
        {"no request line", "nonsense\r\n\r\n", 400},
        {"unknown path", replaced(valid, "/load", "/nothing"), 404},
        {"unknown method", replaced(valid, "GET", "DELETE"), 405},
        {"class of another path", replaced(valid, "Request-Class: load", "Request-Class: spend"), 400},
        {"unknown class", replaced(valid, "Request-Class: load", "Request-Class: other"), 400},
        {"unknown plan", replaced(valid, "X-Contract: team", "X-Contract: none"), 400},
        {"short tenant", safeRequest("r").withTenant("12").text(), 400},
        {"tenant out of range", safeRequest("r").withTenant("ffffffffb4d65521").text(), 400},
        {"no time", safeRequest("r").withTimeout(std::chrono::milliseconds(0)).text(), 400},
        {"missing timeout", replaced(valid, "Request-Timeout-Ms: 8000\r\n", ""), 400},
        {"missing id", replaced(valid, "Request-Id: r\r\n", ""), 400},
        {"cost that is not a number", safeRequest("r").withCost("x").text(), 400},
        {"missing metering", replaced(valid, "X-Metering: units=1,spread=1,first=0\r\n", ""), 400},
        {"missing idempotency key", replaced(keyedRequest("r").text(), "Idempotency-Key: k-r\r\n", ""), 400},
        {"body too large",
         replaced(keyedRequest("r").withBody("").text(), "Content-Length: 0", "Content-Length: 70000"), 413},
        {"header too large", "GET /load HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", 431},
        {"unknown path of the gateway's own", "GET /-/nothing HTTP/1.1\r\n\r\n", 404},
        {"method of the readiness path", "POST /-/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
    });
}

TEST_F(RequestValidationTest, AnswersValuesOutOfRange) {
    expectAnsweredWithoutForwarding({
        {"cost above the maximum of 4", safeRequest("r").withCost("4.5").text(), 400},
        {"cost that is NaN", safeRequest("r").withCost("nan").text(), 400},
        {"more entry points than gateways", safeRequest("r").withMetering("units=1,spread=4,first=0").text(),
         400},
    });
}

// If a gateway and an endpoint disagree on where a body ends, the body can hide another request.
TEST_F(RequestValidationTest, AnswersAmbiguousBodyLength) {
    const auto framedBy = [](const std::string& headers) {
        return replaced(keyedRequest("r").withBody("").text(), "Content-Length: 0\r\n", headers) +
               "0\r\n\r\n" + safeRequest("hidden").text();
    };
    expectAnsweredWithoutForwarding({
        {"length, then coding", framedBy("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"), 400},
        {"coding, then length", framedBy("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"), 400},
        {"unknown coding", framedBy("Transfer-Encoding: gzip\r\nContent-Length: 5\r\n"), 400},
        {"identity coding", framedBy("Content-Length: 5\r\nTransfer-Encoding: identity\r\n"), 400},
        {"two lengths", framedBy("Content-Length: 5\r\nContent-Length: 6\r\n"), 400},
        {"negative length", framedBy("Content-Length: -5\r\n"), 400},
        {"length above the limit", framedBy("Content-Length: 60000000\r\n"), 413},
    });
}

TEST_F(RequestValidationTest, ForwardsUnsafeRequestWithoutIdempotencyKey) {
    Socket client = connectClient();
    client.write(replaced(unsafeRequest("r").text(), "Idempotency-Key: k-r\r\n", ""));
    acceptAttempt(endpoint).write(okResponse("ok"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 200);
}

TEST_F(RequestValidationTest, RejectsIdOfRequestInFlight) {
    Socket first = connectClient();
    Socket second = connectClient();
    const Socket connection = sendToEndpoint(first, safeRequest("same"));
    second.write(safeRequest("same").text());
    EXPECT_EQ(statusOf(second.receiveMessage()), 400);
    connection.write(okResponse("x"));
    EXPECT_EQ(statusOf(first.receiveMessage()), 200);
}

// The time limit for the first request starts when the client connects, so a client that waits does not gain
// time.
TEST(PartialRequestTest, TimesOutFirstRequestByAgeOfItsConnection) {
    const Server endpoint;
    GatewayOptions options = optionsWithEndpoint(endpoint);
    options.timing.requestReadTimeout = std::chrono::milliseconds(1500);
    const GatewayProcess gateway(options);
    Socket late = gateway.connectClient();
    Socket early = gateway.connectClient();
    Socket probe = gateway.connectClient();
    EXPECT_EQ(requestReadiness(probe), 200);
    early.write("GET /load HTTP/1.1\r\nHost:");
    pause(std::chrono::seconds(1));
    late.write("GET /load HTTP/1.1\r\nHost:");
    EXPECT_EQ(statusOf(early.receiveMessage()), 408);
    EXPECT_EQ(requestReadiness(probe), 200);  // the check for timeouts that answered `early` is complete
    EXPECT_TRUE(late.waitReadable(0));
    EXPECT_EQ(statusOf(late.receiveMessage()), 408);
}

}  // namespace
}  // namespace gateway::net::test
