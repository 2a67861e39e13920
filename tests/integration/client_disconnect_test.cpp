// Clients that leave: no attempt of theirs, first or further, begins after that. Each moment is forced: what
// crosses the leaving is found together with it by a gateway that was stopped meanwhile. What the kernel
// tells first is also handled first, so what would begin an attempt comes before the leaving, and a request
// of another client that is sent after that shows at the endpoints what was begun before it.
#include <gtest/gtest.h>

#include <fstream>
#include <functional>
#include <sstream>

#include "support/gateway_process.h"

namespace gateway::net::test {
namespace {

struct Manner {
    const char* name;
    std::function<void(Socket&)> leave;
};
// One that ends only its sending side has gone as well: on the wire both begin alike.
const Manner kManners[] = {{"close", [](Socket& s) { s.close(); }},
                           {"reset", [](Socket& s) { s.reset(); }},
                           {"half", [](Socket& s) { ::shutdown(s.fd(), SHUT_WR); }}};

Json patient() {
    Json s = settings();
    for (Json& c : s["classes"]) c["aimS"] = c["deadlineS"] = 400;  // waits are shares of the aim
    return s;
}

Json counted() {
    Json s = patient();
    s["domain"] = {{"mayCount", true}, {"counterTimeoutS", 20}, {"maxUnits", 4}};
    return s;
}

std::string ofFree(std::string text) {  // a plan without a quota: the counter is not asked
    return text.replace(text.find("team"), 4, "free");
}

void answerReadiness(const GatewayProcess& gateway) {  // what came before is handled once this is answered
    Socket probe = gateway.client();
    probe.write("GET /-/ready HTTP/1.1\r\n\r\n");
    probe.message();
}

// A client that stays is served next: nothing was begun before it, on new connections or on `links`.
void expectOnlyTheOther(const GatewayProcess& gateway, std::vector<Server*> servers,
                        std::vector<Socket*> links, const std::string& note) {
    Socket other = gateway.client();
    other.write(ofFree(request("spend", "other", 100'000, "x")));
    std::vector<pollfd> polls;
    polls.reserve(links.size() + servers.size());
    for (Socket* link : links) polls.push_back({link->fd(), POLLIN, 0});
    for (Server* server : servers) polls.push_back({server->fd(), POLLIN, 0});
    ASSERT_GT(::poll(polls.data(), polls.size(), kTestTimeoutMs), 0) << note;
    Socket accepted;
    Socket* at = nullptr;
    for (std::size_t i = 0; i < polls.size(); ++i) {
        if (polls[i].revents == 0) continue;
        ASSERT_EQ(at, nullptr) << note << ": two were begun";
        if (i >= links.size()) accepted = servers[i - links.size()]->accept();
        at = i < links.size() ? links[i] : &accepted;
    }
    const std::string got = at->message();
    EXPECT_TRUE(has(got, "Request-Id: other\r\n")) << note << ": " << got;
    at->write(ok("served"));
    EXPECT_EQ(statusOf(other.message()), 200) << note;
    for (pollfd& p : polls) p.revents = 0;
    EXPECT_EQ(::poll(polls.data(), polls.size(), 0), 0) << note << ": another was begun";
}

// Serves one request and leaves the connection that carried it idle.
Socket idleLink(const GatewayProcess& gateway, Server& endpoint) {
    Socket client = gateway.client();
    client.write(ofFree(request("load", "first", 100'000)));
    Socket link = endpoint.accept();
    link.message();
    link.write(ok("x"));
    client.message();
    return link;
}

// ---- While the counter is asked ------------------------------------------------------------------------

class DisconnectWhileCounting : public testing::Test {
protected:
    const YoungSliceTenant youngSliceTenant;
};

TEST_F(DisconnectWhileCounting, WhoDisconnectsInWhateverMannerWhileItIsAskedIsNotSentOnAndItsChargeGoesBack) {
    for (const Manner& manner : kManners) {
        Server endpoint, counter;
        GatewayProcess gateway(Targets{target("w", endpoint)}, counted(),
                               [&](Json& c) { c["counter"] = counter.address(); });
        Socket client = gateway.client();
        client.write(request("spend", "gone", 100'000, "x"));
        Socket at = counter.accept();
        EXPECT_TRUE(has(at.message(), "?add=1&"));
        manner.leave(client);
        EXPECT_TRUE(has(at.message(), "?add=-1&")) << manner.name;
        at.write(ok("2") + ok("1"));
        expectOnlyTheOther(gateway, {&endpoint}, {}, manner.name);
    }
}

TEST_F(DisconnectWhileCounting, WhoDisconnectsAsItsAnswerComesIsNotSentOnAndItsChargeGoesBack) {
    for (const Manner& manner : kManners) {
        Server endpoint, counter;
        GatewayProcess gateway(Targets{target("w", endpoint)}, counted(),
                               [&](Json& c) { c["counter"] = counter.address(); });
        Socket link = idleLink(gateway, endpoint);
        Socket client = gateway.client();
        client.write(request("spend", "gone", 100'000, "x"));
        Socket at = counter.accept();
        EXPECT_TRUE(has(at.message(), "?add=1&"));
        gateway.whileStopped([&] {
            at.write(ok("2"));
            manner.leave(client);
        });
        EXPECT_TRUE(has(at.message(), "?add=-1&")) << manner.name;  // with the next settlement
        expectOnlyTheOther(gateway, {&endpoint}, {&link}, manner.name);
    }
}

// The counter says nothing: a timer lets the request go on. Where the machine was so slow that this came
// before the stop, the client had not left, and the wait is made longer.
TEST_F(DisconnectWhileCounting, WhoDisconnectsAsTheWaitForItRunsOutIsNotSentOn) {
    for (double wait = 1;; wait *= 3) {
        ASSERT_LT(wait, 30);
        Server endpoint, counter;
        Json s = counted();
        for (Json& c : s["classes"]) c["aimS"] = 10 * wait;
        GatewayProcess gateway(Targets{target("w", endpoint)}, s,
                               [&](Json& c) { c["counter"] = counter.address(); });
        Socket link = idleLink(gateway, endpoint);
        Socket client = gateway.client();
        client.write(request("spend", "gone", 100'000, "x"));
        Socket at = counter.accept();
        EXPECT_TRUE(has(at.message(), "?add=1&"));
        bool early = false;
        gateway.whileStopped([&] {
            early = link.waitReadable(0);
            if (!early) ::poll(nullptr, 0, static_cast<int>(wait * 1000) + 100);
            client.close();
        });
        if (early) continue;
        expectOnlyTheOther(gateway, {&endpoint}, {&link}, "timer");
        return;
    }
}

// ---- A request and its client's end are found together ---------------------------------------------------

TEST(DisconnectWithRequest, ARequestThatIsFoundTogetherWithItsClientsEndIsNotSentOn) {
    for (const Manner& manner : kManners) {
        Server endpoint;
        GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
        Socket link = idleLink(gateway, endpoint);
        Socket client = gateway.client();
        answerReadiness(gateway);  // the client is taken in by then
        gateway.whileStopped([&] {
            client.write(ofFree(request("spend", "gone", 100'000, "x")));
            manner.leave(client);
        });
        expectOnlyTheOther(gateway, {&endpoint}, {&link}, manner.name);
    }
}

// What it sent ahead is not read yet and stands in front of its end.
TEST(DisconnectWithRequest, NorOneBehindWhichMoreWasPipelined) {
    for (const Manner& manner : kManners) {
        Server endpoint;
        GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
        Socket link = idleLink(gateway, endpoint);
        Socket client = gateway.client();
        answerReadiness(gateway);
        gateway.whileStopped([&] {
            client.write(ofFree(request("spend", "gone", 100'000, "x")) +
                         ofFree(request("spend", "behind", 100'000, std::string(30'000, 'x'))));
            manner.leave(client);
        });
        expectOnlyTheOther(gateway, {&endpoint}, {&link}, manner.name);
    }
}

// The same bytes from one that stays: both are served, in order.
TEST(DisconnectWithRequest, OneThatPipelinedMuchAndStaysIsServed) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
    Socket link = idleLink(gateway, endpoint);
    Socket client = gateway.client();
    answerReadiness(gateway);
    gateway.whileStopped([&] {
        client.write(ofFree(request("spend", "r1", 100'000, "x")) +
                     ofFree(request("spend", "r2", 100'000, std::string(30'000, 'x'))));
    });
    for (const char* id : {"r1", "r2"}) {
        EXPECT_TRUE(has(link.message(), std::string("Request-Id: ") + id));
        link.write(ok(id));
        EXPECT_EQ(bodyOf(client.message()), id);
    }
}

TEST(DisconnectWithRequest, WhatAClientThatDisconnectedHadPipelinedNeverBegins) {
    for (const Manner& manner : kManners) {
        for (const bool stopped : {false, true}) {
            Server endpoint;
            GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
            Socket client = gateway.client();
            client.write(ofFree(request("spend", "r1", 100'000, "x")) +
                         ofFree(request("spend", "r2", 100'000, "x")));
            Socket link = endpoint.accept();
            EXPECT_TRUE(has(link.message(), "Request-Id: r1"));
            if (stopped) {  // its first one is answered just then
                gateway.whileStopped([&] {
                    link.write(ok("x"));
                    manner.leave(client);
                });
                expectOnlyTheOther(gateway, {&endpoint}, {&link}, manner.name);
            } else {
                manner.leave(client);
                EXPECT_TRUE(link.atEnd()) << manner.name;  // called off
                expectOnlyTheOther(gateway, {&endpoint}, {}, manner.name);
            }
        }
    }
}

// ---- While its connection to an endpoint comes up
// -----------------------------------------------------

TEST(DisconnectWhileConnecting, WhoDisconnectsAsTheConnectionComesUpIsNotSentOn) {
    for (const bool cancellationAllowed : {true, false}) {
        for (const Manner& manner : kManners) {
            Server full(0);  // its queue takes one connection; the next comes up once that is accepted
            Socket plug = connectTo(full.port);
            Json s = patient();
            s["allowed"]["cancel"] = cancellationAllowed;
            GatewayProcess gateway(Targets{target("w", full)}, s);
            Socket client = gateway.client();
            client.write(ofFree(request("spend", "gone", 100'000, "x")));
            answerReadiness(gateway);  // it is connected for by then
            Socket link;
            gateway.whileStopped([&] {
                full.accept();
                link = full.accept();  // the kernel tries again after about 1 s
                manner.leave(client);
            });
            EXPECT_TRUE(link.atEnd()) << manner.name;
            expectOnlyTheOther(gateway, {&full}, {}, manner.name);
        }
    }
}

// ---- Between two attempts ------------------------------------------------------------------------------

// The first attempt fails, and its client leaves, before either is found.
TEST(DisconnectBeforeRetry, WhoDisconnectsAsItsFirstAttemptFailsHasNoFurtherOne) {
    const std::pair<const char*, std::function<void(Socket&)>> failures[] = {
        {"turned away",
         [](Socket& s) { s.write("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"); }},
        {"failed", [](Socket& s) { s.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"); }},
        {"spoilt", [](Socket& s) { s.write("noise\r\n\r\n"); }},
        {"closed", [](Socket& s) { s.close(); }},
        {"reset", [](Socket& s) { s.reset(); }}};
    for (const auto& [what, fail] : failures) {
        for (const Manner& manner : kManners) {
            const std::string note = std::string(what) + ", " + manner.name;
            Server a, b;
            GatewayProcess gateway(Targets{target("a", a), target("b", b)}, patient());
            Socket client = gateway.client();
            client.write(ofFree(request("load", "gone", 100'000)));
            pollfd both[] = {{a.fd(), POLLIN, 0}, {b.fd(), POLLIN, 0}};
            ASSERT_GT(::poll(both, 2, kTestTimeoutMs), 0);
            Socket link = (both[0].revents != 0 ? a : b).accept();
            link.message();
            gateway.whileStopped([&, &fail = fail] {
                fail(link);
                manner.leave(client);
            });
            std::vector<Socket*> links;
            if (std::string(what) == "turned away" || std::string(what) == "failed") links.push_back(&link);
            expectOnlyTheOther(gateway, {&a, &b}, links, note);
        }
    }
}

// True while a connection to `port` waits to come up.
bool isDialled(unsigned short port) {
    std::ifstream table("/proc/net/tcp");
    char peer[16];
    std::snprintf(peer, sizeof peer, "0100007F:%04X", port);
    for (std::string line; std::getline(table, line);) {
        std::istringstream fields(line);
        std::string number, from, to, state;
        fields >> number >> from >> to >> state;
        if (to == peer && state == "02") return true;
    }
    return false;
}

TEST(DisconnectBeforeRetry, WhoDisconnectsAsItsConnectionIsRefusedHasNoFurtherAttempt) {
    for (const Manner& manner : kManners) {
        GatewayProcess gateway(Targets{}, patient());
        Socket watch = gateway.discovery.accept();
        watch.message();
        const auto announce = [&](int index, const Json& listed) {
            watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                        listLine(index, false, {listed}));
            watch.close();
            watch = gateway.discovery.accept();  // the list is in force by then
            EXPECT_TRUE(has(watch.message(), "since=" + std::to_string(index) + " "));
        };
        // Made after the gateway's process, which would hold its descriptor open otherwise.
        Server full(0), endpoint;
        Socket plug = connectTo(full.port);
        announce(42, target("w", full));
        Socket client = gateway.client();
        client.write(ofFree(request("spend", "gone", 100'000, "x")));
        answerReadiness(gateway);
        ASSERT_TRUE(isDialled(full.port));
        announce(43, target("v", endpoint));  // somewhere to go to
        gateway.whileStopped([&] {
            full.close();
            while (isDialled(full.port)) ::poll(nullptr, 0, 1);  // the kernel tries again after about 1 s
            manner.leave(client);
        });
        expectOnlyTheOther(gateway, {&endpoint}, {}, manner.name);
    }
}

// Where nothing may be called off the attempt stays out; what it ends with is nobody's.
TEST(DisconnectBeforeRetry, AnAttemptThatMayNotBeCancelledIsTheLast) {
    for (const Manner& manner : kManners) {
        for (const bool reset : {true, false}) {
            Server a, b;
            Json s = patient();
            s["allowed"]["cancel"] = false;
            GatewayProcess gateway(Targets{target("a", a), target("b", b)}, s);
            Socket client = gateway.client();
            client.write(ofFree(request("load", "gone", 100'000)));
            pollfd both[] = {{a.fd(), POLLIN, 0}, {b.fd(), POLLIN, 0}};
            ASSERT_GT(::poll(both, 2, kTestTimeoutMs), 0);
            Socket link = (both[0].revents != 0 ? a : b).accept();
            link.message();
            manner.leave(client);
            answerReadiness(gateway);
            EXPECT_FALSE(link.waitReadable(0)) << manner.name;
            std::vector<Socket*> links;
            if (reset) {
                link.reset();
            } else {
                link.write("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
                links.push_back(&link);
            }
            expectOnlyTheOther(gateway, {&a, &b}, links, manner.name);
        }
    }
}

}  // namespace
}  // namespace gateway::net::test
