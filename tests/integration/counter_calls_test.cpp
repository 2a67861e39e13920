// Calls of a gateway process to the counter service.
#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

constexpr std::size_t kChannels = 8;  // connections that the gateway keeps to the counter

class CounterCallsTest : public testing::Test {
protected:
    GatewayOptions optionsWithCounter(Seconds timeout) const {
        GatewayOptions options = optionsWithEndpoint(endpoint, withCounter({}, timeout));
        options.counter = counter.address();
        return options;
    }

    RequestSpec countedRequest(const std::string& id) const { return safeRequest(id).withTenant(tenant); }

    // Answers the attempt on `connection`, and expects that the client receives the response.
    void serveAttempt(Socket& connection) {
        connection.receiveMessage();
        connection.write(okResponse("in"));
        EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    }

    // Accepts the next attempt, and answers it with a response that closes its connection.
    void serveAttemptAndClose() {
        Socket connection = endpoint.accept();
        connection.receiveMessage();
        connection.write(okResponseAndClose());
        EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    }

    Server endpoint, counter;
    GatewayProcess gateway{optionsWithCounter(Seconds(0.2))};
    Socket client = gateway.connectClient();
    const std::string tenant = tenantWithYoungSlice();
};

TEST_F(CounterCallsTest, RejectsAndRefundsWhenTotalExceedsQuota) {
    client.write(countedRequest("r1").withCost("2.5").text());
    Socket connection = counter.accept();
    const std::string call = connection.receiveMessage();
    EXPECT_TRUE(contains(call, "POST /v1/count/q" + std::to_string(std::stoull(tenant, nullptr, 16)) + "."))
        << call;
    EXPECT_TRUE(contains(call, "?add=2.5&ttl_ms=60000 HTTP/1.1\r\n")) << call;
    connection.write(okResponse("1000000.5"));
    const std::string response = client.receiveMessage();
    EXPECT_EQ(statusOf(response), 429);
    EXPECT_TRUE(contains(response, "Retry-After: 0.5")) << response;
    EXPECT_TRUE(contains(connection.receiveMessage(), "?add=-2.5&"));  // the refund
    EXPECT_FALSE(endpoint.waitReadable(0));
}

TEST_F(CounterCallsTest, ReconcilesActualCostAfterResponse) {
    client.write(countedRequest("r1").text());
    Socket connection = counter.accept();
    EXPECT_TRUE(contains(connection.receiveMessage(), "?add=1&"));
    connection.write(okResponse("1"));
    // The gateway also reads the closed slice before. That slice's name determines the connection for the
    // call.
    waitForReadable({&connection, &counter});
    const bool isSameConnection = connection.waitReadable(0);
    Socket other;
    if (!isSameConnection) other = counter.accept();
    Socket& read = isSameConnection ? connection : other;
    EXPECT_TRUE(contains(read.receiveMessage(), "?add=0&"));
    read.write(okResponse("0"));
    Socket attempt = endpoint.accept();
    attempt.receiveMessage();
    attempt.write(okResponse("in", "X-Meter: 86\r\nX-Settled: 3\r\n"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    EXPECT_TRUE(contains(connection.receiveMessage(), "?add=2&"));
}

TEST_F(CounterCallsTest, DropsLateReplyAndMatchesNextReplyWithNextCall) {
    client.write(countedRequest("r1").text());
    Socket connection = counter.accept();
    connection.receiveMessage();
    Socket attempt = endpoint.accept();  // the gateway has stopped waiting for the counter
    serveAttempt(attempt);
    // A request without a quota that times out. When it does, the counter call of r1 has timed out as well.
    client.write(safeRequest("between").withoutQuota().withTimeout(std::chrono::milliseconds(100)).text());
    EXPECT_NE(statusOf(client.receiveMessage()), 200);
    attempt.receiveMessage();
    EXPECT_TRUE(attempt.waitForClose());
    // After a timeout the gateway calls the counter for a random sample of requests, and serves the others.
    for (int i = 2; i < 30; ++i) {
        client.write(countedRequest("r" + std::to_string(i)).text());
        waitForReadable({&connection, &endpoint});
        if (connection.waitReadable(0)) break;
        serveAttemptAndClose();
    }
    connection.receiveMessage();
    // The first reply is late. The second one says that the quota is used up. The request would be admitted
    // if the gateway matched it with the first reply.
    connection.write(okResponse("1") + okResponse("1000000"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 429);
    EXPECT_FALSE(endpoint.waitReadable(0));
}

TEST_F(CounterCallsTest, EndsCallsOfBrokenConnectionAndReconnects) {
    client.write(countedRequest("r1").text());
    {
        Socket connection = counter.accept();
        connection.receiveMessage();
        connection.reset();
    }
    Socket attempt = endpoint.accept();
    serveAttempt(attempt);
    client.write(countedRequest("r2").text());
    Socket connection = counter.accept();
    EXPECT_TRUE(contains(connection.receiveMessage(), "?add="));
    connection.write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");  // the call fails
    serveAttempt(attempt);
}

TEST_F(CounterCallsTest, ClosesConnectionAfterReplyWithoutTotalAndSkipsInterimReplies) {
    for (const char* body : {"nan", "12x", "", "inf"}) {
        client.write(countedRequest(std::string("r") + body).text());
        Socket connection = counter.accept();
        connection.receiveMessage();
        connection.write(okResponse(body));
        EXPECT_TRUE(connection.waitForClose()) << body;
        serveAttemptAndClose();
    }
    client.write(countedRequest("last").text());
    Socket connection = counter.accept();
    connection.receiveMessage();
    connection.write("HTTP/1.1 100 Continue\r\n\r\n" + okResponse("1000000"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 429);
}

TEST_F(CounterCallsTest, RefundsAndFreesRequestIdWhenClientClosesBeforeReply) {
    client.write(countedRequest("r1").text());
    Socket connection = counter.accept();
    connection.receiveMessage();
    client.close();
    EXPECT_TRUE(contains(connection.receiveMessage(), "?add=-1&"));  // the refund
    client = gateway.connectClient();
    client.write(countedRequest("r1").text());
    Socket attempt = endpoint.accept();
    serveAttempt(attempt);
}

// The engine expects the replies for a name in the order of the calls. The gateway must not call the new
// counter while a call to the old one is in flight, and must not make a call at both.
TEST_F(CounterCallsTest, AfterReloadFinishesCallsAtOldCounterBeforeCallingNewOne) {
    GatewayProcess slow{optionsWithCounter(Seconds(20))};
    Socket first = slow.connectClient(), second = slow.connectClient();
    first.write(countedRequest("r1").text());
    Socket old = counter.accept();
    EXPECT_TRUE(contains(old.receiveMessage(), "?add=1&"));
    Server newCounter, newDiscovery;
    slow.reload(newDiscovery, &newCounter);
    newDiscovery.accept().receiveMessage();  // the new configuration is in use
    second.write(countedRequest("r2").text());
    std::vector<Socket> channels;
    channels.reserve(kChannels);
    for (std::size_t i = 0; i < kChannels; ++i) channels.push_back(newCounter.accept());
    old.write(okResponse("5"));
    Socket firstAttempt = endpoint.accept();
    firstAttempt.receiveMessage();
    std::vector<const Socket*> waiting;
    waiting.reserve(channels.size());
    for (const Socket& channel : channels) waiting.push_back(&channel);
    ASSERT_EQ(waitForReadable(waiting).size(), 1u);
    for (Socket& channel : channels) {
        if (!channel.waitReadable(0)) continue;
        EXPECT_TRUE(contains(channel.receiveMessage(), "?add=1&"));
        channel.write(okResponse("6"));
    }
    Socket secondAttempt = endpoint.accept();
    secondAttempt.receiveMessage();
    firstAttempt.write(okResponse("one"));
    secondAttempt.write(okResponse("two"));
    EXPECT_EQ(statusOf(first.receiveMessage()), 200);
    EXPECT_EQ(statusOf(second.receiveMessage()), 200);
    EXPECT_TRUE(old.waitForClose());  // without a second call
}

}  // namespace
}  // namespace gateway::net::test
