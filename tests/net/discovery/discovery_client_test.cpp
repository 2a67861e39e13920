// Calls to discovery and what becomes of them, on sockets.
#include <gtest/gtest.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/discovery/poll_schedule.h"
#include "support/gateway_process.h"

namespace gateway::net::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kTurnedAway = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

Json settingsOf(const std::string& discovery) {
    Json s = settings();
    s["discovery"] = discovery;
    s["rules"]["mustAskInS"] = 3600;  // allows all waits that anybody might think of
    return s;
}

std::string wholeList(int index, const Targets& endpoints) {
    return Json{{"index", index}, {"snapshot", true}, {"endpoints", endpoints}}.dump();
}

// A gateway that knows one endpoint, which holds all it gets, and a second one that only discovery
// can tell it of.
struct Site {
    explicit Site(const std::string& how, Server* discovery = nullptr)
        : gateway(Targets{target("held", held)}, settingsOf(how), [&](Json& c) {
              if (discovery != nullptr) c["discovery"] = discovery->address();
          }) {}

    // Answers a call with a list that names the second one alone, and waits until that is served.
    void answer(Socket& call, int index) {
        call.write(kHead + listLine(index, true, {target("told", told)}));
        expectTold();
    }
    // Waits until a request goes to the second one, so the list that names it is in force.
    void expectTold() {
        for (int i = 0; i < 100; ++i) {
            Socket client = gateway.client();
            std::string free = request("load", "t" + std::to_string(++polled), 1000);
            client.write(free.replace(free.find("team"), 4, "free"));  // no quota
            pollfd either[2] = {{client.fd(), POLLIN, 0}, {told.fd(), POLLIN, 0}};
            if (::poll(either, 2, kTestTimeoutMs) <= 0) break;
            if (either[1].revents == 0) continue;
            Socket at = told.accept();
            at.message();
            return;
        }
        ADD_FAILURE() << "the list is not in force";
    }

    Server held, told;
    GatewayProcess gateway;
    int polled = 0;
};

// Ends of a call, by what its peer does with it.
const std::vector<std::string> kCallEnds = {"closed", "503", "cut", "unanswered", "refused", "notUp"};

// A discovery whose calls end in one of these ways until a moment from which on it can be reached.
class Failing {
public:
    explicit Failing(const std::string& end)
        : how(end),
          server(end == "refused" ? Server::kRefusing
                 : end == "notUp" ? 0
                                  : 64) {
        if (end == "notUp") plug_ = connectTo(server.port);  // its queue takes one: no other comes up
    }

    // `path`: what a call has to ask for.
    void fail(const std::string& path) {
        if (how == "refused") {
            ::poll(nullptr, 0, 2000);  // the first call has been made by then
            return server.listen();
        }
        if (how == "notUp") {
            server.accept();
            return;
        }
        call_ = server.accept();
        EXPECT_TRUE(has(call_.message(), path)) << how;
        if (how == "503") call_.write(kTurnedAway);
        if (how == "cut") call_.write(kHead + chunk(wholeList(77, {}).substr(0, 20)));
        if (how != "unanswered") call_.close();
    }
    // A call that is still open, of all that were made: it asks for `path`.
    Socket openCall(const std::string& path) {
        for (;;) {
            Socket call = server.accept();
            const auto text = call.readMessage();
            if (!text || call.waitReadable(0)) continue;  // given up meanwhile
            EXPECT_TRUE(has(*text, path)) << how;
            return call;
        }
    }

    std::string how;
    Server server;

private:
    Socket plug_, call_;
};

class DiscoveryCalls : public testing::TestWithParam<std::string> {
protected:
    bool polls() const { return GetParam() == "ask"; }
    // Less than what has to pass until a change counts; more than what a call may wait for its moment.
    int within() const { return polls() ? 5900 : 3900; }

    // Lets the calls of each site end in its own way, and expects the next one before a request that came at
    // that moment has run out: both are timed in one process, so a slow machine makes both late.
    void expectCalledAgain(std::list<Failing>& failing, std::list<Site>& sites, const std::string& path) {
        std::vector<Socket> clients;
        auto site = sites.begin();
        for (Failing& f : failing) {
            f.fail(path);
            clients.push_back((site++)->gateway.client());
            clients.back().write(request("load", "clock", within()));
        }
        auto client = clients.begin();
        for (Failing& f : failing) {
            EXPECT_NE(statusOf((client++)->message()), 200) << f.how;
            EXPECT_TRUE(f.server.waitReadable(0)) << f.how;
        }
    }
};

std::string nameOf(const testing::TestParamInfo<std::string>& info) {
    return info.param;
}
INSTANTIATE_TEST_SUITE_P(Ways, DiscoveryCalls, testing::Values("ask", "push"), nameOf);

TEST_P(DiscoveryCalls, AtTheStartEveryEndIsFollowedByACallInTime) {
    std::list<Failing> failing;
    std::list<Site> sites;
    for (const std::string& end : kCallEnds) failing.emplace_back(end);
    for (Failing& f : failing) sites.emplace_back(GetParam(), &f.server);
    expectCalledAgain(failing, sites, "since=41 ");
    auto site = sites.begin();
    for (Failing& f : failing) {
        Socket call = f.openCall("since=41 ");
        (site++)->answer(call, 50);
    }
}

TEST_P(DiscoveryCalls, AfterSighupEveryEndIsFollowedByACallInTime) {
    std::list<Failing> failing;
    std::list<Site> sites;
    for (const std::string& end : kCallEnds) failing.emplace_back(end);
    for (std::size_t i = 0; i < failing.size(); ++i) sites.emplace_back(GetParam());
    auto site = sites.begin();
    for (Failing& f : failing) {
        Socket watch = site->gateway.discovery.accept();
        EXPECT_TRUE(has(watch.message(), "since=41 "));
        watch.write(kHead + listLine(60, false, {}));
        (site++)->gateway.reload(f.server);
        EXPECT_TRUE(watch.waitReadable());
    }
    expectCalledAgain(failing, sites, "GET /api/targets HTTP/1.1\r\n");
    site = sites.begin();
    for (Failing& f : failing) {
        Socket call = f.openCall("GET /api/targets HTTP/1.1\r\n");
        call.write(ok(wholeList(3, {target("told", site->told)})));
        EXPECT_TRUE(has(call.message(), "since=3 ")) << f.how;
        (site++)->expectTold();
    }
}

// What the new discovery has counts 4 s after SIGHUP.
TEST_P(DiscoveryCalls, AfterSighupTheNewOneIsCalledWithinItsTerm) {
    Server next;
    Site site(GetParam());
    Socket watch = site.gateway.discovery.accept();
    watch.message();
    watch.write(kHead + chunk("\n"));
    Socket client = site.gateway.client();
    client.write(request("load", "clock", 3900));
    site.gateway.reload(next);
    EXPECT_NE(statusOf(client.message()), 200);
    EXPECT_TRUE(next.waitReadable(0));
}

// Its first byte comes only when one more call has been made: the list that is under way is taken, and the
// newer call ends.
TEST_P(DiscoveryCalls, AListThatTakesLongToBeginIsTakenAtTheStart) {
    Site site(GetParam());
    Socket slow = site.gateway.discovery.accept();
    slow.message();
    Socket beside = site.gateway.discovery.accept();
    EXPECT_TRUE(has(beside.message(), "since=41 "));
    EXPECT_FALSE(slow.waitReadable(0));
    site.answer(slow, 50);
    EXPECT_TRUE(beside.atEnd());
}

TEST_P(DiscoveryCalls, AListThatTakesLongToBeginIsTakenAfterSighup) {
    Server next;
    Site site(GetParam());
    site.gateway.discovery.accept().message();
    site.gateway.reload(next);
    Socket slow = next.accept();
    slow.message();
    Socket beside = next.accept();
    EXPECT_TRUE(has(beside.message(), "GET /api/targets HTTP/1.1\r\n"));
    slow.write(ok(wholeList(3, {target("told", site.told)})));
    EXPECT_TRUE(beside.atEnd());
    site.expectTold();
    // The watch behind it is one more call, and is not thrown away either while it waits.
    EXPECT_TRUE(has(slow.message(), "since=3 "));
    beside = next.accept();
    EXPECT_TRUE(has(beside.message(), "since=3 "));
    slow.write(kHead + listLine(4, true, {target("held", site.held)}));
    EXPECT_TRUE(beside.atEnd());
}

// A head alone is no list yet, and one that stops amid itself may go on.
TEST_P(DiscoveryCalls, AListThatStopsAmidItselfIsTakenWhenItGoesOn) {
    Site site(GetParam());
    Socket slow = site.gateway.discovery.accept();
    slow.message();
    const std::string list = wholeList(50, {target("told", site.told)});
    slow.write(kHead);
    Socket beside = site.gateway.discovery.accept();
    beside.message();
    slow.write(chunk(list.substr(0, 30)));
    EXPECT_TRUE(beside.atEnd());
    beside = site.gateway.discovery.accept();  // 2.3 s after that word at the earliest
    EXPECT_TRUE(has(beside.message(), "since=41 "));
    slow.write(chunk(list.substr(30)));
    EXPECT_TRUE(beside.atEnd());
    site.expectTold();
}

TEST_P(DiscoveryCalls, ANewerCallThatIsAnsweredFirstEndsTheOlder) {
    Site site(GetParam());
    Socket slow = site.gateway.discovery.accept();
    slow.message();
    Socket beside = site.gateway.discovery.accept();
    beside.message();
    site.answer(beside, 50);
    EXPECT_TRUE(slow.atEnd());
}

// Turned away is no answer that the other call would end for.
TEST_P(DiscoveryCalls, OneThatIsRejectedLeavesTheOtherOpen) {
    for (const bool older : {false, true}) {
        Site site(GetParam());
        Socket slow = site.gateway.discovery.accept();
        slow.message();
        Socket beside = site.gateway.discovery.accept();
        beside.message();
        Socket& away = older ? slow : beside;
        away.write(kTurnedAway);
        EXPECT_TRUE(away.atEnd());
        site.answer(older ? beside : slow, 50);
    }
}

// Two at most: what discovery never answers holds no more descriptors than that.
TEST_P(DiscoveryCalls, OfThoseThatAreNotAnsweredTheNewestTwoStayOpen) {
    Site site(GetParam());
    Socket first = site.gateway.discovery.accept(), second = site.gateway.discovery.accept();
    EXPECT_FALSE(first.message().empty());
    EXPECT_FALSE(second.message().empty());
    Socket third = site.gateway.discovery.accept();
    EXPECT_FALSE(third.message().empty());
    EXPECT_TRUE(first.atEnd());
    EXPECT_FALSE(second.waitReadable(0));
    site.answer(second, 50);
    EXPECT_TRUE(third.atEnd());
}

TEST_P(DiscoveryCalls, SighupEndsBothAndTheNewDiscoveryIsAskedForAll) {
    Server next;
    Site site(GetParam());
    Socket first = site.gateway.discovery.accept(), second = site.gateway.discovery.accept();
    first.message();
    second.message();
    site.gateway.reload(next);
    EXPECT_TRUE(first.atEnd());
    EXPECT_TRUE(second.atEnd());
    Socket call = next.accept();
    EXPECT_TRUE(has(call.message(), "GET /api/targets HTTP/1.1\r\n"));
}

TEST_P(DiscoveryCalls, AProcessThatIsToldToEndDoesSoWithBothOpen) {
    Site site(GetParam());
    Socket first = site.gateway.discovery.accept(), second = site.gateway.discovery.accept();
    site.gateway.terminate();
    EXPECT_EQ(site.gateway.wait(), 0);
}

int readiness(Socket& client) {
    client.write("GET /-/ready HTTP/1.1\r\n\r\n");
    return statusOf(client.message());
}

// Until it is: on the list that it was given, whatever becomes of its calls.
void expectReady(const GatewayProcess& gateway) {
    Socket client = gateway.client();
    for (int i = 0; i < kTestTimeoutMs / 10; ++i) {
        if (readiness(client) == 200) return;
        ::poll(nullptr, 0, 10);
    }
    ADD_FAILURE() << "not ready";
}

TEST_P(DiscoveryCalls, ANewProcessIsReadyWhateverBecomesOfItsCalls) {
    for (const std::string& end : kCallEnds) {
        Failing failing(end);
        Server endpoint;
        GatewayProcess gateway(Targets{target("w", endpoint)}, settingsOf(GetParam()), [&](Json& c) {
            c["discovery"] = failing.server.address();
            c["listWaitMs"] = 500;
        });
        if (end != "refused" && end != "notUp") failing.fail("since=41 ");
        expectReady(gateway);
    }
}

// A quarter of a fleet that is restarted at once, before one discovery that says nothing or turns all away.
TEST_P(DiscoveryCalls, ManyThatStartAtOnceAreAllReady) {
    for (const bool turnsAway : {false, true}) {
        Server endpoint, discovery;
        std::list<GatewayProcess> gateways;
        for (int i = 0; i < 12; ++i) {
            Json s = settingsOf(GetParam());
            s["balancers"] = 12;
            s["me"] = i;
            gateways.emplace_back(Targets{target("w", endpoint)}, s, [&](Json& c) {
                c["discovery"] = discovery.address();
                c["listWaitMs"] = 500;
            });
        }
        std::vector<Socket> calls;
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            calls.push_back(discovery.accept());
            if (turnsAway) calls.back().write(kTurnedAway);
        }
        for (const GatewayProcess& gateway : gateways) expectReady(gateway);
    }
}

// One that knows of no endpoint waits for a list, but not for ever.
TEST_P(DiscoveryCalls, AnEmptyListIsWaitedForAndNotForEver) {
    for (const bool patient : {true, false}) {
        GatewayProcess gateway(Targets{}, settingsOf(GetParam()),
                               [&](Json& c) { c["emptyWaitMs"] = patient ? 3600'000 : 1; });
        Socket call = gateway.discovery.accept();
        call.message();
        if (patient) {
            Socket client = gateway.client();
            EXPECT_EQ(readiness(client), 503);
            Server endpoint;
            call.write(kHead + listLine(42, false, {target("w", endpoint)}));
        }
        expectReady(gateway);
    }
    EXPECT_LT(readConfig(Json{{"listen", "127.0.0.1:0"},
                              {"discovery", "127.0.0.1:1"},
                              {"seed", "1"},
                              {"settings", settings()}}
                             .dump())
                  .timing.emptyListWait,
              seconds(6));  // what discovery has counts then
}

// A watch that had brought something whole and says no more is ended at once: what it may still bring is
// older than what the next one does.
TEST_P(DiscoveryCalls, AWatchThatFallsSilentEndsBeforeTheNextCall) {
    Site site(GetParam());
    Socket watch = site.gateway.discovery.accept();
    watch.message();
    watch.write(kHead + listLine(45, true, {target("held", site.held)}));
    EXPECT_TRUE(watch.atEnd());
    Socket next = site.gateway.discovery.accept();
    EXPECT_TRUE(has(next.message(), "since=45 "));
    site.answer(next, 46);
}

}  // namespace
}  // namespace gateway::net::test
