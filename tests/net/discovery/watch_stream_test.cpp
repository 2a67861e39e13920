// The list of endpoints as discovery tells it, on sockets.
#include <gtest/gtest.h>

#include <list>
#include <memory>

#include "net/transport/backoff.h"
#include "support/gateway_process.h"

namespace gateway::net::test {
namespace {

TEST(WatchStreams, ReconnectsWithTheVersionItHasAndAFullListRemovesWhatItLacks) {
    Server a, b;
    Json s = settings();
    s["rules"]["drainGraceS"] = 600;  // the list alone keeps attempts away from a
    GatewayProcess gateway(Targets{target("a", a)}, s);
    {
        Socket watch = gateway.discovery.accept();
        EXPECT_TRUE(has(watch.message(), "GET /api/targets?follow=1&since=41 "));
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n") +
                    listLine(43, false, {target("b", b)}));
    }
    Socket watch = gateway.discovery.accept();
    EXPECT_TRUE(has(watch.message(), "since=43 "));
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                listLine(50, true, {target("b", b)}));
    // A line is applied before the one behind it is asked for: the third watch shows that 50 is in force.
    watch.close();
    Socket third = gateway.discovery.accept();
    EXPECT_TRUE(has(third.message(), "since=50 "));
    expectServedBy(gateway, b, 4);
    EXPECT_FALSE(a.waitReadable(0));
}

// In a fleet that is replaced all day, those that are gone would be kept and walked for ever.
TEST(WatchStreams, EndpointsThatAreGoneLeaveNothingBehind) {
    Server endpoint;
    GatewayProcess gateway(Targets{});
    Socket watch = gateway.discovery.accept();
    watch.message();
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    int index = 42;
    const auto serve = [&] {
        const std::string name = "last" + std::to_string(index);
        watch.write(listLine(++index, true, {target(name, endpoint)}));
        for (;;) {  // until the list is in force
            Socket client = gateway.client();
            client.write(request("load", name));
            pollfd either[2] = {{client.fd(), POLLIN, 0}, {endpoint.fd(), POLLIN, 0}};
            ASSERT_GT(::poll(either, 2, kTestTimeoutMs), 0);
            if (either[1].revents == 0) continue;
            Socket at = endpoint.accept();
            at.message();
            at.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            EXPECT_EQ(statusOf(client.message()), 200);
            return;
        }
    };
    serve();
    const long before = gateway.residentKb();
    for (int round = 0; round < 200; ++round) {
        Targets fresh, removed;
        for (int i = 0; i < 100; ++i) {
            const std::string name = "s-" + std::to_string(round) + "-" + std::to_string(i);
            fresh.push_back(target(name, endpoint));
            removed.push_back(target(name, endpoint, "terminated"));
        }
        watch.write(listLine(++index, false, fresh));
        watch.write(listLine(++index, false, removed));
    }
    serve();
    EXPECT_LT(gateway.residentKb() - before, 6000);
}

// A watch that was cut off says nothing and stays open; a live one sends an empty line every 2 s.
TEST(WatchStreams, ASilentWatchIsOpenedAnewFromTheVersionItHad) {
    GatewayProcess gateway(Targets{});
    Socket silent = gateway.discovery.accept();
    silent.message();
    Socket next = gateway.discovery.accept();
    EXPECT_TRUE(has(next.message(), "since=41 "));
    EXPECT_TRUE(silent.atEnd());
}

// Discovery that has to be asked is one service for all: one that is turned away at its own moment comes
// again at the next of these, 4.5 s later. The first call of a process is made at no such moment.
TEST(WatchStreams, WhereItMustBeAskedOneThatRejectsIsLetOff) {
    Json s = settings();
    s["discovery"] = "ask";
    s["rules"]["mustAskInS"] = 3600;
    GatewayProcess gateway(Targets{}, s);
    for (int i = 0; i < 2; ++i) {
        Socket watch = gateway.discovery.accept();
        watch.message();
        watch.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        EXPECT_TRUE(watch.atEnd());
    }
    EXPECT_FALSE(gateway.discovery.waitReadable(2000));
}

TEST(Backoff, WaitsOfManyAreSpreadAndTheirBoundDoublesUntilThePeerAnswers) {
    const Duration first = std::chrono::seconds(5), most = std::chrono::seconds(10);
    std::vector<int> second(10), third(10);
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        Backoff backoff(first, most, seed);
        const Duration a = backoff.next(), b = backoff.next(), c = backoff.next();
        EXPECT_LE(a, first);
        EXPECT_LE(std::max(b, c), most);
        ++second[static_cast<std::size_t>((a - Duration(1)) * 10 / first)];
        ++third[static_cast<std::size_t>((c - Duration(1)) * 10 / most)];
        backoff.reset();
        EXPECT_LE(backoff.next(), first);
    }
    for (const int tenth : second) EXPECT_LT(tenth, 80);  // 40 in each were even
    for (const int tenth : third) EXPECT_LT(tenth, 80);
}

TEST(WatchStreams, AnAttemptThatStillConnectsWritesNothingToAEndpointThatDisconnected) {
    Server full(0);  // its queue takes one connection; the next does not come up until that is accepted
    Socket plug = connectTo(full.port);
    GatewayProcess gateway(Targets{target("w", full)});
    Socket watch = gateway.discovery.accept();
    watch.message();
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    Socket client = gateway.client();
    client.write(request("spend", "r", 8000, "x"));
    Socket probe = gateway.client();  // served in order: the request before is in hand once this is answered
    probe.write("GET /-/ready HTTP/1.1\r\n\r\n");
    probe.message();
    watch.write(listLine(60, false, {target("w", full, "terminating")}));
    Socket first = full.accept();
    Socket second = full.accept();  // comes up when the kernel tries again, about 1 s later: past the grace
    EXPECT_TRUE(second.atEnd());
    EXPECT_EQ(statusOf(client.message()), 429);  // never ran: refused
}

}  // namespace
}  // namespace gateway::net::test
