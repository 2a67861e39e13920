// How soon a change of the list is known after discovery failed, refused, was silent or slow, and how the
// calls of a fleet are spread: the moments by arithmetic alone, what becomes of the calls on real sockets.
#include <gtest/gtest.h>

#include <deque>
#include <iostream>
#include <list>
#include <queue>
#include <vector>

#include "net/discovery/poll_schedule.h"
#include "support/gateway_process.h"

namespace gateway::net::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kDay = seconds(1'800'000'000);  // some moment of the clock that all share

double inSeconds(Duration d) {
    return static_cast<double>(d.count()) / 1e6;
}

// ---- Moments ----------------------------------------------------------------------------------------

TEST(PollSlots, TheNextOwnMomentIsAheadWithinAPeriodAndEverybodysOwn) {
    for (const int n : {1, 3, 100, 300}) {
        for (const Duration period : {Duration(milliseconds(1500)), Duration(milliseconds(4500))}) {
            for (int self = 0; self < n; ++self) {
                const PollSlots slots(self, n);
                for (Time now = kDay; now < kDay + 2 * period; now += Duration(97'001)) {
                    const Duration wait = slots.until(now, period);
                    ASSERT_GT(wait, Duration::zero());
                    ASSERT_LE(wait, period);
                    ASSERT_EQ((now + wait) % period, period * self / n);
                }
                // At its own moment the one that is meant is the next.
                const Time own = kDay + slots.until(kDay, period);
                ASSERT_EQ(slots.until(own, period), period);
            }
        }
    }
}

TEST(PollSlots, OddNumbersOfTheSettingsDoNoHarm) {
    for (const auto& [self, n] : {std::pair(-1, 3), {3, 3}, {5, 0}, {0, 0}}) {
        const Duration wait = PollSlots(self, n).until(kDay, seconds(4));
        EXPECT_GT(wait, Duration::zero());
        EXPECT_LE(wait, seconds(4));
    }
}

enum class End { refused, notUp, unanswered, turnedAway, broken, cutAmidList, silent };
constexpr End kEnds[] = {End::refused, End::notUp,       End::unanswered, End::turnedAway,
                         End::broken,  End::cutAmidList, End::silent};

// When a call is begun that finds discovery well, which could be reached again from `back` on; the call
// before is begun, or had its last word, at `from`, and every one before `back` ends in the same way.
Time callAfter(End end, PollSchedule& schedule, Time from, Time back) {
    Time next{};
    switch (end) {
        case End::broken:  // the watch, and then the calls are refused
            next = from + schedule.afterEnd(from);
            break;
        case End::silent:
            next = from + kMaxSilence;
            next += schedule.afterSilence(next);
            break;
        default:
            next = from;
    }
    while (next < back) {
        const Time began = next;
        next += schedule.afterBegin(began);
        // A call that ends sets the next one, where none was begun since.
        const auto ends = [&](Duration later) {
            if (began + later < next) next = began + later + schedule.afterEnd(began + later);
        };
        const auto opens = [&](Duration later) {
            if (began + later < next) next = began + later + schedule.afterRequest(began + later);
        };
        switch (end) {
            case End::notUp:
                break;
            case End::unanswered:
            case End::silent:
                opens(milliseconds(2));
                break;
            case End::refused:
            case End::broken:
                ends(milliseconds(1));
                break;
            case End::turnedAway:  // after a wait in its queue
                opens(milliseconds(2));
                ends(milliseconds(900));
                break;
            case End::cutAmidList:
                opens(milliseconds(2));
                ends(milliseconds(400));
                break;
        }
    }
    return next;
}

TEST(PollSchedule, AfterEveryEndAndAtEveryMomentOfReturnTheListIsKnownWithinItsTerm) {
    Duration worst{};
    for (const Duration maxPollInterval : {Duration::zero(), Duration(seconds(1)), Duration(seconds(10))}) {
        for (int self = 0; self < 300; ++self) {
            const Time from = kDay + Duration(self * 41'003);
            for (const End end : kEnds) {
                for (Duration down{}; down <= seconds(12); down += Duration(49'999)) {
                    PollSchedule schedule = PollSchedule::poll(self, 300, maxPollInterval, 7);
                    const Time back = from + down;
                    // A watch is not known to be silent before it has been.
                    const bool lateSeen = end == End::silent && down < kMaxSilence;
                    const Duration call = lateSeen ? kMaxCallTimeAfterSilence : kMaxCallTime;
                    const Duration known = callAfter(end, schedule, from, back) + call - back;
                    ASSERT_LE(known, kUpdateDeadline)
                        << static_cast<int>(end) << " " << self << " " << inSeconds(down);
                    worst = std::max(worst, known);
                }
            }
        }
    }
    std::cout << "worst: known " << inSeconds(worst)
              << " s after discovery could be reached, of which the call " << inSeconds(kMaxCallTime)
              << " s\n";
    EXPECT_GT(worst, kUpdateDeadline - milliseconds(100));  // or it calls more often than it has to
}

TEST(PollSchedule, AnAgentIsCalledAgainAtOnce) {
    Duration worst{};
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        for (const End end : kEnds) {
            for (Duration down{}; down <= seconds(12); down += Duration(49'999)) {
                PollSchedule schedule = PollSchedule::push(seed);
                const Duration wait = callAfter(end, schedule, kDay, kDay + down) - kDay - down;
                // What waits unanswered is answered itself; a new call is made beside it all the same.
                const bool waits = end == End::unanswered || end == End::silent;
                ASSERT_LE(wait, waits ? kMaxSilence + milliseconds(2) : kMaxConnectTime + milliseconds(200));
                if (end == End::refused || end == End::broken) worst = std::max(worst, wait);
            }
        }
    }
    EXPECT_LE(worst, milliseconds(201));
}

// Also where the first one is turned away, in the first second after SIGHUP at the latest moment of all.
TEST(PollSchedule, AfterAReloadTheNewDiscoveryIsCalledTwiceWithinTheTermIfNeedBe) {
    for (int self = 0; self < 300; ++self) {
        for (Time at = kDay; at < kDay + seconds(5); at += Duration(49'999)) {
            PollSchedule schedule = PollSchedule::poll(self, 300, seconds(10), 7);
            const Time first = at + schedule.afterReload(at);
            ASSERT_LE(first + kMaxCallTime, at + kReloadDeadline - seconds(1));
            const Time second = first + milliseconds(5) + schedule.afterEnd(first + milliseconds(5));
            ASSERT_LE(second, at + seconds(3));
            ASSERT_GE(second, first + milliseconds(1000));  // it was turned away: not at once
        }
        PollSchedule push = PollSchedule::push(7);
        ASSERT_EQ(push.afterReload(kDay), Duration::zero());
    }
}

TEST(PollSchedule, NeverAskedLessOftenThanTheSettingsWant) {
    for (const Duration maxPollInterval : {seconds(1), seconds(2), seconds(4)}) {
        for (int self = 0; self < 300; ++self) {
            PollSchedule schedule = PollSchedule::poll(self, 300, maxPollInterval, 7);
            for (Time at = kDay; at < kDay + seconds(10); at += Duration(99'991)) {
                ASSERT_LE(schedule.afterBegin(at), maxPollInterval);
                ASSERT_LE(schedule.afterEnd(at), maxPollInterval);
                ASSERT_LE(schedule.afterSilence(at), maxPollInterval);
            }
        }
    }
}

// ---- A fleet ----------------------------------------------------------------------------------------

// How the next calls were timed before: waits drawn evenly up to a bound that doubles, from half of what
// `mustAskInS` says to all of it, and a draw within a second after a watch that fell silent.
class Drawn {
public:
    Drawn(Duration maxPollInterval, std::uint64_t seed)
        : backoff_(maxPollInterval / 2, maxPollInterval, seed) {}
    Duration afterEnd(Time) { return backoff_.next(); }
    Duration afterSilence(Time) { return backoff_.within(seconds(1)); }
    Duration afterReload(Time) { return Duration::zero(); }
    // Given up after 2.3 s, and let off from there.
    Duration afterUnanswered(Time) { return kMaxSilence + backoff_.next(); }

private:
    Backoff backoff_;
};
class Scheduled : public PollSchedule {
public:
    Scheduled(int self, int n, Duration maxPollInterval) : PollSchedule(poll(self, n, maxPollInterval, 7)) {}
    Duration afterUnanswered(Time now) const { return afterBegin(now); }
};

struct Spread {
    int fullestSecond = 0, turnedAway = 0;
    double latest = 0;  // known so long after discovery could be reached, in seconds
};

// 300 gateways lose their watches at kDay (`how`: broken, silent, or moved by SIGHUP); discovery can be
// reached from `down` later. It serves 80 calls a second in turn, 20 wait, and more are turned away.
enum class Loss { broken, unanswered, silent, moved };
template <class DecisionEngine>
Spread play(std::vector<DecisionEngine> fleet, Loss how, Duration down) {
    constexpr Duration kService = milliseconds(1000) / 80;
    constexpr int kQueue = 20;
    using Call = std::pair<Time, std::size_t>;
    std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        Time at = kDay;
        switch (how) {
            case Loss::broken:
            case Loss::unanswered:
                at += fleet[i].afterEnd(at);
                break;
            case Loss::silent:
                at += kMaxSilence;
                at += fleet[i].afterSilence(at);
                break;
            case Loss::moved:
                at += fleet[i].afterReload(at);
                break;
        }
        calls.push({at, i});
    }
    const Time back = kDay + down;
    Spread spread;
    Time freeAt = back;
    std::deque<Time> lastSecond;
    while (!calls.empty()) {
        const auto [at, i] = calls.top();
        calls.pop();
        lastSecond.push_back(at);
        while (at - lastSecond.front() >= seconds(1)) lastSecond.pop_front();
        spread.fullestSecond = std::max(spread.fullestSecond, static_cast<int>(lastSecond.size()));
        if (at < back) {
            const Duration wait =
                how == Loss::unanswered ? fleet[i].afterUnanswered(at) : fleet[i].afterEnd(at);
            calls.push({at + wait, i});
            continue;
        }
        freeAt = std::max(freeAt, at);
        if (freeAt - at > kQueue * kService) {
            ++spread.turnedAway;
            calls.push({at + fleet[i].afterEnd(at), i});
            continue;
        }
        freeAt += kService;
        spread.latest = std::max(spread.latest, inSeconds(freeAt - back));
    }
    return spread;
}

struct Compared {
    Spread before, after;
};
Compared compared(const char* what, Loss how, Duration down) {
    constexpr int kFleet = 300;
    std::vector<Drawn> drawn;
    std::vector<Scheduled> scheduled;
    for (int i = 0; i < kFleet; ++i) {
        drawn.emplace_back(seconds(10), static_cast<std::uint64_t>(i + 1));
        scheduled.emplace_back(i, kFleet, seconds(10));
    }
    const Compared c{play(drawn, how, down), play(scheduled, how, down)};
    for (const auto& [name, s] : {std::pair("before", c.before), std::pair("after", c.after)})
        std::cout << what << ", " << name << ": " << s.fullestSecond << " calls in the fullest second, "
                  << s.turnedAway << " turned away, the latest known after " << s.latest << " s\n";
    return c;
}

TEST(Fleet, CallsOfThreeHundredAreSpreadAndNoneIsKnownLate) {
    const Compared refused = compared("refused for 8 s", Loss::broken, seconds(8));
    EXPECT_LE(refused.after.fullestSecond, 68);  // 300 in 4.5 s
    EXPECT_LT(refused.after.fullestSecond, refused.before.fullestSecond);
    EXPECT_EQ(refused.after.turnedAway, 0);
    EXPECT_LE(refused.after.latest, 6);

    const Compared unanswered = compared("unanswered for 8 s", Loss::unanswered, seconds(8));
    EXPECT_LE(unanswered.after.fullestSecond, 68);
    EXPECT_EQ(unanswered.after.turnedAway, 0);
    EXPECT_LE(unanswered.after.latest, 6);

    const Compared silent = compared("all silent at once", Loss::silent, seconds(0));
    EXPECT_LE(silent.after.fullestSecond, 150);
    EXPECT_LT(silent.after.fullestSecond, silent.before.fullestSecond);
    EXPECT_LT(silent.after.turnedAway, silent.before.turnedAway);

    const Compared moved = compared("SIGHUP to all at once", Loss::moved, seconds(0));
    EXPECT_LT(moved.after.fullestSecond, moved.before.fullestSecond);
    EXPECT_LT(moved.after.turnedAway, moved.before.turnedAway);
    EXPECT_LT(moved.after.latest, moved.before.latest);
}

// ---- What becomes of calls, on sockets ----------------------------------------------------------------

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
        : gate(Targets{target("held", held)}, settingsOf(how), [&](Json& c) {
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
            Socket client = gate.client();
            std::string free = request("load", "t" + std::to_string(++poll_), 1000);
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
    GatewayProcess gate;
    int poll_ = 0;
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
            clients.push_back((site++)->gate.client());
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
        Socket watch = site->gate.discovery.accept();
        EXPECT_TRUE(has(watch.message(), "since=41 "));
        watch.write(kHead + listLine(60, false, {}));
        (site++)->gate.reload(f.server);
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
    Socket watch = site.gate.discovery.accept();
    watch.message();
    watch.write(kHead + chunk("\n"));
    Socket client = site.gate.client();
    client.write(request("load", "clock", 3900));
    site.gate.reload(next);
    EXPECT_NE(statusOf(client.message()), 200);
    EXPECT_TRUE(next.waitReadable(0));
}

// Its first byte comes only when one more call has been made: the list that is under way is taken, and the
// newer call ends.
TEST_P(DiscoveryCalls, AListThatTakesLongToBeginIsTakenAtTheStart) {
    Site site(GetParam());
    Socket slow = site.gate.discovery.accept();
    slow.message();
    Socket beside = site.gate.discovery.accept();
    EXPECT_TRUE(has(beside.message(), "since=41 "));
    EXPECT_FALSE(slow.waitReadable(0));
    site.answer(slow, 50);
    EXPECT_TRUE(beside.atEnd());
}

TEST_P(DiscoveryCalls, AListThatTakesLongToBeginIsTakenAfterSighup) {
    Server next;
    Site site(GetParam());
    site.gate.discovery.accept().message();
    site.gate.reload(next);
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
    Socket slow = site.gate.discovery.accept();
    slow.message();
    const std::string list = wholeList(50, {target("told", site.told)});
    slow.write(kHead);
    Socket beside = site.gate.discovery.accept();
    beside.message();
    slow.write(chunk(list.substr(0, 30)));
    EXPECT_TRUE(beside.atEnd());
    beside = site.gate.discovery.accept();  // 2.3 s after that word at the earliest
    EXPECT_TRUE(has(beside.message(), "since=41 "));
    slow.write(chunk(list.substr(30)));
    EXPECT_TRUE(beside.atEnd());
    site.expectTold();
}

TEST_P(DiscoveryCalls, ANewerCallThatIsAnsweredFirstEndsTheOlder) {
    Site site(GetParam());
    Socket slow = site.gate.discovery.accept();
    slow.message();
    Socket beside = site.gate.discovery.accept();
    beside.message();
    site.answer(beside, 50);
    EXPECT_TRUE(slow.atEnd());
}

// Turned away is no answer that the other call would end for.
TEST_P(DiscoveryCalls, OneThatIsTurnedAwayLeavesTheOtherOpen) {
    for (const bool older : {false, true}) {
        Site site(GetParam());
        Socket slow = site.gate.discovery.accept();
        slow.message();
        Socket beside = site.gate.discovery.accept();
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
    Socket first = site.gate.discovery.accept(), second = site.gate.discovery.accept();
    EXPECT_FALSE(first.message().empty());
    EXPECT_FALSE(second.message().empty());
    Socket third = site.gate.discovery.accept();
    EXPECT_FALSE(third.message().empty());
    EXPECT_TRUE(first.atEnd());
    EXPECT_FALSE(second.waitReadable(0));
    site.answer(second, 50);
    EXPECT_TRUE(third.atEnd());
}

TEST_P(DiscoveryCalls, SighupEndsBothAndTheNewDiscoveryIsAskedForAll) {
    Server next;
    Site site(GetParam());
    Socket first = site.gate.discovery.accept(), second = site.gate.discovery.accept();
    first.message();
    second.message();
    site.gate.reload(next);
    EXPECT_TRUE(first.atEnd());
    EXPECT_TRUE(second.atEnd());
    Socket call = next.accept();
    EXPECT_TRUE(has(call.message(), "GET /api/targets HTTP/1.1\r\n"));
}

TEST_P(DiscoveryCalls, AProcessThatIsToldToEndDoesSoWithBothOpen) {
    Site site(GetParam());
    Socket first = site.gate.discovery.accept(), second = site.gate.discovery.accept();
    site.gate.terminate();
    EXPECT_EQ(site.gate.wait(), 0);
}

// ---- Readiness --------------------------------------------------------------------------------------

int readiness(Socket& client) {
    client.write("GET /-/ready HTTP/1.1\r\n\r\n");
    return statusOf(client.message());
}

// Until it is: on the list that it was given, whatever becomes of its calls.
void expectReady(const GatewayProcess& gate) {
    Socket client = gate.client();
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
        GatewayProcess gate(Targets{target("w", endpoint)}, settingsOf(GetParam()), [&](Json& c) {
            c["discovery"] = failing.server.address();
            c["listWaitMs"] = 500;
        });
        if (end != "refused" && end != "notUp") failing.fail("since=41 ");
        expectReady(gate);
    }
}

// A quarter of a fleet that is restarted at once, before one discovery that says nothing or turns all away.
TEST_P(DiscoveryCalls, ManyThatStartAtOnceAreAllReady) {
    for (const bool turnsAway : {false, true}) {
        Server endpoint, discovery;
        std::list<GatewayProcess> gates;
        for (int i = 0; i < 12; ++i) {
            Json s = settingsOf(GetParam());
            s["balancers"] = 12;
            s["me"] = i;
            gates.emplace_back(Targets{target("w", endpoint)}, s, [&](Json& c) {
                c["discovery"] = discovery.address();
                c["listWaitMs"] = 500;
            });
        }
        std::vector<Socket> calls;
        for (std::size_t i = 0; i < gates.size(); ++i) {
            calls.push_back(discovery.accept());
            if (turnsAway) calls.back().write(kTurnedAway);
        }
        for (const GatewayProcess& gate : gates) expectReady(gate);
    }
}

// One that knows of no endpoint waits for a list, but not for ever.
TEST_P(DiscoveryCalls, AnEmptyListIsWaitedForAndNotForEver) {
    for (const bool patient : {true, false}) {
        GatewayProcess gate(Targets{}, settingsOf(GetParam()),
                            [&](Json& c) { c["emptyWaitMs"] = patient ? 3600'000 : 1; });
        Socket call = gate.discovery.accept();
        call.message();
        if (patient) {
            Socket client = gate.client();
            EXPECT_EQ(readiness(client), 503);
            Server endpoint;
            call.write(kHead + listLine(42, false, {target("w", endpoint)}));
        }
        expectReady(gate);
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
    Socket watch = site.gate.discovery.accept();
    watch.message();
    watch.write(kHead + listLine(45, true, {target("held", site.held)}));
    EXPECT_TRUE(watch.atEnd());
    Socket next = site.gate.discovery.accept();
    EXPECT_TRUE(has(next.message(), "since=45 "));
    site.answer(next, 46);
}

}  // namespace
}  // namespace gateway::net::test
