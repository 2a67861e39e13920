// Calls to the counter, on sockets.
#include "net/counter/counter_client.h"

#include <gtest/gtest.h>

#include <list>
#include <memory>

#include "net/discovery/endpoint_list.h"
#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

class CounterCalls : public testing::Test {
protected:
    GatewayOptions optionsWithCounter(double timeoutSeconds) const {
        GatewayOptions options = optionsWithEndpoint(endpoint, withCounter({}, Seconds(timeoutSeconds)));
        options.counter = counter.address();
        return options;
    }
    RequestSpec countedRequest(const std::string& id) const { return safeRequest(id).withTenant(tenant); }

    Server endpoint, counter;
    GatewayProcess gateway{optionsWithCounter(0.2)};
    Socket client = gateway.connectClient();

    void serveAttempt(Socket& at) {
        at.receiveMessage();
        at.write(okResponse("in"));
        EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    }
    const std::string tenant = tenantWithYoungSlice();
};

TEST_F(CounterCalls, ACallIsMadeBeforeTheSendAndItsTotalDecides) {
    client.write(countedRequest("r1").withCost("2.5").text());
    Socket at = counter.accept();
    const std::string call = at.receiveMessage();
    EXPECT_TRUE(contains(call, "POST /v1/count/q" + std::to_string(std::stoull(tenant, nullptr, 16)) + "."))
        << call;
    EXPECT_TRUE(contains(call, "?add=2.5&ttl_ms=60000 HTTP/1.1\r\n")) << call;
    at.write(okResponse("1000000.5"));
    const std::string answer = client.receiveMessage();
    EXPECT_EQ(statusOf(answer), 429);
    EXPECT_TRUE(contains(answer, "Retry-After: 0.5")) << answer;
    EXPECT_TRUE(contains(at.receiveMessage(), "?add=-2.5&"));  // the charge is taken back
    EXPECT_FALSE(endpoint.waitReadable(0));
}

TEST_F(CounterCalls, WhatARequestCostInTheEndIsReconciled) {
    client.write(countedRequest("r1").text());
    Socket at = counter.accept();
    EXPECT_TRUE(contains(at.receiveMessage(), "?add=1&"));
    at.write(okResponse("1"));
    // The closed slice is read too, over the same connection or, by its name, over another one.
    pollfd either[2] = {{at.fd(), POLLIN, 0}, {counter.fd(), POLLIN, 0}};
    ASSERT_GT(::poll(either, 2, kTestTimeoutMs), 0);
    Socket other;
    if (either[0].revents == 0) other = counter.accept();
    Socket& read = either[0].revents == 0 ? other : at;
    EXPECT_TRUE(contains(read.receiveMessage(), "?add=0&"));
    read.write(okResponse("0"));
    Socket served = endpoint.accept();
    served.receiveMessage();
    served.write(okResponse("in", "X-Meter: 86\r\nX-Settled: 3\r\n"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    EXPECT_TRUE(contains(at.receiveMessage(), "?add=2&"));
}

TEST_F(CounterCalls, ALateAnswerIsTakenOffTheLineAndNotForTheNextCall) {
    client.write(countedRequest("r1").text());
    Socket at = counter.accept();
    at.receiveMessage();
    Socket link = endpoint.accept();  // the module waited no longer than its own time
    serveAttempt(link);
    // A request without a quota whose time runs out: the first call's time has run out before that.
    client.write(safeRequest("between").withoutQuota().withTimeout(std::chrono::milliseconds(100)).text());
    EXPECT_NE(statusOf(client.receiveMessage()), 200);
    link.receiveMessage();
    EXPECT_TRUE(link.waitForClose());
    // After a time-out some requests go unasked, by a draw: those are served until one asks.
    for (int i = 2; i < 30; ++i) {
        client.write(countedRequest("r" + std::to_string(i)).text());
        pollfd either[2] = {{at.fd(), POLLIN, 0}, {endpoint.fd(), POLLIN, 0}};
        ASSERT_GT(::poll(either, 2, kTestTimeoutMs), 0);
        if (either[0].revents != 0) break;
        Socket unasked = endpoint.accept();
        unasked.receiveMessage();
        unasked.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    }
    at.receiveMessage();
    // The first answer is late; the second says that the window is full. Mixed up, this one would be let in.
    at.write(okResponse("1") + okResponse("1000000"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 429);
    EXPECT_FALSE(endpoint.waitReadable(0));
}

TEST_F(CounterCalls, ABrokenConnectionEndsItsCallsAndTheNextCallConnectsAnew) {
    client.write(countedRequest("r1").text());
    {
        Socket at = counter.accept();
        at.receiveMessage();
        at.reset();
    }
    Socket link = endpoint.accept();
    serveAttempt(link);
    client.write(countedRequest("r2").text());
    Socket at = counter.accept();
    EXPECT_TRUE(contains(at.receiveMessage(), "?add="));
    at.write(
        "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");  // turned away: nothing was added, nobody waits
    serveAttempt(link);
}

// Spoilt: the amount was added, the connection is of no further use; an interim answer is no answer.
TEST_F(CounterCalls, AnAnswerWithNoTotalEndsItsConnectionAndInterimOnesArePassedOver) {
    for (const char* body : {"nan", "12x", "", "inf"}) {
        client.write(countedRequest(std::string("r") + body).text());
        Socket at = counter.accept();
        at.receiveMessage();
        at.write(okResponse(body));
        EXPECT_TRUE(at.waitForClose()) << body;
        Socket link = endpoint.accept();
        link.receiveMessage();
        link.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    }
    client.write(countedRequest("last").text());
    Socket at = counter.accept();
    at.receiveMessage();
    at.write("HTTP/1.1 100 Continue\r\n\r\n" + okResponse("1000000"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 429);
}

// A connection that falls silent takes what is added over it with it: it is left after a few time-outs.
TEST(CounterConnections, AConnectionThatFallsSilentIsGivenUpSoon) {
    Server counter;
    boost::asio::io_context io;
    TimerQueue timers(io);
    int told = 0;
    CounterClient client(io, timers, parseAddress(counter.address(), "counter"),
                         {1, std::chrono::milliseconds(5), std::chrono::seconds(5)},
                         [&](gateway::CounterReplied&&) { ++told; });
    const auto call = [&] {
        client.add({"q1.1", 1, std::chrono::seconds(5)});
        client.flush();
    };
    call();
    io.restart();
    while (told < 1) io.run_one();
    Socket silent = counter.accept();
    for (int calls = 2; calls <= 40 && !counter.waitReadable(0); ++calls) {
        call();
        while (told < calls) io.run_one();
    }
    EXPECT_TRUE(counter.waitReadable(0));
}

TEST_F(CounterCalls, AClientThatDisconnectsBeforeTheSendIsForgottenWithItsId) {
    client.write(countedRequest("r1").text());
    Socket at = counter.accept();
    at.receiveMessage();
    client.close();
    EXPECT_TRUE(contains(at.receiveMessage(), "?add=-1&"));  // seen to have left: its charge goes back
    client = gateway.connectClient();
    client.write(countedRequest("r1").text());
    Socket link = endpoint.accept();
    serveAttempt(link);
}

// The module takes a name's answers in the order of its calls: none goes to the new counter while one is out
// at the old, and none is made at both.
TEST_F(CounterCalls, AfterAReloadCallsOutAtTheOldOneEndBeforeTheNewOneHasAny) {
    GatewayProcess slow{optionsWithCounter(20)};
    Socket first = slow.connectClient(), second = slow.connectClient();
    first.write(countedRequest("r1").text());
    Socket old = counter.accept();
    EXPECT_TRUE(contains(old.receiveMessage(), "?add=1&"));
    Server next, nextDiscovery;
    slow.reload(nextDiscovery, &next);
    nextDiscovery.accept().receiveMessage();  // the reload is in force
    second.write(countedRequest("r2").text());
    std::vector<Socket> lanes;
    lanes.reserve(8);
    for (int i = 0; i < 8; ++i) lanes.push_back(next.accept());
    old.write(okResponse("5"));
    Socket one = endpoint.accept();
    one.receiveMessage();
    std::vector<pollfd> polls;
    polls.reserve(lanes.size());
    for (const Socket& lane : lanes) polls.push_back({lane.fd(), POLLIN, 0});
    ASSERT_EQ(::poll(polls.data(), polls.size(), kTestTimeoutMs), 1);
    for (std::size_t i = 0; i < lanes.size(); ++i) {
        if (polls[i].revents == 0) continue;
        EXPECT_TRUE(contains(lanes[i].receiveMessage(), "?add=1&"));
        lanes[i].write(okResponse("6"));
    }
    Socket two = endpoint.accept();
    two.receiveMessage();
    one.write(okResponse("one"));
    two.write(okResponse("two"));
    EXPECT_EQ(statusOf(first.receiveMessage()), 200);
    EXPECT_EQ(statusOf(second.receiveMessage()), 200);
    EXPECT_TRUE(old.waitForClose());  // with no second call on it
}

}  // namespace
}  // namespace gateway::net::test
