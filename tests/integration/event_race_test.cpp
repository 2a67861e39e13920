// Moments at which an answer, a close, a list or a signal comes between two steps: each is forced by a peer
// that holds, closes or resets just there, or by a gateway that is stopped while its peers act.
#include <gtest/gtest.h>

#include <list>

#include "net/transport/timer_queue.h"
#include "support/gateway_process.h"

namespace gateway::net::test {
namespace {

const std::string kWatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// ---- The list of endpoints --------------------------------------------------------------------

// A line that ends inside an object is no end of it; nor is a bracket inside a text.
TEST(DiscoveryRaces, ObjectsComeIndentedInPiecesOrSeveralAtOnce) {
    Server a, b;
    Json s = settings();
    s["rules"]["drainGraceS"] = 600;  // the list alone keeps attempts away from a
    GatewayProcess gateway(Targets{target("a", a)}, s);
    Socket watch = gateway.discovery.accept();
    watch.message();
    Json named = target("b", b);
    named["note"] = "}{ \\\" ]";
    const auto list = [](int index, const Targets& endpoints) {
        return Json{{"index", index}, {"snapshot", true}, {"endpoints", endpoints}};
    };
    const std::string indented = list(43, {named}).dump(2);
    watch.write(kWatchHead + chunk("\n") + chunk(indented.substr(0, 40)) +
                chunk(indented.substr(40) + "\n\n") +
                chunk(list(44, {named}).dump(4) + list(45, {named}).dump()));
    watch.close();
    Socket next = gateway.discovery.accept();
    EXPECT_TRUE(has(next.message(), "since=45 "));  // all three were taken
    expectServedBy(gateway, b, 3);
    EXPECT_FALSE(a.waitReadable(0));
}

// What can't be read changes nothing, and the next watch asks from the last good version.
TEST(DiscoveryRaces, AnUnreadableOneEndsItsWatchAndTheNextAsksFromTheLastGoodVersion) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)});
    int index = 42;
    for (const std::string& spoilt :
         {std::string("noise\n"), std::string("{\"index\": 50, \"snapshot\"}\n"),
          std::string("{\"index\": -1, \"snapshot\": true, \"endpoints\": []}\n"),
          std::string("{\n  \"index\": 51,\n  \"snapshot\": true,\n  \"endpoints\": [{}]\n}\n")}) {
        Socket watch = gateway.discovery.accept();
        watch.message();
        watch.write(kWatchHead + listLine(index, false, {}) + chunk(spoilt));
        EXPECT_TRUE(watch.atEnd()) << spoilt;
        Socket next = gateway.discovery.accept();
        EXPECT_TRUE(has(next.message(), "since=" + std::to_string(index) + " ")) << spoilt;
        next.close();
        ++index;
    }
    Socket client = gateway.client();
    client.write(request("load", "r"));
    Socket at = endpoint.accept();
    at.message();
    at.write(ok("served"));
    EXPECT_EQ(statusOf(client.message()), 200);
}

// Its last word counts, not a window that began before it: 2.3 s after that, so before a request that came
// just behind it runs out after 3.9 s, another watch is open.
TEST(DiscoveryRaces, AWatchThatFallsSilentRightAfterAWordIsOpenedAnewInTime) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)});
    Socket watch = gateway.discovery.accept();
    watch.message();
    watch.write(kWatchHead + chunk("\n"));
    Socket client = gateway.client();
    client.write(request("load", "r", 3900));
    EXPECT_NE(statusOf(client.message()), 200);
    EXPECT_TRUE(gateway.discovery.waitReadable(0));
}

// One that turned its caller away is let off for long; one that fell silent missed what counts 6 s later.
TEST(DiscoveryRaces, WhereItMustBeAskedOneThatFallsSilentIsAskedAgainSoon) {
    Json s = settings();
    s["discovery"] = "ask";
    s["rules"]["mustAskInS"] = 3600;
    GatewayProcess gateway(Targets{}, s);
    Socket watch = gateway.discovery.accept();
    watch.message();
    watch.write(kWatchHead + chunk("\n"));
    Socket next = gateway.discovery.accept();
    EXPECT_TRUE(has(next.message(), "since=41 "));
    EXPECT_TRUE(watch.atEnd());
    // That one is not answered: it stays open while one more is made beside it, and is not thrown away with
    // what may yet come. Nor is another made soon: others wait in the same queue.
    Socket beside = gateway.discovery.accept();
    EXPECT_TRUE(has(beside.message(), "since=41 "));
    EXPECT_FALSE(next.waitReadable(0));
    EXPECT_FALSE(gateway.discovery.waitReadable(2000));
    beside.write(kWatchHead + chunk("\n"));
    EXPECT_TRUE(next.atEnd());
}

int readiness(Socket& client) {
    client.write("GET /-/ready HTTP/1.1\r\n\r\n");
    return statusOf(client.message());
}

// What the agent has counts as told from the first moment of a process: its list is waited for.
TEST(DiscoveryRaces, ANewProcessIsReadyOnceItsAgentToldWhatItHas) {
    Server endpoint;
    const auto waits = [](int ms) { return [ms](Json& c) { c["listWaitMs"] = ms; }; };
    GatewayProcess gateway(Targets{target("w", endpoint)}, settings(), waits(3600'000));
    Socket watch = gateway.discovery.accept();
    watch.message();
    Socket client = gateway.client();
    EXPECT_EQ(readiness(client), 503);
    watch.write(kWatchHead + listLine(41, false, {}));
    while (readiness(client) != 200)
        ;
    // One that says nothing, as while discovery is down, keeps nobody waiting for long.
    GatewayProcess silent(Targets{target("w", endpoint)}, settings(), waits(1));
    Socket other = silent.client();
    while (readiness(other) != 200)
        ;
}

// ---- Clients that leave ---------------------------------------------------------------------------

// A counter that is asked and holds its answer; who leaves meanwhile is not sent on.
class CounterRaces : public testing::Test {
protected:
    static Json counted() {
        Json s = settings();
        s["domain"] = {{"mayCount", true}, {"counterTimeoutS", 20}, {"maxUnits", 4}};
        for (Json& c : s["classes"]) c["aimS"] = c["deadlineS"] = 400;  // the wait is a share of the aim
        return s;
    }
    Server endpoint, counter;
    GatewayProcess gateway{Targets{target("w", endpoint)}, counted(),
                           [this](Json& c) { c["counter"] = counter.address(); }};
    const YoungSliceTenant youngSliceTenant;
};

TEST_F(CounterRaces, OneThatPipelinedMuchAndLeftIsSeenToHaveLeftAndNotSentOn) {
    Socket client = gateway.client();
    client.write(request("load", "r1", 100'000));
    Socket at = counter.accept();
    EXPECT_TRUE(has(at.message(), "?add=1&"));
    // Far more than the kernel holds for a reader that does not read.
    const std::string ahead = request("spend", "ahead", 100'000, std::string(30'000, 'x'));
    for (int i = 0; i < 1000; ++i) client.write(ahead);
    client.close();
    EXPECT_TRUE(has(at.message(), "?add=-1&"));  // its charge goes back
    at.write(ok("1") + ok("0"));
    Socket other = gateway.client();
    other.write(request("load", "r2", 100'000));
    EXPECT_TRUE(has(at.message(), "?add=1&"));
    at.write(ok("2"));  // not the first in its slice: the closed one is not read
    Socket link = endpoint.accept();
    EXPECT_TRUE(has(link.message(), "Request-Id: r2"));  // and never r1, nor what stood behind it
    link.write(ok("served"));
    EXPECT_EQ(statusOf(other.message()), 200);
    EXPECT_FALSE(endpoint.waitReadable(0));
}

// Its connection is still coming up: what never went out draws nothing from the quota and never will go out,
// also where no attempt may be called off.
TEST_F(CounterRaces, OneThatDisconnectedWhileItsConnectionCameUpIsNotSentOnAndItsChargeGoesBack) {
    for (const bool cancellationAllowed : {true, false}) {
        Server full(0);  // its queue takes one connection; the next does not come up until that is accepted
        Socket plug = connectTo(full.port);
        Json s = counted();
        s["allowed"]["cancel"] = cancellationAllowed;
        Server count;
        GatewayProcess connecting(Targets{target("w", full)}, s,
                                  [&](Json& c) { c["counter"] = count.address(); });
        Socket client = connecting.client();
        client.write(request("spend", "r1", 100'000, "x"));
        Socket at = count.accept();
        EXPECT_TRUE(has(at.message(), "?add=1&"));
        at.write(ok("2"));
        Socket probe =
            connecting.client();  // answered in order: the request before is being connected by then
        probe.write("GET /-/ready HTTP/1.1\r\n\r\n");
        probe.message();
        client.close();
        EXPECT_TRUE(has(at.message(), "?add=-1&"));
        full.accept();
        at.write(ok("1"));
        Socket other = connecting.client();
        std::string free = request("spend", "r2", 100'000, "x");
        other.write(free.replace(free.find("team"), 4, "free"));
        Socket link = full.accept();
        EXPECT_TRUE(has(link.message(), "Request-Id: r2"));
        link.write(ok("served"));
        EXPECT_EQ(statusOf(other.message()), 200);
        EXPECT_FALSE(full.waitReadable(1500));  // the kernel tries to connect again after 1 s
    }
}

// ---- Connections that stand idle ---------------------------------------------------------------------

// The request is found before the end of the connection that would carry it: both have come by then.
TEST(IdleConnectionRaces, OneWhoseEndHasComeButIsNotReadYetCarriesNoNotIdempotentRequest) {
    for (const bool reset : {false, true}) {
        Server endpoint;
        GatewayProcess gateway(Targets{target("w", endpoint)});
        Socket client = gateway.client();
        client.write(request("load", "r1"));
        Socket at = endpoint.accept();
        at.message();
        at.write(ok("one"));
        EXPECT_EQ(statusOf(client.message()), 200);
        gateway.whileStopped([&] {
            client.write(request("spend", "r2", 8000, "x"));
            reset ? at.reset() : at.close();
        });
        Socket fresh = endpoint.accept();
        EXPECT_TRUE(has(fresh.message(), "Request-Id: r2"));
        fresh.write(ok("two"));
        EXPECT_EQ(statusOf(client.message()), 200);
    }
}

// The second answer comes when the next request is on its way: on the same connection it would be served.
TEST(IdleConnectionRaces, ASecondAnswerThatComesLateIsNoOtherRequests) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, settings(),
                           [](Json& c) { c["restMs"] = 3600'000; });
    Socket client = gateway.client();
    client.write(request("load", "r1"));
    Socket at = endpoint.accept();
    at.message();
    at.write(ok("one"));
    EXPECT_EQ(bodyOf(client.message()), "one");
    client.write(request("load", "r2"));
    Socket fresh = endpoint.accept();
    fresh.message();
    at.write(ok("one"));
    EXPECT_TRUE(at.atEnd());  // unasked: the connection is of no further use
    fresh.write(ok("two"));
    EXPECT_EQ(bodyOf(client.message()), "two");
}

// ---- The end of a process ---------------------------------------------------------------------------

// A request that crosses the end of its idle connection is sent once more: somebody still listens then.
TEST(ShutdownRaces, IdleConnectionsEndWhileNewOnesAreStillTaken) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, settings(), [](Json& c) {
        c["stillListenMs"] = 3600'000;
        c["idleStaysMs"] = 1;
    });
    Socket idle = gateway.client();
    EXPECT_EQ(readiness(idle), 200);
    gateway.terminate();
    EXPECT_TRUE(idle.atEnd());
    Socket again = gateway.client();
    again.write(request("spend", "r", 8000, "x"));
    Socket at = endpoint.accept();
    at.message();
    at.write(ok("served"));
    const std::string answer = again.message();
    EXPECT_EQ(statusOf(answer), 200);
    EXPECT_TRUE(has(answer, "Connection: close"));
}

// Whatever the file says while it drains, what it has taken is answered, and the old peers stay.
TEST(ShutdownRaces, ASighupWhileItDrainsWithAFileThatCantBeReadChangesNothing) {
    Server endpoint, next;
    GatewayProcess gateway(Targets{target("w", endpoint)});
    Socket watch = gateway.discovery.accept();
    watch.message();
    Socket client = gateway.client(), probe = gateway.client();
    client.write(request("spend", "r", 8000, "x"));
    Socket at = endpoint.accept();
    at.message();
    gateway.terminate();
    while (readiness(probe) == 200)
        ;
    gateway.reload("{\"discovery\": 7");
    gateway.reload(next);  // and one that can: it is gone over to, as before the drain
    EXPECT_TRUE(has(next.accept().message(), "GET /api/targets HTTP/1.1"));
    EXPECT_TRUE(watch.atEnd());
    at.write(ok("served"));
    EXPECT_EQ(statusOf(client.message()), 200);
    client.close();
    EXPECT_EQ(gateway.wait(), 0);
}

// What the last answer settles goes to the counter soon after it: not before the process has ended.
TEST(ShutdownRaces, WhatTheLastAnswerCostIsStillReconciled) {
    Server endpoint, counter;
    Json s = settings();
    s["domain"] = {{"mayCount", true}, {"counterTimeoutS", 20}, {"maxUnits", 4}, {"postPaid", true}};
    s["contracts"][0] = {{"name", "team"}, {"perSecond", 8}, {"depth", 4}};  // slices of half a second
    for (Json& c : s["classes"]) c["aimS"] = c["deadlineS"] = 400;
    GatewayProcess gateway(Targets{target("w", endpoint)}, s, [&](Json& c) {
        c["counter"] = counter.address();
        c["stillListenMs"] = c["idleStaysMs"] = 1;
    });
    Socket client = gateway.client();
    client.write(request("load", "r", 100'000));
    Socket at = counter.accept();
    EXPECT_TRUE(has(at.message(), "?add=1&"));
    at.write(ok("2"));
    Socket link = endpoint.accept();
    link.message();
    gateway.terminate();
    EXPECT_THROW(for (;;) gateway.client(), std::runtime_error);  // until it listens no more
    link.write(ok("served", "X-Settled: 3\r\n"));
    EXPECT_EQ(statusOf(client.message()), 200);
    client.close();
    // The slice is another one by now, and by its name so may the connection be.
    std::optional<std::string> call;
    while (!call) {
        pollfd either[2] = {{at.fd(), POLLIN, 0}, {counter.fd(), POLLIN, 0}};
        ASSERT_GT(::poll(either, 2, kTestTimeoutMs), 0);
        if (either[1].revents != 0) at = counter.accept();
        call = at.readMessage();
        if (!call) at.close();
    }
    EXPECT_TRUE(has(*call, "?add=2&")) << *call;
    at.write(ok("2"));
    EXPECT_EQ(gateway.wait(), 0);
}

// ---- Clients that send what can't be read -------------------------------------------------------------

// Half a first request does not buy the time that its sender was silent before: both are ended together.
TEST(PartialRequests, HalfARequestIsEndedByWhenItsConnectionCame) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, settings(),
                           [](Json& c) { c["mostPartialMs"] = 1500; });
    Socket late = gateway.client(), early = gateway.client(), probe = gateway.client();
    EXPECT_EQ(readiness(probe), 200);
    early.write("GET /load HTTP/1.1\r\nHost:");
    ::poll(nullptr, 0, 1000);
    late.write("GET /load HTTP/1.1\r\nHost:");
    EXPECT_EQ(statusOf(early.message()), 408);
    EXPECT_EQ(readiness(probe), 200);  // what was done with the early one is over by now
    EXPECT_TRUE(late.waitReadable(0));
    EXPECT_EQ(statusOf(late.message()), 408);
}

// ---- Timers ----------------------------------------------------------------------------------------

TEST(Timers, OneThatThrowsDoesNotStopTheOthers) {
    boost::asio::io_context io;
    TimerQueue timers(io);
    bool fired = false;
    timers.after(Duration::zero(), [] { throw std::runtime_error("of one connection"); });
    timers.after(std::chrono::milliseconds(10), [&] { fired = true; });
    for (bool over = false; !over;) {  // as the service's loop
        try {
            io.run();
            over = true;
        } catch (const std::exception&) {
        }
    }
    EXPECT_TRUE(fired);
}

}  // namespace
}  // namespace gateway::net::test
