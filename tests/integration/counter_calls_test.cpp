// Calls of a whole gateway process to the counter service, over loopback sockets.
#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "support/gateway_process.h"

namespace gateway::net::test {
namespace {

constexpr const char* kResponseThatCloses =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
constexpr std::size_t kLanes = 8;  // of the CounterClient

class CounterCallsTest : public testing::Test {
protected:
    static Json settingsWithCounter(double counterTimeoutSeconds = 0.2) {
        Json changed = settings();
        changed["domain"] = {{"mayCount", true}, {"counterTimeoutS", counterTimeoutSeconds}, {"maxUnits", 4}};
        return changed;
    }

    std::function<void(Json&)> useCounter() {
        return [this](Json& config) { config["counter"] = counter.address(); };
    }

    // Answers the attempt that is on `connection`, and expects that the client gets the response.
    void serveAttempt(Socket& connection) {
        connection.message();
        connection.write(ok("in"));
        EXPECT_EQ(statusOf(client.message()), 200);
    }

    // Answers the next attempt, on a connection that ends with it.
    void serveAttemptAndClose() {
        Socket connection = endpoint.accept();
        connection.message();
        connection.write(kResponseThatCloses);
        EXPECT_EQ(statusOf(client.message()), 200);
    }

    Server endpoint, counter;
    GatewayProcess gateway{Targets{target("w", endpoint)}, settingsWithCounter(), useCounter()};
    Socket client = gateway.client();
    const YoungSliceTenant youngSliceTenant;
};

TEST_F(CounterCallsTest, RejectsAndRefundsWhenTotalExceedsQuota) {
    client.write(request("load", "r1", 8000, "", "units=2.5,spread=1,first=0"));
    Socket connection = counter.accept();
    const std::string call = connection.message();
    EXPECT_TRUE(has(call, "POST /v1/count/q" + std::to_string(std::stoull(tenantId, nullptr, 16)) + "."))
        << call;
    EXPECT_TRUE(has(call, "?add=2.5&ttl_ms=60000 HTTP/1.1\r\n")) << call;
    connection.write(ok("1000000.5"));
    const std::string response = client.message();
    EXPECT_EQ(statusOf(response), 429);
    EXPECT_TRUE(has(response, "Retry-After: 0.5")) << response;
    EXPECT_TRUE(has(connection.message(), "?add=-2.5&"));  // the refund
    EXPECT_FALSE(endpoint.waitReadable(0));
}

TEST_F(CounterCallsTest, ReconcilesActualCostAfterResponse) {
    client.write(request("load", "r1"));
    Socket connection = counter.accept();
    EXPECT_TRUE(has(connection.message(), "?add=1&"));
    connection.write(ok("1"));
    // The gateway also reads the closed slice; its name decides whether that goes over the same connection.
    pollfd either[2] = {{connection.fd(), POLLIN, 0}, {counter.fd(), POLLIN, 0}};
    ASSERT_GT(::poll(either, 2, kTestTimeoutMs), 0);
    Socket other;
    if (either[0].revents == 0) other = counter.accept();
    Socket& read = either[0].revents == 0 ? other : connection;
    EXPECT_TRUE(has(read.message(), "?add=0&"));
    read.write(ok("0"));
    Socket attempt = endpoint.accept();
    attempt.message();
    attempt.write(ok("in", "X-Meter: 86\r\nX-Settled: 3\r\n"));
    EXPECT_EQ(statusOf(client.message()), 200);
    EXPECT_TRUE(has(connection.message(), "?add=2&"));
}

TEST_F(CounterCallsTest, DropsLateReplyAndMatchesNextReplyWithNextCall) {
    client.write(request("load", "r1"));
    Socket connection = counter.accept();
    connection.message();
    Socket attempt = endpoint.accept();  // the engine stopped waiting for the counter
    serveAttempt(attempt);
    // A request without a quota that times out: by then the first call has timed out as well.
    std::string timed = request("load", "between", 100);
    client.write(timed.replace(timed.find("team"), 4, "free"));
    EXPECT_NE(statusOf(client.message()), 200);
    attempt.message();
    EXPECT_TRUE(attempt.atEnd());
    // After a timeout only a random sample of the requests calls the counter: the others are served.
    for (int i = 2; i < 30; ++i) {
        client.write(request("load", "r" + std::to_string(i)));
        pollfd either[2] = {{connection.fd(), POLLIN, 0}, {endpoint.fd(), POLLIN, 0}};
        ASSERT_GT(::poll(either, 2, kTestTimeoutMs), 0);
        if (either[0].revents != 0) break;
        serveAttemptAndClose();
    }
    connection.message();
    // The first reply is late. The second shows that the window is full; taken for each other, the request
    // would be admitted.
    connection.write(ok("1") + ok("1000000"));
    EXPECT_EQ(statusOf(client.message()), 429);
    EXPECT_FALSE(endpoint.waitReadable(0));
}

TEST_F(CounterCallsTest, EndsCallsOfBrokenConnectionAndReconnects) {
    client.write(request("load", "r1"));
    {
        Socket connection = counter.accept();
        connection.message();
        connection.reset();
    }
    Socket attempt = endpoint.accept();
    serveAttempt(attempt);
    client.write(request("load", "r2"));
    Socket connection = counter.accept();
    EXPECT_TRUE(has(connection.message(), "?add="));
    connection.write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");  // nothing added, nobody waits
    serveAttempt(attempt);
}

TEST_F(CounterCallsTest, ClosesConnectionAfterReplyWithoutTotalAndSkipsInterimReplies) {
    for (const char* body : {"nan", "12x", "", "inf"}) {
        client.write(request("load", std::string("r") + body));
        Socket connection = counter.accept();
        connection.message();
        connection.write(ok(body));
        EXPECT_TRUE(connection.atEnd()) << body;
        serveAttemptAndClose();
    }
    client.write(request("load", "last"));
    Socket connection = counter.accept();
    connection.message();
    connection.write("HTTP/1.1 100 Continue\r\n\r\n" + ok("1000000"));
    EXPECT_EQ(statusOf(client.message()), 429);
}

TEST_F(CounterCallsTest, RefundsAndFreesRequestIdWhenClientClosesBeforeReply) {
    client.write(request("load", "r1"));
    Socket connection = counter.accept();
    connection.message();
    client.close();
    EXPECT_TRUE(has(connection.message(), "?add=-1&"));  // the refund
    client = gateway.client();
    client.write(request("load", "r1"));
    Socket attempt = endpoint.accept();
    serveAttempt(attempt);
}

// The engine takes replies for a name in the order of the calls: nothing goes to the new counter while a call
// is in flight at the old one, and no call is made at both.
TEST_F(CounterCallsTest, AfterReloadFinishesCallsAtOldCounterBeforeCallingNewOne) {
    GatewayProcess slow{Targets{target("w", endpoint)}, settingsWithCounter(20), useCounter()};
    Socket first = slow.client(), second = slow.client();
    first.write(request("load", "r1"));
    Socket old = counter.accept();
    EXPECT_TRUE(has(old.message(), "?add=1&"));
    Server newCounter, newDiscovery;
    slow.reload(newDiscovery, &newCounter);
    newDiscovery.accept().message();  // the reload has taken effect
    second.write(request("load", "r2"));
    std::vector<Socket> lanes;
    lanes.reserve(kLanes);
    for (std::size_t i = 0; i < kLanes; ++i) lanes.push_back(newCounter.accept());
    old.write(ok("5"));
    Socket firstAttempt = endpoint.accept();
    firstAttempt.message();
    std::vector<pollfd> polls;
    polls.reserve(lanes.size());
    for (const Socket& lane : lanes) polls.push_back({lane.fd(), POLLIN, 0});
    ASSERT_EQ(::poll(polls.data(), polls.size(), kTestTimeoutMs), 1);
    for (std::size_t i = 0; i < lanes.size(); ++i) {
        if (polls[i].revents == 0) continue;
        EXPECT_TRUE(has(lanes[i].message(), "?add=1&"));
        lanes[i].write(ok("6"));
    }
    Socket secondAttempt = endpoint.accept();
    secondAttempt.message();
    firstAttempt.write(ok("one"));
    secondAttempt.write(ok("two"));
    EXPECT_EQ(statusOf(first.message()), 200);
    EXPECT_EQ(statusOf(second.message()), 200);
    EXPECT_TRUE(old.atEnd());  // it has received no second call
}

}  // namespace
}  // namespace gateway::net::test
